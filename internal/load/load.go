// Package load offers requests to a mesh at a fixed rate and checks every
// answer.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/caller"
	"github.com/vanillabarrow/vanillabarrow/internal/standin"
)

const (
	// maxLatency and latencyDigits size the histogram.
	maxLatency    = time.Minute
	latencyDigits = 3
	// maxInFlight bounds the open requests of one generator.
	maxInFlight = 4096
	dialTimeout = time.Second
)

// Config describes the load.
type Config struct {
	// Addresses are the caller addresses, used in turn.
	Addresses []string
	// Paths are the paths asked for, used at random.
	Paths []string
	// Rate is the number of requests a second, offered whether or not earlier
	// ones have ended.
	Rate     float64
	Duration time.Duration
	// Writes is the share of POST requests.
	Writes float64
	// Keyed is the share of POST requests with an idempotency key.
	Keyed float64
	// BodyBytes is the size of a POST body.
	BodyBytes int
	Timeout   time.Duration
	// Direct is set for load on targets themselves, which give no verdict.
	Direct bool
}

// Second counts what ended in one second of the run.
type Second struct {
	Finished   int `json:"finished"`
	NotRun     int `json:"notRun"`
	MayHaveRun int `json:"mayHaveRun"`
	NoVerdict  int `json:"failed"`
}

// Result is what a run found.
type Result struct {
	Offered    int `json:"offered"`
	Finished   int `json:"finished"`
	NotRun     int `json:"notRun"`
	MayHaveRun int `json:"mayHaveRun"`
	// NoVerdict counts requests that ended without any verdict.
	NoVerdict int `json:"failed"`
	// WrongResponses counts answers to another request or with parts missing.
	WrongResponses int `json:"wrong"`
	// Skipped counts requests not sent because too many were open.
	Skipped int `json:"skipped"`
	// Reasons counts refusals by verdict and reason.
	Reasons map[string]int `json:"reasons"`
	Seconds []Second       `json:"seconds"`
	P50     time.Duration  `json:"p50"`
	P99     time.Duration  `json:"p99"`
	Max     time.Duration  `json:"max"`

	outcomes map[string]outcome
}

// outcome is what a caller was told about one request.
type outcome struct {
	verdict vanillabarrow.Verdict
	write   bool
}

// Generator offers load.
type Generator struct {
	cfg    Config
	client *http.Client
	start  time.Time
	wg     sync.WaitGroup
	open   chan struct{}

	mu        sync.Mutex
	result    Result
	histogram *hdrhistogram.Histogram
}

// New returns a generator.
func New(cfg Config) *Generator {
	return &Generator{
		cfg: cfg,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxInFlight,
			DisableCompression:  true,
		}},
		open:      make(chan struct{}, maxInFlight),
		histogram: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits),
		result:    Result{Reasons: map[string]int{}, outcomes: map[string]outcome{}},
	}
}

// Run offers the load and waits for every request to end.
func (g *Generator) Run(ctx context.Context) *Result {
	g.start = time.Now()
	g.loop(ctx)
	g.wg.Wait()
	g.client.CloseIdleConnections()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.P50 = time.Duration(g.histogram.ValueAtQuantile(50)) * time.Microsecond
	g.result.P99 = time.Duration(g.histogram.ValueAtQuantile(99)) * time.Microsecond
	g.result.Max = time.Duration(g.histogram.Max()) * time.Microsecond
	return &g.result
}

// loop starts requests at exponential intervals, independent of their ends.
func (g *Generator) loop(ctx context.Context) {
	next := g.start
	end := g.start.Add(g.cfg.Duration)
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rand.ExpFloat64() / g.cfg.Rate * float64(time.Second)))
		if next.After(end) {
			return
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		select {
		case g.open <- struct{}{}:
		default:
			g.skip()
			continue
		}
		g.wg.Add(1)
		go g.run(ctx, n, next)
	}
}

func (g *Generator) skip() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.Skipped++
}

// run makes one request. Its latency counts from when it was due.
func (g *Generator) run(ctx context.Context, n int, due time.Time) {
	defer g.wg.Done()
	defer func() { <-g.open }()
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Timeout)
	defer cancel()
	id := uuid.NewString()
	write := rand.Float64() < g.cfg.Writes
	request, err := g.request(ctx, n, id, write)
	if err != nil {
		return
	}
	response, err := g.client.Do(request)
	if err != nil {
		g.record(id, "", outcome{write: write}, false, due)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	verdict := response.Header.Get(caller.VerdictHeader)
	if g.cfg.Direct && response.StatusCode == http.StatusOK {
		verdict = vanillabarrow.VerdictFinished.String()
	}
	if err != nil || verdict == "" {
		g.record(id, "", outcome{write: write}, false, due)
		return
	}
	o := outcome{verdict: vanillabarrow.ParseVerdict(verdict), write: write}
	wrong := o.verdict == vanillabarrow.VerdictFinished && !g.right(request, id, body)
	g.record(id, verdict+"/"+response.Header.Get(caller.ReasonHeader), o, wrong, due)
}

func (g *Generator) request(ctx context.Context, n int, id string, write bool) (*http.Request, error) {
	entry := g.cfg.Addresses[n%len(g.cfg.Addresses)]
	target := "http://" + entry + g.cfg.Paths[rand.IntN(len(g.cfg.Paths))] + "/" + id
	method, body := http.MethodGet, io.Reader(nil)
	if write {
		method, body = http.MethodPost, bytes.NewReader(make([]byte, g.cfg.BodyBytes))
	}
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, err
	}
	// The library must not send a request twice on its own.
	request.GetBody = nil
	request.Header.Set(standin.RunIDHeader, id)
	if write && rand.Float64() < g.cfg.Keyed {
		key, err := uuid.NewV7()
		if err != nil {
			return nil, err
		}
		request.Header.Set("Idempotency-Key", key.String())
	}
	return request, nil
}

// right reports whether the body is the target's whole answer to the request.
func (g *Generator) right(r *http.Request, id string, body []byte) bool {
	var a standin.Response
	if err := json.Unmarshal(body, &a); err != nil {
		return false
	}
	return a.RunID == id && a.Method == r.Method && a.Path == r.URL.RequestURI() && a.Bytes == max(0, r.ContentLength)
}

func (g *Generator) record(id, reason string, o outcome, wrong bool, due time.Time) {
	latency := time.Since(due)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.Offered++
	g.result.outcomes[id] = o
	if wrong {
		g.result.WrongResponses++
	}
	second := g.second(time.Since(g.start))
	switch o.verdict {
	case vanillabarrow.VerdictFinished:
		g.result.Finished++
		second.Finished++
		_ = g.histogram.RecordValue(latency.Microseconds())
		return
	case vanillabarrow.VerdictNotRun:
		g.result.NotRun++
		second.NotRun++
	case vanillabarrow.VerdictMayHaveRun:
		g.result.MayHaveRun++
		second.MayHaveRun++
	default:
		g.result.NoVerdict++
		second.NoVerdict++
		reason = "none"
	}
	g.result.Reasons[reason]++
}

func (g *Generator) second(at time.Duration) *Second {
	n := int(at / time.Second)
	for len(g.result.Seconds) <= n {
		g.result.Seconds = append(g.result.Seconds, Second{})
	}
	return &g.result.Seconds[n]
}

// Violations compares what callers were told with what targets ran.
type Violations struct {
	// Lost counts requests told finished that no target ran.
	Lost int `json:"lost"`
	// Twice counts writes that ran more than once.
	Twice int `json:"twice"`
	// FalseNotRun counts requests told not-run that a target ran.
	FalseNotRun int `json:"falseNotRun"`
}

// Check compares the result with the runs at the targets.
func (r *Result) Check(runs map[string]int) Violations {
	var a Violations
	for id, o := range r.outcomes {
		n := runs[id]
		if o.verdict == vanillabarrow.VerdictFinished && n == 0 {
			a.Lost++
		}
		if o.write && n > 1 {
			a.Twice++
		}
		if o.verdict == vanillabarrow.VerdictNotRun && n > 0 {
			a.FalseNotRun++
		}
	}
	return a
}

// String returns the result in one line.
func (r *Result) String() string {
	return fmt.Sprintf("offered=%d finished=%d notRun=%d mayHaveRun=%d failed=%d wrong=%d p50=%s p99=%s max=%s",
		r.Offered, r.Finished, r.NotRun, r.MayHaveRun, r.NoVerdict, r.WrongResponses, r.P50, r.P99, r.Max)
}

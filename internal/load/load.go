// Package load generates requests to a mesh at a fixed mean rate and checks
// every response. The load is open-loop: a slow response does not delay the
// requests after it.
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
	"github.com/vanillabarrow/vanillabarrow/internal/http1"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/standin"
)

const (
	// maxLatency and latencyDigits are the maximum and the number of
	// significant digits of the latency histogram. Longer latencies are not in
	// Result.P50, P99 and Max.
	maxLatency    = time.Minute
	latencyDigits = 3
	// maxInFlight limits the concurrent requests of one generator.
	maxInFlight = 4096
	dialTimeout = time.Second
)

// Config describes the requests that a Generator sends.
type Config struct {
	// Addresses are the caller addresses of nodes, used in rotation, or the
	// addresses of targets if Direct is set.
	Addresses []string
	// Paths are the path prefixes of the requests, chosen at random.
	Paths []string
	// Rate is the mean number of requests per second, sent whether or not
	// earlier ones have ended.
	Rate     float64
	Duration time.Duration
	// Writes is the share of requests that are POST, from 0 to 1. The others
	// are GET.
	Writes float64
	// Keyed is the share of POST requests with an idempotency key, from 0 to 1.
	Keyed float64
	// BodyBytes is the size of a POST body.
	BodyBytes int
	// Timeout bounds each request, including the reading of its response.
	Timeout time.Duration
	// Direct is set if the requests go to targets without the mesh. Their
	// responses have no verdict, so status 200 counts as finished.
	Direct bool
}

// Second counts the requests that ended in one second of the run, by verdict.
type Second struct {
	Finished   int `json:"finished"`
	NotRun     int `json:"notRun"`
	MayHaveRun int `json:"mayHaveRun"`
	NoVerdict  int `json:"failed"`
}

// Result counts the requests of one run by outcome.
type Result struct {
	// Offered counts the requests sent. Each counts as one of Finished, NotRun,
	// MayHaveRun and NoVerdict too.
	Offered    int `json:"offered"`
	Finished   int `json:"finished"`
	NotRun     int `json:"notRun"`
	MayHaveRun int `json:"mayHaveRun"`
	// NoVerdict counts requests that ended without a verdict, for example
	// because the connection failed or the timeout passed.
	NoVerdict int `json:"failed"`
	// WrongResponses counts responses that belong to another request or are
	// incomplete.
	WrongResponses int `json:"wrong"`
	// Skipped counts requests that were not sent because maxInFlight requests
	// were in flight.
	Skipped int `json:"skipped"`
	// Reasons counts requests that did not finish, by "verdict/reason", or by
	// "none" if they ended without a verdict.
	Reasons map[string]int `json:"reasons"`
	// Seconds holds one entry for each second since the start of the run.
	Seconds []Second `json:"seconds"`
	// P50, P99 and Max are the latencies of finished requests.
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`

	outcomes map[string]outcome
}

// outcome is the verdict that the caller received for one request.
type outcome struct {
	verdict vanillabarrow.Verdict
	write   bool
}

// Generator sends the requests of one run.
type Generator struct {
	cfg    Config
	client *http.Client
	start  time.Time
	wg     sync.WaitGroup
	// slots holds one element for each request in flight.
	slots chan struct{}

	mu        sync.Mutex
	result    Result
	histogram *hdrhistogram.Histogram
}

// New returns a Generator, which is used for one run only.
func New(cfg Config) *Generator {
	return &Generator{
		cfg: cfg,
		client: &http.Client{Transport: &http1.Transport{Check: http1.CheckResponse, RoundTripper: &http.Transport{
			DialContext:         kernel.DialShared((&net.Dialer{Timeout: dialTimeout}).DialContext),
			MaxIdleConnsPerHost: maxInFlight,
			DisableCompression:  true,
		}}},
		slots:     make(chan struct{}, maxInFlight),
		histogram: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits),
		result:    Result{Reasons: map[string]int{}, outcomes: map[string]outcome{}},
	}
}

// Run sends requests until the duration has passed or ctx is canceled, waits
// for all of them to end and returns their counts.
func (g *Generator) Run(ctx context.Context) *Result {
	g.start = time.Now()
	g.sendRequests(ctx)
	g.wg.Wait()
	g.client.CloseIdleConnections()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.P50 = time.Duration(g.histogram.ValueAtQuantile(50)) * time.Microsecond
	g.result.P99 = time.Duration(g.histogram.ValueAtQuantile(99)) * time.Microsecond
	g.result.Max = time.Duration(g.histogram.Max()) * time.Microsecond
	return &g.result
}

// sendRequests starts requests at exponentially distributed intervals, as a
// Poisson process.
func (g *Generator) sendRequests(ctx context.Context) {
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
		case g.slots <- struct{}{}:
		default:
			g.countSkipped()
			continue
		}
		g.wg.Add(1)
		go g.run(ctx, n, next)
	}
}

func (g *Generator) countSkipped() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.Skipped++
}

// run sends one request and records its outcome. The latency is measured from
// the time at which the request was due, so that it includes a delay in the
// generator.
func (g *Generator) run(ctx context.Context, n int, due time.Time) {
	defer g.wg.Done()
	defer func() { <-g.slots }()
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Timeout)
	defer cancel()
	id := uuid.NewString()
	write := rand.Float64() < g.cfg.Writes
	request, err := g.newRequest(ctx, n, id, write)
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
	wrong := o.verdict == vanillabarrow.VerdictFinished && !g.isExpected(request, id, body)
	g.record(id, verdict+"/"+response.Header.Get(caller.ReasonHeader), o, wrong, due)
}

// newRequest returns the n-th request. Its path ends with the id, which is also
// in the standin.RunIDHeader field.
func (g *Generator) newRequest(ctx context.Context, n int, id string, write bool) (*http.Request, error) {
	address := g.cfg.Addresses[n%len(g.cfg.Addresses)]
	url := "http://" + address + g.cfg.Paths[rand.IntN(len(g.cfg.Paths))] + "/" + id
	method, body := http.MethodGet, io.Reader(nil)
	if write {
		method, body = http.MethodPost, bytes.NewReader(make([]byte, g.cfg.BodyBytes))
	}
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http does not send a POST again on another
	// connection, which would be counted as a write that ran twice.
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

// isExpected reports whether the body is the complete response of a simulated
// target to the request.
func (g *Generator) isExpected(r *http.Request, id string, body []byte) bool {
	var response standin.Response
	if err := json.Unmarshal(body, &response); err != nil {
		return false
	}
	return response.RunID == id && response.Method == r.Method && response.Path == r.URL.RequestURI() && response.Bytes == max(0, r.ContentLength)
}

// record counts the outcome of one request. The reason is its key in
// Result.Reasons, unless it finished or has no verdict.
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

// second returns the counts for the second in which the elapsed time lies.
func (g *Generator) second(elapsed time.Duration) *Second {
	n := int(elapsed / time.Second)
	for len(g.result.Seconds) <= n {
		g.result.Seconds = append(g.result.Seconds, Second{})
	}
	return &g.result.Seconds[n]
}

// Violations counts requests whose verdict contradicts the runs at the targets,
// and writes that ran more than once.
type Violations struct {
	// Lost counts requests with the verdict finished that no target ran.
	Lost int `json:"lost"`
	// Twice counts writes that ran more than once.
	Twice int `json:"twice"`
	// FalseNotRun counts requests with the verdict not-run that a target ran.
	FalseNotRun int `json:"falseNotRun"`
}

// Check compares the verdicts with the number of runs of each request at the
// targets, by request id.
func (r *Result) Check(runs map[string]int) Violations {
	var v Violations
	for id, o := range r.outcomes {
		n := runs[id]
		if o.verdict == vanillabarrow.VerdictFinished && n == 0 {
			v.Lost++
		}
		if o.write && n > 1 {
			v.Twice++
		}
		if o.verdict == vanillabarrow.VerdictNotRun && n > 0 {
			v.FalseNotRun++
		}
	}
	return v
}

// String returns the counts and latencies on one line.
func (r *Result) String() string {
	return fmt.Sprintf("offered=%d finished=%d notRun=%d mayHaveRun=%d failed=%d wrong=%d p50=%s p99=%s max=%s",
		r.Offered, r.Finished, r.NotRun, r.MayHaveRun, r.NoVerdict, r.WrongResponses, r.P50, r.P99, r.Max)
}

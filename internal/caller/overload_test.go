package caller

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/route"
)

const (
	// readCost is the processor time to read a request and to refuse it, dispatchCost
	// that to send it to a target and to return its response.
	readCost     = 200 * time.Microsecond
	dispatchCost = 3 * time.Millisecond
	// dispatchSteps is the number of messages of one dispatch, between which the node
	// notices that the caller has left.
	dispatchSteps = 3
	// callerPatience is the time after which a caller without a response sends its
	// request again, callerTries how often it sends it.
	callerPatience = 400 * time.Millisecond
	callerTries    = 6
	// calmRate and burstRate are the new requests a second.
	calmRate, burstRate    = 200, 600
	burstStart, burstEnd   = 3 * time.Second, 6 * time.Second
	recoveredAt, loadEnd   = 9 * time.Second, 12 * time.Second
	wantServedAfterBurst   = 0.9
	requestTimeout         = 2 * time.Second
	processorQueueCapacity = 1 << 16
)

// processor handles one piece of work at a time, in the order of arrival.
type processor struct {
	mu     sync.Mutex
	freeAt time.Time
}

// use waits until the processor has done a piece of work.
func (p *processor) use(cost time.Duration) {
	p.mu.Lock()
	if now := time.Now(); p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(cost)
	wait := time.Until(p.freeAt)
	p.mu.Unlock()
	time.Sleep(wait)
}

// Wait returns how long new work waits.
func (p *processor) Wait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, time.Until(p.freeAt))
}

// busyDispatcher uses the processor for each request whose caller still waits.
type busyDispatcher struct{ cpu *processor }

func (d *busyDispatcher) Do(ctx context.Context, _ *vanillabarrow.Request) (*vanillabarrow.Response, error) {
	for range dispatchSteps {
		if ctx.Err() != nil {
			return nil, vanillabarrow.NotRun(vanillabarrow.ReasonCanceled, "")
		}
		d.cpu.use(dispatchCost / dispatchSteps)
	}
	return &vanillabarrow.Response{Status: http.StatusOK}, nil
}

// impatientCaller sends one request, and again at once after a refusal or when it has
// waited for too long.
type impatientCaller struct {
	handler http.Handler
	cpu     *processor
	served  chan<- bool
}

func (c *impatientCaller) run() {
	served := false
	for try := 0; try < callerTries && !served; try++ {
		ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
		answered := make(chan bool, 1)
		go c.runTry(ctx, answered)
		select {
		case served = <-answered:
		case <-ctx.Done():
		}
		cancel()
	}
	c.served <- served
}

// runTry lets the node read one request, whether or not its caller still waits. The
// context of the request ends when the caller leaves.
func (c *impatientCaller) runTry(ctx context.Context, answered chan<- bool) {
	c.cpu.use(readCost)
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/returns/1", nil)
	c.handler.ServeHTTP(w, r)
	answered <- w.Code == http.StatusOK
}

// TestProcessorOverloadEnds guards against an overload of a node's processor that
// outlasts its cause, because callers repeat what the node answers too late.
func TestProcessorOverloadEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cpu := &processor{}
		snapshot := newSnapshot()
		snapshot.Routes[""][0].Timeout = requestTimeout
		handler := New(Config{
			Dispatcher: &busyDispatcher{cpu}, Configuration: fixedConfig{snapshot}, Logger: slog.New(slog.DiscardHandler),
			Protocol: NewProtocol(), Splits: route.NewSplits(), NewID: func() string { return "id" }, MaxBodyBytes: maxBody, MaxInFlight: 1 << 20,
		}).Handler()
		start := time.Now()
		after := make(chan bool, processorQueueCapacity)
		during := make(chan bool, processorQueueCapacity)
		for elapsed := time.Duration(0); elapsed < loadEnd; elapsed = time.Since(start) {
			rate, served := calmRate, during
			if elapsed >= burstStart && elapsed < burstEnd {
				rate = burstRate
			}
			if elapsed >= recoveredAt {
				served = after
			}
			go (&impatientCaller{handler, cpu, served}).run()
			time.Sleep(time.Second / time.Duration(rate))
		}
		time.Sleep(callerTries * callerPatience)
		asked, inTime := len(after), 0
		for range asked {
			if <-after {
				inTime++
			}
		}
		time.Sleep(time.Minute)
		require.GreaterOrEqual(t, float64(inTime)/float64(asked), wantServedAfterBurst, "%d of %d requests served after the burst", inTime, asked)
	})
}

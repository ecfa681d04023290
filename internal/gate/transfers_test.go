package gate

import (
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/limit"
)

// slowLink delivers the bytes of all bodies one after the other.
type slowLink struct {
	mu             sync.Mutex
	freeAt         time.Time
	bytesPerSecond int64
	receiving      int
	peak           int
}

// packet is the number of bytes that the link delivers at a time, in turn to
// the bodies that are being received.
const packet = 2 << 10

func (l *slowLink) deliver(n int64) {
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
	wait := time.Until(l.freeAt)
	l.mu.Unlock()
	time.Sleep(wait)
}

// linkBody is a body that arrives over a slowLink.
type linkBody struct {
	link *slowLink
	left int64
	open bool
	// stalled is the time for which the body stops arriving when stallAt bytes
	// are left, or at its start if stallAt is zero.
	stalled time.Duration
	stallAt int64
}

func (b *linkBody) Read(p []byte) (int, error) {
	if !b.open {
		b.open = true
		b.link.count(1)
		if b.stallAt == 0 {
			b.stallAt = b.left
		}
	}
	if b.left <= b.stallAt {
		time.Sleep(b.stalled)
		b.stalled = 0
	}
	if b.left == 0 {
		b.link.count(-1)
		return 0, io.EOF
	}
	n := min(int64(len(p)), b.left, packet)
	b.link.deliver(n)
	b.left -= n
	return int(n), nil
}

func (l *slowLink) count(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receiving += n
	l.peak = max(l.peak, l.receiving)
}

// upload returns an attempt with a large body that arrives over the link.
func upload(g *Gate, id string, link *slowLink, objective time.Duration) *vanillabarrow.Attempt {
	a := attempt(g, id)
	a.Deadline = time.Now().Add(3 * time.Second)
	a.Request.Idempotent = true
	a.Request.Objective = time.Now().Add(objective)
	a.Request.Size = 60_000
	a.Request.Stream = &linkBody{link: link, left: a.Request.Size}
	return a
}

// newGateOnSlowLink returns a gate with a healthy target and a link of 10 Mbit/s.
func newGateOnSlowLink() (*Gate, *slowLink) {
	g, _ := newGate(&fakeExecutor{delay: 40 * time.Millisecond, status: 200})
	g.limiter = limit.NewOrdered(slots)
	g.limiter.UpdateHealth(vanillabarrow.Health{OK: true}, time.Now())
	return g, &slowLink{bytesPerSecond: 1_250_000}
}

// TestLargeBodiesTakeTurns sends as many uploads as the target has slots over a
// link of 10 Mbit/s, and a nested call behind them. Bodies that arrive together
// would hold all slots and fill the link.
func TestLargeBodiesTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, link := newGateOnSlowLink()
		var wg sync.WaitGroup
		for i := range slots {
			a := upload(g, fmt.Sprint("upload", i), link, time.Second)
			wg.Go(func() {
				_, err := g.Handle(t.Context(), a)
				require.NoError(t, err)
			})
		}
		time.Sleep(10 * time.Millisecond)
		call := attempt(g, "call")
		call.Request.Idempotent = true
		began := time.Now()
		_, err := g.Handle(t.Context(), call)
		require.NoError(t, err)
		require.LessOrEqual(t, time.Since(began), 50*time.Millisecond, "a slot is free for the call")
		wg.Wait()
		require.LessOrEqual(t, link.peak, maxTransfers)
	})
}

// TestTransfersRefuse checks that an upload is refused at once if its body can't
// be received in time, and one that waits when it is canceled.
func TestTransfersRefuse(t *testing.T) {
	const turnTime = 100 * time.Millisecond
	tests := map[string]struct {
		waiting   int
		objective time.Duration
		late      bool
		refused   bool
	}{
		"free":                             {0, 10 * time.Millisecond, false, false},
		"in time":                          {2, 300 * time.Millisecond, false, false},
		"not in time":                      {4, 300 * time.Millisecond, false, true},
		"late, in time":                    {4, 300 * time.Millisecond, true, false},
		"late, not in time":                {20, 300 * time.Millisecond, true, true},
		"no objective, before deadline":    {4, 0, false, false},
		"no objective, after the deadline": {20, 0, false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tr := newTransfers()
			tr.meanTime = turnTime
			now := time.Now()
			admission := vanillabarrow.Admission{Deadline: now.Add(time.Second), Late: tt.late}
			if tt.objective > 0 {
				admission.Objective = now.Add(tt.objective)
			}
			if tt.waiting > 0 {
				tr.active = maxTransfers
				tr.waiting = make([]chan struct{}, tt.waiting)
			}
			turn, err := tr.enter(admission, now)
			require.Equal(t, tt.refused, err != nil)
			if !tt.refused {
				require.NotNil(t, turn)
				return
			}
			refusal := vanillabarrow.AsRefusal(err)
			require.Equal(t, vanillabarrow.VerdictNotRun, refusal.Verdict)
			require.Equal(t, vanillabarrow.ReasonOverloaded, refusal.Reason)
			require.Positive(t, refusal.RetryAfter)
		})
	}
}

// TestStalledTransferPassesItsTurnOn checks that bodies that do not arrive, or
// stop arriving, delay others for a limited time only.
func TestStalledTransferPassesItsTurnOn(t *testing.T) {
	tests := map[string]struct {
		body  linkBody
		bound time.Duration
	}{
		"before the first byte": {linkBody{left: 60_000, stalled: 2 * time.Second}, startTimeout},
		"within the body":       {linkBody{left: 60_000, stalled: 2 * time.Second, stallAt: 30_000}, 50*time.Millisecond + stallTimeout},
		"endless":               {linkBody{left: 1 << 30}, maxTurn},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, link := newGateOnSlowLink()
				var wg sync.WaitGroup
				for i := range maxTransfers {
					a := upload(g, fmt.Sprint("stalled", i), link, time.Second)
					body := tt.body
					body.link, a.Request.Stream = link, &body
					wg.Go(func() { _, _ = g.Handle(t.Context(), a) })
				}
				synctest.Wait()
				began := time.Now()
				turn, err := g.transfers.acquire(t.Context(), upload(g, "next", link, time.Second).Request, vanillabarrow.Admission{Deadline: began.Add(time.Second)})
				require.NoError(t, err)
				require.LessOrEqual(t, time.Since(began), tt.bound+10*time.Millisecond)
				turn.end()
				wg.Wait()
				require.Zero(t, g.transfers.active)
			})
		})
	}
}

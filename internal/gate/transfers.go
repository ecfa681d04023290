package gate

import (
	"context"
	"io"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// largeBody is the size in bytes above which a body counts as large. A link
	// of 10 Mbit/s is busy with it for 13 ms.
	largeBody = 16 << 10
	// maxTransfers is the number of large bodies that a gate receives at the same
	// time. A second one keeps the link busy between the end of one and the start
	// of the next.
	maxTransfers = 2
	// startTimeout, stallTimeout and maxTurn end a turn early: if no byte arrives
	// after its start, which includes the wait for a slot, if none arrives for a
	// while, as when the link loses packets, and if it takes too long in total.
	// The body is still received then, beside the next one.
	startTimeout = 250 * time.Millisecond
	stallTimeout = 50 * time.Millisecond
	maxTurn      = 500 * time.Millisecond
	// initialTransferTime is the mean duration of a transfer that is assumed
	// before the first one.
	initialTransferTime = 50 * time.Millisecond
	// transferTimeWeight is the weight of a new sample in the moving average of
	// the duration.
	transferTimeWeight = 0.1
)

// transfers limits the large bodies that a gate receives concurrently. On a slow
// link, bodies that arrive together delay each other and every small message
// behind them, for longer than the timeouts of nested calls, while each occupies
// a slot of the target. A request whose body can't be received in time is
// refused on arrival.
type transfers struct {
	mu      *kernel.Mutex
	active  int
	waiting []chan struct{}
	// meanTime is the mean duration of recent transfers.
	meanTime time.Duration
}

func newTransfers() *transfers {
	return &transfers{mu: kernel.NewMutex(kernel.RankTransfers), meanTime: initialTransferTime}
}

// acquire waits until the body of a request may be received. It returns
// immediately if the body is small or has been received. The error is a refusal.
func (t *transfers) acquire(ctx context.Context, r *vanillabarrow.Request, admission vanillabarrow.Admission) (*transferTurn, error) {
	if !receivesLargeBody(r) {
		return &transferTurn{}, nil
	}
	turn, err := t.enter(admission, time.Now())
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Until(admission.Deadline))
	defer timer.Stop()
	select {
	case <-turn:
		return t.begin(), nil
	case <-timer.C:
		t.leave(turn)
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, "the body could not be received before the deadline")
	case <-ctx.Done():
		t.leave(turn)
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonCanceled, "canceled while waiting to receive the body")
	}
}

// enter returns a channel that is closed when the body may be received, or a
// refusal if that would be too late.
func (t *transfers) enter(admission vanillabarrow.Admission, now time.Time) (chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	turn := make(chan struct{})
	if t.active < maxTransfers {
		t.active++
		close(turn)
		return turn, nil
	}
	finishBy := admission.Objective
	if finishBy.IsZero() || admission.Late {
		finishBy = admission.Deadline
	}
	wait := t.meanTime * time.Duration(len(t.waiting)+1) / maxTransfers
	if now.Add(wait + t.meanTime).After(finishBy) {
		refusal := vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, "the body can't be received in time")
		refusal.RetryAfter = wait
		return nil, refusal
	}
	t.waiting = append(t.waiting, turn)
	return turn, nil
}

// leave removes a request that no longer waits. A turn that it has received
// meanwhile goes to the next one.
func (t *transfers) leave(turn chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.waiting, turn); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
		return
	}
	t.next()
}

// next passes a turn on. The caller holds the lock.
func (t *transfers) next() {
	if len(t.waiting) == 0 {
		t.active--
		return
	}
	close(t.waiting[0])
	t.waiting = t.waiting[1:]
}

func (t *transfers) begin() *transferTurn {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &transferTurn{transfers: t, start: time.Now()}
	r.timer = time.AfterFunc(startTimeout, r.end)
	return r
}

// transferTurn is the turn of one large body. The zero value is that of a small
// one, which needs none.
type transferTurn struct {
	transfers *transfers
	start     time.Time
	timer     *time.Timer
	ended     bool
}

// progress extends the turn, because bytes of the body arrived.
func (r *transferTurn) progress() {
	if r.transfers == nil {
		return
	}
	r.transfers.mu.Lock()
	defer r.transfers.mu.Unlock()
	if !r.ended {
		r.timer.Reset(min(stallTimeout, max(0, maxTurn-time.Since(r.start))))
	}
}

// end passes the turn on. Further calls have no effect.
func (r *transferTurn) end() {
	if r.transfers == nil {
		return
	}
	t := r.transfers
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.timer.Stop()
	took := time.Since(r.start)
	t.meanTime += time.Duration(transferTimeWeight * float64(took-t.meanTime))
	t.next()
}

// transferBody extends the turn of a body while bytes arrive, and ends it with
// the last one.
type transferBody struct {
	io.Reader
	turn *transferTurn
}

// Read implements io.Reader.
func (b *transferBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.turn.end()
	} else {
		b.turn.progress()
	}
	return n, err
}

// receivesLargeBody reports whether the request has a large body, or one of
// unknown size, that the sender holds back until it is read.
func receivesLargeBody(r *vanillabarrow.Request) bool {
	return r.Stream != nil && len(r.Body) == 0 && (r.Size < 0 || r.Size > largeBody)
}

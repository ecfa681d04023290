package gate

import (
	"context"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// waits holds the attempts that wait for a slot or to send a large body. A wait can
// be ended with a refusal, which proves that the attempt will not run.
type waits struct {
	mu   *kernel.Mutex
	byID map[string]*wait
}

func newWaits() *waits {
	return &waits{mu: kernel.NewMutex(kernel.RankWaits), byID: map[string]*wait{}}
}

// wait is the wait of one attempt.
type wait struct {
	waits *waits
	id    string
	// ctx ends when the sender cancels the attempt or the wait is ended.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// refusal is set when the wait has been ended with a refusal, ended in any case.
	// The lock of waits guards both.
	refusal error
	ended   bool
}

// begin starts the wait of an attempt. The caller must call end.
func (w *waits) begin(ctx context.Context, id string) *wait {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &wait{waits: w, id: id, ctx: ctx, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id] = a
	return a
}

// end ends the wait, if it has not ended yet. The error is the refusal that has ended
// it, nil if the attempt may run.
func (a *wait) end() error {
	a.waits.mu.Lock()
	defer a.waits.mu.Unlock()
	if !a.ended {
		a.finish(nil)
	}
	return a.refusal
}

// finish ends the wait. The caller holds the lock.
func (a *wait) finish(refusal error) {
	a.ended, a.refusal = true, refusal
	if a.waits.byID[a.id] == a {
		delete(a.waits.byID, a.id)
	}
	a.cancel(nil)
}

// endedBy returns the refusal that has ended the wait, or else the given error.
func (a *wait) endedBy(err error) error {
	if refusal := a.end(); refusal != nil {
		return refusal
	}
	return err
}

// refuse ends the wait of an attempt. It returns false if the attempt does not wait.
func (w *waits) refuse(id string, refusal *vanillabarrow.Refusal) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, ok := w.byID[id]
	if ok {
		a.finish(refusal)
	}
	return ok
}

// refuseAll ends the waits of all attempts.
func (w *waits) refuseAll(refusal *vanillabarrow.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.byID {
		a.finish(refusal)
	}
}

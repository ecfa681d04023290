package dispatch

import (
	"context"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// Drain makes attempts go on when the breaker of their data centre opens. Unreachable
// nodes may also be busy ones, and a request that is given up while its node stops may be
// its caller's last try there.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// Withdraw refuses all requests that still wait for a slot, because the node exits
// before they could be served, and makes no further attempts. It is called while
// callers have time to send these requests to other nodes.
func (d *Dispatcher) Withdraw() { d.withdrawOnce.Do(func() { close(d.withdrawing) }) }

func (d *Dispatcher) isWithdrawing() bool {
	select {
	case <-d.withdrawing:
		return true
	default:
		return false
	}
}

// errWithdrawn returns the refusal for a request that has not got a slot before the
// node shuts down.
func errWithdrawn() *vanillabarrow.Refusal {
	return vanillabarrow.NotRun(vanillabarrow.ReasonDraining, "the node is shutting down and the request has not got a slot")
}

// askGate queries the gate about an attempt, and withdraws the attempt once requests
// no longer wait for a slot.
func (d *Dispatcher) askGate(ctx context.Context, a *vanillabarrow.Attempt) (report *vanillabarrow.AttemptReport, withdrawn bool, err error) {
	if d.Withdrawer == nil || !d.isWithdrawing() {
		report, err = d.Forwarder.QueryAttempt(ctx, a)
		return report, false, err
	}
	report, err = d.Withdrawer.WithdrawAttempt(ctx, a)
	return report, true, err
}

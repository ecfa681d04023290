package dispatch

import (
	"math"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// outcomeHalfLife is the time after which a refusal counts half. Faults that
	// make targets shed last for seconds.
	outcomeHalfLife = time.Second
	// minShedCalls is the number of recent requests that targets shed from which on
	// they are taken for the usual cause.
	minShedCalls = 3
)

// CallOutcomes counts why requests of the callers on the node's VM, among them the
// target itself, were refused lately: because targets shed them, or because of an
// overload. It answers the load in which targets of one service shed a part of
// their requests at random while they have free slots. Requests that depend on
// them then fail, but refusing these requests would help none of the others.
type CallOutcomes struct {
	// enabled is set if MostlyShed may return true.
	enabled          bool
	mu               *kernel.Mutex
	shed, overloaded float64
	updatedAt        time.Time
}

// NewCallOutcomes returns an empty table. If it is not enabled, MostlyShed always
// returns false.
func NewCallOutcomes(enabled bool) *CallOutcomes {
	return &CallOutcomes{enabled: enabled, mu: kernel.NewMutex(kernel.RankCallOutcomes)}
}

// Record counts the final refusal of a request. Other reasons than a shed request
// and an overload are not counted.
func (o *CallOutcomes) Record(reason vanillabarrow.Reason, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.decay(now)
	switch reason {
	case vanillabarrow.ReasonShed:
		o.shed++
	case vanillabarrow.ReasonOverloaded:
		o.overloaded++
	}
}

// MostlyShed reports whether more of the recent refusals are of requests that
// targets shed than because of an overload.
func (o *CallOutcomes) MostlyShed(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.decay(now)
	return o.enabled && o.shed >= minShedCalls && o.shed > o.overloaded
}

func (o *CallOutcomes) decay(now time.Time) {
	if elapsed := now.Sub(o.updatedAt); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(outcomeHalfLife))
		o.shed *= factor
		o.overloaded *= factor
		o.updatedAt = now
	}
}

package dispatch

import "github.com/vanillabarrow/vanillabarrow/internal/retry"

const (
	// gateAttemptShare is the number of further gates that each request of a
	// route adds to the budget.
	gateAttemptShare = 0.5
	// gateAttemptReserve is the maximum number of further gates in the budget of
	// a route. It lets a request find a free gate when a few are overloaded.
	gateAttemptReserve = 7
	// maxGateAttemptRoutes is the number of routes above which all budgets are
	// reset.
	maxGateAttemptRoutes = 4096
)

// GateAttempts is the budget for trying another gate after one that refused
// because of overload, by route. While most targets of a service are overloaded,
// almost every gate refuses; if each request tried many of them, nodes would
// spend the processor time on refusals that responses need, and the overload
// would outlast its cause.
type GateAttempts struct {
	budget *retry.Budget
}

// NewGateAttempts returns a full budget for every route.
func NewGateAttempts() *GateAttempts {
	return &GateAttempts{budget: retry.New(retry.Config{Share: gateAttemptShare, Reserve: gateAttemptReserve})}
}

// Sweep resets the budgets if there are too many.
func (g *GateAttempts) Sweep() { g.budget.Trim(maxGateAttemptRoutes) }

package vanillabarrow

// Profiles of a node. A profile selects the source of the configuration and the
// header fields that callers and targets use.
const (
	// ProfileInventory reads the operators' inventory, routes and policies.
	ProfileInventory = "inventory"
	// ProfileStore reads the items of the platform's store.
	ProfileStore = "store"
)

// ProfileNames returns the names of all profiles.
func ProfileNames() []string { return []string{ProfileInventory, ProfileStore} }

// Names of the balancers, as written in the settings.
const (
	// BalancerTwoChoices picks the less loaded of two random targets.
	BalancerTwoChoices = "twoChoices"
	// BalancerCheapest picks the target with the lowest cost, computed from load,
	// distance and failure rate.
	BalancerCheapest = "cheapest"
	// BalancerFastest picks, of a few random targets, the one that is expected to
	// respond first, computed from load, execution time, distance and failure rate.
	BalancerFastest = "fastest"
	// BalancerLeastInFlight picks the target with the fewest of this node's
	// attempts in flight.
	BalancerLeastInFlight = "leastInFlight"
	// BalancerRoundRobin picks the targets in turn.
	BalancerRoundRobin = "roundRobin"
	// BalancerRandom picks a random target.
	BalancerRandom = "random"
)

// BalancerNames returns the names of all balancers.
func BalancerNames() []string {
	return []string{BalancerTwoChoices, BalancerCheapest, BalancerFastest, BalancerLeastInFlight, BalancerRoundRobin, BalancerRandom}
}

// Names of the limiters, as written in the settings.
const (
	// LimiterAdaptive starts with a low concurrency limit, raises it gradually
	// while responses are timely, and lowers it immediately when they are not.
	LimiterAdaptive = "adaptive"
	// LimiterFixed admits as many concurrent requests as the target has slots.
	LimiterFixed = "fixed"
	// LimiterOrdered admits as many concurrent requests as the target has slots,
	// queues the others by priority and deadline, and limits the request rate of
	// a target during its warm-up.
	LimiterOrdered = "ordered"
)

// LimiterNames returns the names of all limiters.
func LimiterNames() []string { return []string{LimiterAdaptive, LimiterFixed, LimiterOrdered} }

package vanillabarrow

// Profiles of a node: where its configuration comes from, and which header
// fields its callers and its target use.
const (
	// ProfileInventory takes the operators' inventory and rules.
	ProfileInventory = "inventory"
	// ProfileStore takes the items of the platform's store.
	ProfileStore = "store"
)

// ProfileNames returns the names of all profiles.
func ProfileNames() []string { return []string{ProfileInventory, ProfileStore} }

// Names of the balancers, as written in settings.
const (
	// BalancerTwoChoices takes the less occupied of two random targets.
	BalancerTwoChoices = "twoChoices"
	// BalancerCheapest weighs how full, how far and how faulty a target is.
	BalancerCheapest = "cheapest"
	// BalancerLeastInFlight takes the target with the fewest own attempts.
	BalancerLeastInFlight = "leastInFlight"
	// BalancerRoundRobin takes each target in turn.
	BalancerRoundRobin = "roundRobin"
	// BalancerRandom takes any target.
	BalancerRandom = "random"
)

// BalancerNames returns the names of all balancers.
func BalancerNames() []string {
	return []string{BalancerTwoChoices, BalancerCheapest, BalancerLeastInFlight, BalancerRoundRobin, BalancerRandom}
}

// Names of the limiters, as written in settings.
const (
	// LimiterAdaptive starts low, climbs by evidence and falls at once.
	LimiterAdaptive = "adaptive"
	// LimiterFixed admits as many requests as the target has slots.
	LimiterFixed = "fixed"
	// LimiterOrdered admits as many requests as the target has slots, orders
	// those that wait, and keeps to the warm-up rate of a cold target.
	LimiterOrdered = "ordered"
)

// LimiterNames returns the names of all limiters.
func LimiterNames() []string { return []string{LimiterAdaptive, LimiterFixed, LimiterOrdered} }

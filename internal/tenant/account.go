package tenant

import (
	"math"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

const (
	// rateTime is the time constant of the averages of a node's rates. Demand that
	// moves to another node is followed within about this time.
	rateTime = time.Second
	// stockTime is the time for which a node's tokens should last. It exceeds the
	// interval of reports by the time of an exchange.
	stockTime = 600 * time.Millisecond
	// idleTime is the time after the last request of a tenant at which a node gives
	// back its last token.
	idleTime = 8 * time.Second
)

// Waiter receives the result for a request that waits for an owner: nil, or the refusal.
type Waiter chan *vanillabarrow.Refusal

// account is what a node has of one tenant's allowance.
type account struct {
	group int
	held  int
	// demand and served are requests per second. arrived and admitted count the
	// requests since measuredAt.
	demand, served    float64
	arrived, admitted int
	measuredAt        time.Time
	lastRequest       time.Time
	// refusedUntil is the time until which the owner need not be asked again.
	// available is when it expects to have tokens.
	refusedUntil, available time.Time
	waiters                 []Waiter
}

// measure updates the averages.
func (a *account) measure(now time.Time) {
	elapsed := now.Sub(a.measuredAt)
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/rateTime.Seconds())
	a.demand += (float64(a.arrived)/elapsed.Seconds() - a.demand) * weight
	a.served += (float64(a.admitted)/elapsed.Seconds() - a.served) * weight
	a.arrived, a.admitted, a.measuredAt = 0, 0, now
}

// stock returns the number of tokens that the node should have: those that it spends
// in stockTime, one standard deviation more, and one while requests come at all.
func (a *account) stock(now time.Time) int {
	if now.Sub(a.lastRequest) > idleTime {
		return 0
	}
	expected := a.demand * stockTime.Seconds()
	return max(1, int(math.Ceil(expected+math.Sqrt(expected))))
}

// report returns the demand of the account, and takes the tokens off it that the node
// gives back: those beyond its stock and one more, so that a stock that varies by one
// doesn't move tokens.
func (a *account) report(name string, now time.Time) vanillabarrow.TenantDemand {
	a.measure(now)
	stock := a.stock(now)
	d := vanillabarrow.TenantDemand{
		Tenant: name, Want: stock + len(a.waiters), Waiting: len(a.waiters), DemandRate: round(a.demand), ServedRate: round(a.served),
	}
	if a.held > stock+1 || stock == 0 {
		d.Returned = a.held - stock
		a.held = stock
	}
	d.Held = a.held
	return d
}

// round shortens the encoding of a rate.
func round(rate float64) float64 { return math.Round(rate*100) / 100 }

// take admits a request if a token is left.
func (a *account) take() bool {
	if a.held <= 0 {
		return false
	}
	a.held--
	a.admitted++
	return true
}

// apply adds granted tokens, admits waiting requests and refuses the others if the
// owner has none left.
func (a *account) apply(g vanillabarrow.TokenGrant, now time.Time) {
	a.held = max(0, a.held+g.Tokens)
	for len(a.waiters) > 0 && a.take() {
		a.waiters[0] <- nil
		a.waiters = a.waiters[1:]
	}
	a.refusedUntil, a.available = time.Time{}, time.Time{}
	if g.RetryAfter <= 0 || a.held > 0 {
		return
	}
	a.available = now.Add(g.RetryAfter)
	a.refusedUntil = now.Add(min(g.RetryAfter, reportInterval))
	for _, w := range a.waiters {
		w <- a.refusal(now)
	}
	a.waiters = nil
}

// refusal returns the refusal of a request that finds no token. Callers refused at the
// same time come back at different times.
func (a *account) refusal(now time.Time) *vanillabarrow.Refusal {
	r := vanillabarrow.NotRun(vanillabarrow.ReasonAllowance, "the tenant's allowance is used up")
	r.RetryAfter = max(minRetryAfter, a.available.Sub(now))
	r.RetryAfter += spread(r.RetryAfter)
	return r
}

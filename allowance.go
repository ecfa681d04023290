package vanillabarrow

import (
	"context"
	"errors"
	"time"
)

// ErrNotDelivered is returned when an allowance report certainly did not reach its
// owner.
var ErrNotDelivered = errors.New("report not delivered")

// AllowanceReport is what an entry node tells an owner about the tenants whose
// allowances the owner divides. A report without groups checks that the owner responds.
type AllowanceReport struct {
	VM string `json:"vm"`
	// Incarnation is unique for each start of the node, Sequence for each report of
	// an incarnation. Sequences increase.
	Incarnation string        `json:"incarnation"`
	Sequence    uint64        `json:"sequence"`
	Groups      []GroupReport `json:"groups,omitempty"`
}

// GroupReport is the part of a report about one group of tenants. It lists all tenants
// of which the node has tokens or requests.
type GroupReport struct {
	Group int `json:"group"`
	// Owner is the incarnation of the last owner that may count the node, empty for
	// one that the node's previous incarnation may have reported to.
	Owner string `json:"owner,omitempty"`
	// SinceOwner is the time since the last report that Owner may have received.
	SinceOwner time.Duration `json:"sinceOwner,omitempty"`
	// Leaving is set in the last report to an owner.
	Leaving bool           `json:"leaving,omitempty"`
	Tenants []TenantDemand `json:"tenants,omitempty"`
}

// TenantDemand is a node's demand for the allowance of one tenant.
type TenantDemand struct {
	Tenant string `json:"tenant"`
	// Held is the number of tokens that the node has. It gives back Returned ones.
	Held     int `json:"held,omitempty"`
	Returned int `json:"returned,omitempty"`
	// Want is the number of tokens that the node should have, including those for the
	// Waiting requests.
	Want    int `json:"want,omitempty"`
	Waiting int `json:"waiting,omitempty"`
	// DemandRate and ServedRate are the requests per second that arrived and that were
	// admitted.
	DemandRate float64 `json:"demandRate,omitempty"`
	ServedRate float64 `json:"servedRate,omitempty"`
}

// AllowanceReply is an owner's reply to a report.
type AllowanceReply struct {
	// Owner is the owner's incarnation.
	Owner string `json:"owner"`
	// Leaving is set when the owner shuts down and no longer counts the node.
	Leaving bool         `json:"leaving,omitempty"`
	Grants  []TokenGrant `json:"grants,omitempty"`
}

// TokenGrant changes the number of a node's tokens, each of which admits one request.
type TokenGrant struct {
	Tenant string `json:"tenant"`
	// Tokens is negative if the node has to give tokens back.
	Tokens int `json:"tokens,omitempty"`
	// RetryAfter is the time until tokens are available, 0 while the owner has some.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
}

// AllowanceOwner divides the allowances of tenants among the nodes that report to it.
type AllowanceOwner interface {
	// Grant returns the reply to a report, and false for a report that is older than
	// one received before.
	Grant(report AllowanceReport, now time.Time) (AllowanceReply, bool)
}

// AllowanceExchange sends reports to owners.
type AllowanceExchange interface {
	// Report sends the report to the node at the peer address. The error is
	// ErrNotDelivered if the report certainly did not arrive. Any other error leaves
	// open whether it did.
	Report(ctx context.Context, address string, report AllowanceReport) (AllowanceReply, error)
}

package message

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// ContextHeader is the header field that propagates a Context from a node
// through a target to the next node. Targets copy it from an incoming request
// to the outgoing requests that they make for it.
const ContextHeader = "Vb-Context"

// RetriesHeader is the header field with the number of attempts after the first
// that were made for a refused request. A target that refuses a request because
// one of its own requests was refused copies the field.
const RetriesHeader = "Vb-Retries"

// maxBudgetMillis is the maximum budget, in milliseconds, which is the longest
// time.Duration.
const maxBudgetMillis = math.MaxInt64 / int64(time.Millisecond)

// Context is what a request inherits from the request that caused it.
type Context struct {
	// Depth is the number of mesh hops that led to the request.
	Depth int
	// Retries is the remaining number of attempts after the first.
	Retries int
	// Budget is the remaining time. It is a duration because clocks of machines
	// differ.
	Budget time.Duration
}

// String returns the wire form, with the budget in milliseconds.
func (c Context) String() string {
	return fmt.Sprintf("depth=%d;retries=%d;budget=%d", c.Depth, c.Retries, c.Budget.Milliseconds())
}

// ParseContext parses the wire form. Unknown keys are ignored, but each key must
// have a non-negative integer as its value. A budget above maxBudgetMillis is an
// error.
func ParseContext(s string) (Context, error) {
	var c Context
	for field := range strings.SplitSeq(s, ";") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		n, err := strconv.Atoi(value)
		if !ok || err != nil || n < 0 {
			return Context{}, fmt.Errorf("field %q of %s is not a name with a non-negative integer", field, ContextHeader)
		}
		switch name {
		case "depth":
			c.Depth = n
		case "retries":
			c.Retries = n
		case "budget":
			if int64(n) > maxBudgetMillis {
				return Context{}, fmt.Errorf("field %q of %s is above the maximum of %d ms", field, ContextHeader, maxBudgetMillis)
			}
			c.Budget = time.Duration(n) * time.Millisecond
		}
	}
	return c, nil
}

package message

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// ContextHeader carries a Context from a node through a target to the next
// node. Targets copy it from a request to the requests they make for it.
const ContextHeader = "Vb-Context"

// RetriesHeader tells how many attempts beyond the first a refused request
// took. A target that refuses because of a refusal copies it.
const RetriesHeader = "Vb-Retries"

// Context is what a request inherits from the requests above it.
type Context struct {
	// Depth is the number of mesh hops above.
	Depth int
	// Retries is the number of attempts beyond the first that are left.
	Retries int
	// Budget is the time left, as a duration because clocks differ.
	Budget time.Duration
}

// String returns the form used on the wire, with the budget in milliseconds.
func (c Context) String() string {
	return fmt.Sprintf("depth=%d;retries=%d;budget=%d", c.Depth, c.Retries, c.Budget.Milliseconds())
}

// ParseContext reads the wire form. Unknown keys are ignored.
func ParseContext(s string) (Context, error) {
	var c Context
	for field := range strings.SplitSeq(s, ";") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		n, err := strconv.Atoi(value)
		if !ok || err != nil || n < 0 {
			return Context{}, fmt.Errorf("field %q of %s is not a name with a count", field, ContextHeader)
		}
		switch name {
		case "depth":
			c.Depth = n
		case "retries":
			c.Retries = n
		case "budget":
			c.Budget = time.Duration(n) * time.Millisecond
		}
	}
	return c, nil
}

package kernel

import (
	"errors"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// bodyRetryAfter is the delay for callers whose body found no memory.
const bodyRetryAfter = time.Second

// BodyRefusal returns the refusal of a request whose body could not be read, as not
// run. A body that found no memory may be sent again later; others are incomplete.
func BodyRefusal(err error) *vanillabarrow.Refusal {
	if !errors.Is(err, ErrIntakeRefused) {
		return vanillabarrow.NotRun(vanillabarrow.ReasonBodyIncomplete, err.Error())
	}
	refusal := vanillabarrow.NotRun(vanillabarrow.ReasonOverloaded, ErrIntakeRefused.Error())
	refusal.RetryAfter = bodyRetryAfter
	return refusal
}

package target

import (
	"net/http"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
)

// Protocol implements vanillabarrow.TargetProtocol with the header fields of
// the inventory profile.
type Protocol struct{}

// NewProtocol returns the protocol.
func NewProtocol() Protocol { return Protocol{} }

// EncodeRequest implements vanillabarrow.TargetProtocol.
func (Protocol) EncodeRequest(h vanillabarrow.Header, a *vanillabarrow.Attempt, now time.Time) {
	h[message.ContextHeader] = []string{message.Context{
		Depth:   a.Request.Depth + 1,
		Retries: a.Request.RetriesLeft,
		Budget:  a.Deadline.Sub(now),
	}.String()}
}

// Classify implements vanillabarrow.TargetProtocol. Targets do not echo a
// request id, so every response counts as the one to the request.
func (Protocol) Classify(*vanillabarrow.Attempt, int, vanillabarrow.Header) vanillabarrow.ResponseClass {
	return vanillabarrow.ResponseValid
}

// NamesRequest implements vanillabarrow.TargetProtocol.
func (Protocol) NamesRequest(vanillabarrow.Header) bool { return false }

// Health implements vanillabarrow.TargetProtocol.
func (Protocol) Health(status int, _ vanillabarrow.Header) vanillabarrow.Health {
	return vanillabarrow.Health{OK: status == http.StatusOK}
}

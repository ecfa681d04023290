package dispatch

import (
	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// GateTokens holds the newest known token of each gate.
type GateTokens struct {
	mu     *kernel.Mutex
	tokens map[string]vanillabarrow.Token
}

// NewGateTokens returns an empty table.
func NewGateTokens() *GateTokens {
	return &GateTokens{mu: kernel.NewMutex(kernel.RankGateTokens), tokens: map[string]vanillabarrow.Token{}}
}

// Get returns the token of the target's gate, the zero token if none is known.
func (t *GateTokens) Get(target string) vanillabarrow.Token {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tokens[target]
}

// Put stores a token sent by the target's gate, unless a newer one of the same
// incarnation is known.
func (t *GateTokens) Put(target string, token vanillabarrow.Token) {
	if token.Incarnation == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.tokens[target]
	if old.Incarnation == token.Incarnation && old.Epoch > token.Epoch {
		return
	}
	t.tokens[target] = token
}

// Retain removes the tokens of targets for which keep returns false.
func (t *GateTokens) Retain(keep func(target string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target := range t.tokens {
		if !keep(target) {
			delete(t.tokens, target)
		}
	}
}

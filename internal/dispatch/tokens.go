package dispatch

import (
	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// GateTokens holds the newest token seen of each gate.
type GateTokens struct {
	mu     *kernel.Mutex
	tokens map[string]vanillabarrow.Token
}

// NewGateTokens returns an empty table.
func NewGateTokens() *GateTokens {
	return &GateTokens{mu: kernel.NewMutex(kernel.RankGateTokens), tokens: map[string]vanillabarrow.Token{}}
}

// Get returns the token for the gate of a target.
func (t *GateTokens) Get(target string) vanillabarrow.Token {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tokens[target]
}

// Put notes the token that the gate of a target sent.
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

// Retain forgets the gates of targets for which keep returns false.
func (t *GateTokens) Retain(keep func(target string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target := range t.tokens {
		if !keep(target) {
			delete(t.tokens, target)
		}
	}
}

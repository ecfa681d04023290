// Package property runs property tests at a fixed seed, so that every run of
// the tests gives the same verdict. Flags of the rapid library go before it.
package property

import (
	"flag"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

const (
	// seed is used unless the flag rapid.seed is given.
	seed = 20261204
	// Checks is the number of runs unless the flag rapid.checks is given.
	Checks = 1000
)

// Check runs the property.
func Check(t *testing.T, property func(t *rapid.T)) {
	t.Helper()
	CheckN(t, Checks, property)
}

// CheckN runs the property n times, for one whose runs are slow.
func CheckN(t *testing.T, n int, property func(t *rapid.T)) {
	t.Helper()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed":       strconv.Itoa(seed),
		"rapid.checks":     strconv.Itoa(n),
		"rapid.nofailfile": "true",
	} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		// The node's own choices follow from the seed as well.
		defer random.Seed(rapid.Uint64().Draw(t, "choices"))()
		property(t)
	})
}

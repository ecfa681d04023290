// Package property runs property-based tests with a fixed seed, so that every
// run gives the same result. Flags of the rapid library on the command line
// take precedence.
package property

import (
	"flag"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/vanillabarrow/vanillabarrow/internal/random"
)

const (
	// seed is the seed unless the flag rapid.seed is set.
	seed = 20261204
	// Checks is the default number of generated cases, unless the flag
	// rapid.checks is set.
	Checks = 1000
)

// Check tests the property with the default number of generated cases.
func Check(t *testing.T, property func(t *rapid.T)) {
	t.Helper()
	CheckN(t, Checks, property)
}

// CheckN tests the property with n generated cases. It is for properties whose
// cases take long to run.
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
		// The random numbers of the code under test derive from the seed too.
		defer random.Seed(rapid.Uint64().Draw(t, "choices"))()
		property(t)
	})
}

package vanillabarrow_test

import (
	"errors"
	"fmt"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

func ExampleParseVerdict() {
	fmt.Println(vanillabarrow.ParseVerdict("not-run"))
	fmt.Println(vanillabarrow.ParseVerdict("something else"))
	// Output:
	// not-run
	// may-have-run
}

func ExampleAsRefusal() {
	known := fmt.Errorf("attempt: %w", vanillabarrow.NotRun(vanillabarrow.ReasonDraining, "node is shutting down"))
	fmt.Println(vanillabarrow.AsRefusal(known))
	fmt.Println(vanillabarrow.AsRefusal(errors.New("connection reset")).Verdict)
	// Output:
	// not-run: draining: node is shutting down
	// may-have-run
}

func ExampleUpdate_Size() {
	u := vanillabarrow.Update{
		Root:  vanillabarrow.Patch{Content: []byte("manifest")},
		Parts: []vanillabarrow.Patch{{Name: "rules", Held: true}, {Name: "sk-west-a", Content: []byte("part")}},
	}
	fmt.Println(u.Size())
	// Output: 12
}

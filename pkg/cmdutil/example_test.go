package cmdutil_test

import (
	"fmt"

	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
)

func ExampleTable() {
	streams, _, out, _ := iostreams.Test()
	table := cmdutil.NewTable(streams, "NAME", "SLOTS")
	table.AddRow("survey-desk-1", 12)
	if err := table.Print(); err != nil {
		fmt.Println(err)
	}
	fmt.Printf("%q\n", out.String())
	// Output: "survey-desk-1\t12\n"
}

func ExamplePositional() {
	fs := cmdutil.NewFlagSet("check")
	asJSON := fs.Bool("json", false, "print JSON")
	files, err := cmdutil.Positional(fs, []string{"a.yaml", "--json", "b.yaml"})
	fmt.Println(files, *asJSON, err)
	// Output: [a.yaml b.yaml] true <nil>
}

package cmdutil

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// Table prints rows: in aligned columns with a heading if the output is a
// terminal, else tab-separated without a heading.
type Table struct {
	io      *iostreams.IOStreams
	heading []string
	rows    [][]string
}

// NewTable returns a table with the given heading.
func NewTable(io *iostreams.IOStreams, heading ...string) *Table {
	return &Table{io: io, heading: heading}
}

// AddRow adds a row. Values are formatted as by fmt.Sprint, and tabs in them are
// replaced by spaces.
func (t *Table) AddRow(values ...any) {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = strings.ReplaceAll(fmt.Sprint(v), "\t", " ")
	}
	t.rows = append(t.rows, row)
}

// Print writes the table to the output stream.
func (t *Table) Print() error {
	if !t.io.IsTerminal() {
		for _, row := range t.rows {
			if _, err := fmt.Fprintln(t.io.Out, strings.Join(row, "\t")); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(t.io.Out, 0, 0, columnGap, ' ', 0)
	for _, row := range append([][]string{t.heading}, t.rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// PrintJSON writes a value to the output stream as indented JSON.
func PrintJSON(io *iostreams.IOStreams, v any) error {
	encoder := json.NewEncoder(io.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

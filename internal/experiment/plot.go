package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws a line chart of columns over the number of nodes, with one line
// for each column, and saves it to the file. It reads a CSV of Header and rows
// and uses the rows of one phase. The extension of the file, such as .svg,
// selects the format.
func Plot(r io.Reader, phase, title string, columns []string, file string) error {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return err
	}
	if len(rows) < 2 {
		return fmt.Errorf("no measurements to plot")
	}
	index := map[string]int{}
	for i, name := range rows[0] {
		index[name] = i
	}
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "nodes"
	p.Y.Min = 0
	var lines []any
	for _, column := range columns {
		i, ok := index[column]
		if !ok {
			return fmt.Errorf("no column %q", column)
		}
		var points plotter.XYs
		for _, row := range rows[1:] {
			if row[index["phase"]] != phase {
				continue
			}
			x, errX := strconv.ParseFloat(row[index["nodes"]], 64)
			y, errY := strconv.ParseFloat(row[i], 64)
			if errX != nil || errY != nil {
				return fmt.Errorf("row %v: values to plot are not numbers", row)
			}
			points = append(points, plotter.XY{X: x, Y: y})
		}
		lines = append(lines, column, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}

package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPlot(t *testing.T) {
	rows := Header + "\n" + Row{Nodes: 25, Phase: "idle", CPUPercentPerNode: 1}.String() + "\n" + Row{Nodes: 50, Phase: "idle", CPUPercentPerNode: 2}.String() + "\n"
	tests := map[string]struct {
		csv    string
		column string
		want   string
	}{
		"one column":     {rows, "cpuPercentPerNode", ""},
		"unknown column": {rows, "speed", `no column "speed"`},
		"no rows":        {Header + "\n", "cpuPercentPerNode", "no measurements to plot"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "plot.svg")
			err := Plot(strings.NewReader(tt.csv), "idle", "title", []string{tt.column}, file)
			if tt.want != "" {
				require.ErrorContains(t, err, tt.want)
				return
			}
			require.NoError(t, err)
			b, err := os.ReadFile(file)
			require.NoError(t, err)
			require.Contains(t, string(b), "<svg")
		})
	}
}

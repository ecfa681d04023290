package operator_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const root = "../.."

// metricsInCode returns the full names of the metrics that the code under
// internal and platform creates. The first part of a name is the package.
func metricsInCode(t *testing.T) map[string]bool {
	found := map[string]bool{}
	for _, dir := range []string{"internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if name := metricName(n); name != "" {
					found[file.Name.Name+"_"+name] = true
				}
				return true
			})
			return nil
		})
		require.NoError(t, err)
	}
	return found
}

// metricName returns the name of the metric that a node of the syntax tree
// creates, empty if it creates none.
func metricName(n ast.Node) string {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return ""
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains([]string{"Counter", "Gauge", "Histogram", "Timer"}, method.Sel.Name) {
		return ""
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok {
		return ""
	}
	name, err := strconv.Unquote(literal.Value)
	if err != nil {
		return ""
	}
	return name
}

// TestMetricsAreDocumented checks that docs/METRICS.md lists exactly the
// metrics in the code.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "METRICS.md"))
	require.NoError(t, err)
	documented := map[string]bool{}
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 5 {
			continue
		}
		for _, match := range regexp.MustCompile("`([a-z]+_[A-Za-z]+)`").FindAllStringSubmatch(cells[1], -1) {
			documented[match[1]] = true
		}
	}
	require.NotEmpty(t, documented)
	require.Equal(t, metricsInCode(t), documented)
}

package explain

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillabarrow/vanillabarrow/internal/dispatch"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
)

// TestExplain guards against a refused request that the exit code doesn't show, an
// error of the node that is lost, and values that don't reach the node.
func TestExplain(t *testing.T) {
	going := &dispatch.Explanation{
		Route: "returns", Service: "desk", First: "a", AdmitShare: 1,
		Targets: []dispatch.ExplainedTarget{{Name: "a"}, {Name: "b", LeftOut: "draining"}},
	}
	kept := &dispatch.Explanation{
		Route: "returns", Service: "desk", First: "a", AdmitShare: 1, ConfigKept: true,
		Targets: []dispatch.ExplainedTarget{{Name: "a"}, {Name: "b", LeftOut: "draining", Kept: true}},
	}
	refused := &dispatch.Explanation{AdmitShare: 1, Refusal: &dispatch.ExplainedRefusal{Verdict: "not-run", Reason: "noTarget"}}
	tests := map[string]struct {
		args        []string
		explanation *dispatch.Explanation
		silent      bool
		fails       string
		prints      string
	}{
		"goes":        {[]string{"/x", "-method", "PUT", "-tenant", "acme", "-host", "h"}, going, false, "", "first a, next none"},
		"left out":    {[]string{"/x", "-method", "PUT", "-tenant", "acme", "-host", "h"}, going, false, "", "left out: draining"},
		"kept routes": {[]string{"/x"}, kept, false, "", "the routes are kept from before a restore"},
		"kept target": {[]string{"/x"}, kept, false, "", "left out: draining, kept from before a restore"},
		"refused":     {[]string{"/x"}, refused, true, "", "refused: not-run noTarget"},
		"JSON":        {[]string{"/x", "-json"}, refused, true, "", `"reason": "noTarget"`},
		"node errors": {[]string{"/x"}, nil, false, "400 Bad Request: no such tenant", ""},
		"no path":     {nil, going, false, "expected the operator address of one node and the path", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				require.Equal(t, "/explain", r.URL.Path)
				require.Equal(t, "/x", r.URL.Query().Get("path"))
				if len(tt.args) > 2 {
					require.Equal(t, "PUT acme h", r.URL.Query().Get("method")+" "+r.URL.Query().Get("tenant")+" "+r.URL.Query().Get("host"))
				}
				if tt.explanation == nil {
					http.Error(w, "no such tenant", http.StatusBadRequest)
					return
				}
				_ = json.NewEncoder(w).Encode(tt.explanation)
			}))
			defer node.Close()
			out := &bytes.Buffer{}
			f := &cmdutil.Factory{IO: &iostreams.IOStreams{Out: out}, HTTP: node.Client()}
			err := NewCmdExplain(f, nil).ParseAndRun(t.Context(), append([]string{strings.TrimPrefix(node.URL, "http://")}, tt.args...))
			switch {
			case tt.silent:
				require.ErrorIs(t, err, cmdutil.ErrSilent)
			case tt.fails != "":
				require.ErrorContains(t, err, tt.fails)
			default:
				require.NoError(t, err)
			}
			require.Contains(t, out.String(), tt.prints)
		})
	}
}

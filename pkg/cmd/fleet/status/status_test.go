package status

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/internal/operator"
	"github.com/vanillabarrow/vanillabarrow/internal/tenant"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
)

// TestRejectionsAreShown checks that a rejected configuration and a rejected VM
// list both make a fleet unhealthy and are shown.
func TestRejectionsAreShown(t *testing.T) {
	tests := map[string]struct {
		rollout vanillabarrow.RolloutStatus
		shown   string
	}{
		"none":          {vanillabarrow.RolloutStatus{}, ""},
		"configuration": {vanillabarrow.RolloutStatus{Rejection: &vanillabarrow.Rejection{Version: 7, Reason: "a\nb\nc"}}, "version 7: a (and 2 more)"},
		"VM list":       {vanillabarrow.RolloutStatus{VMsRejection: &vanillabarrow.Rejection{Version: 8, Reason: "d"}}, "VM list 8: d"},
		"both": {vanillabarrow.RolloutStatus{
			Rejection: &vanillabarrow.Rejection{Version: 7, Reason: "a"}, VMsRejection: &vanillabarrow.Rejection{Version: 8, Reason: "d"},
		}, "version 7: a; VM list 8: d"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &operator.Status{Ready: true, Rollout: tt.rollout}
			require.Equal(t, tt.shown, rejectionOf(s))
			require.Equal(t, tt.shown == "", healthy([]Row{{Status: s}}))
		})
	}
}

// TestEndlessStatus checks that a status without end is not read until the
// request times out.
func TestEndlessStatus(t *testing.T) {
	const maxEndlessBytes = 64 << 20
	tests := map[string]struct{ start, repeat string }{
		"string":     {`{"vm":"`, "x"},
		"list":       {`{"parents":[""`, `,""`},
		"space":      {"", " "},
		"other keys": {`{"x":0`, `,"x":0`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				total, err := io.WriteString(w, tt.start)
				block := strings.Repeat(tt.repeat, 8<<10)
				for err == nil && total < maxEndlessBytes {
					var n int
					n, err = io.WriteString(w, block)
					total += n
				}
				written <- total
			}))
			defer ts.Close()
			_, err := fetchStatus(t.Context(), ts.Client(), strings.TrimPrefix(ts.URL, "http://"))
			require.Error(t, err)
			require.Less(t, <-written, maxEndlessBytes)
		})
	}
}

// TestLongHeaderOfStatus checks that a header above the limit is refused.
func TestLongHeaderOfStatus(t *testing.T) {
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-A", strings.Repeat("x", cmdutil.MaxResponseHeaderBytes))
		_, _ = io.WriteString(w, "{}")
	}))
	defer ts.Close()
	_, err := fetchStatus(t.Context(), cmdutil.NewFactory("").HTTP, strings.TrimPrefix(ts.URL, "http://"))
	require.ErrorContains(t, err, "exceeded")
}

// TestRejectionOfLargeInventory guards against a status that is refused for its
// size because the node rejected an inventory with a problem in every target.
func TestRejectionOfLargeInventory(t *testing.T) {
	const targets = 10_000
	var document strings.Builder
	document.WriteString("kind: config\nschema: 1\ntargets:\n")
	for i := range targets {
		fmt.Fprintf(&document, "  - {name: t%d, service: desk, vm: vm-%d, address: \"127.0.0.1:1\"}\n", i, i)
	}
	_, problems := inventory.CompileFiles(7, []inventory.File{{Name: "inventory.yaml", Bytes: []byte(document.String())}})
	require.Error(t, problems)
	want := &operator.Status{Rollout: vanillabarrow.RolloutStatus{Rejection: &vanillabarrow.Rejection{Version: 7, Reason: problems.Error()}}}
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(want)
	}))
	defer ts.Close()
	status, err := fetchStatus(t.Context(), ts.Client(), strings.TrimPrefix(ts.URL, "http://"))
	require.NoError(t, err, "the reason has %d bytes", len(problems.Error()))
	require.Equal(t, want.Rollout.Rejection.Reason, status.Rollout.Rejection.Reason)
}

// TestAllowancesAreShown checks the table of tenants: the busiest first, one row for
// each owner, and no row for a node that did not respond.
func TestAllowancesAreShown(t *testing.T) {
	var out bytes.Buffer
	opts := &Options{Tenants: true, ConfigOptions: cmdutil.ConfigOptions{IO: &iostreams.IOStreams{Out: &out}}}
	rows := []Row{
		{Error: "timeout"},
		{Status: &operator.Status{VM: "vm-1", Allowances: []tenant.Use{{Tenant: "beta", Limit: 5, Share: 1, DemandRate: 2, ServedRate: 2}}}},
		{Status: &operator.Status{VM: "vm-2", Allowances: []tenant.Use{{
			Tenant: "alpha", Limit: 36, Burst: 10, Share: 0.5, DemandRate: 80, ServedRate: 36, Tokens: 3.4, Held: 7,
			Nodes: []tenant.NodeUse{{VM: "vm-3", ServedRate: 30}, {VM: "vm-1", ServedRate: 6}},
		}}}},
	}
	require.NoError(t, write(opts, rows))
	require.Equal(t, "alpha\t36\t10\tvm-2\t0.50\t80.0/s\t36.0/s\t3\t7\tvm-3 30.0/s, vm-1 6.0/s\n"+
		"beta\t5\t0\tvm-1\t1.00\t2.0/s\t2.0/s\t0\t0\t\n", out.String())
}

// TestEraIsShown guards against a fleet status that hides the era of a node's versions
// on its way from the node to the table.
func TestEraIsShown(t *testing.T) {
	era, _ := vanillabarrow.NewEra(2)
	want := &operator.Status{VM: "vm-1", DataCentre: "a", Ready: true, Version: vanillabarrow.NewVersion(era, 15), Rollout: vanillabarrow.RolloutStatus{Kept: 3}}
	ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(want) }))
	defer ts.Close()
	status, err := fetchStatus(t.Context(), ts.Client(), strings.TrimPrefix(ts.URL, "http://"))
	require.NoError(t, err)
	require.Equal(t, want.Version, status.Version)
	var out bytes.Buffer
	opts := &Options{ConfigOptions: cmdutil.ConfigOptions{IO: &iostreams.IOStreams{Out: &out}}}
	require.NoError(t, write(opts, []Row{{Address: "x", Status: status}}))
	require.Equal(t, "x\tvm-1\ta\t2/15 (3 kept)\t0.0s\tserving\trank 0\t\t\n", out.String())
}

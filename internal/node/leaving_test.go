package node_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTargetLeavesUnknownToStore guards against nodes of the profile store that don't send
// health checks to a healthy target, and so send it requests although it reports that it
// leaves: the store has it as ready all the time.
func TestTargetLeavesUnknownToStore(t *testing.T) {
	f := startFleet(t, "", "near", "far")
	status := func() int {
		code, _ := f.call(t, "near", "/public/far/x", "")
		return code
	}
	require.Equal(t, http.StatusOK, status())
	// From then on nothing but the interval calls for a check.
	require.Eventually(t, func() bool { return strings.Contains(f.log.String(), "answeredBy=far ok=true") }, startTimeout, pollInterval)
	f.leaving.Store(true)
	require.Eventually(t, func() bool { return status() == http.StatusServiceUnavailable }, startTimeout, pollInterval)
	f.targets.Reset()
	require.Equal(t, http.StatusServiceUnavailable, status())
	require.NotContains(t, f.targets.String(), "GET /public/far/x")
	require.Contains(t, f.operatorViews(t, "far"), `"targetLeaving": true`)
	f.leaving.Store(false)
	require.Eventually(t, func() bool { return status() == http.StatusOK }, startTimeout, pollInterval)
}

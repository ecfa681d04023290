package node_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

const secretKey = "k-SECRET-1"

// TestCredentialStaysAtEntryNode looks for a credential in all that leaves the node
// that the caller uses. The configuration itself, which nodes relay unchanged, is
// received before the test looks.
func TestCredentialStaysAtEntryNode(t *testing.T) {
	f := startFleet(t, `[{"name":"alpha","api_keys":["k-SECRET-1"]},{"name":"beta","api_keys":["k-SECRET-2"]}]`, "near", "far")
	f.peers.Reset()
	for _, service := range []string{"near", "far"} {
		status, body := f.call(t, "near", "/"+service+"/x", secretKey)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "alpha", body, "the target gets the tenant's name")
		status, body = f.call(t, "near", "/public/"+service+"/x", "")
		require.Equal(t, http.StatusOK, status)
		require.Empty(t, body, "the caller can't name a tenant")
		for _, wrong := range []string{"", "k-SECRET-3", "k-SECRET"} {
			status, _ = f.call(t, "near", "/"+service+"/x", wrong)
			require.Equal(t, http.StatusUnauthorized, status)
		}
	}
	require.Contains(t, f.peers.String(), "Vb-Tenant: alpha")
	for name, text := range map[string]string{
		"targets": f.targets.String(), "nodes": f.peers.String(), "log": f.log.String(),
		"operator of near": f.operatorViews(t, "near"), "operator of far": f.operatorViews(t, "far"),
	} {
		require.NotContains(t, text, "SECRET", name)
		require.NotContains(t, text, "X-Credential", name)
	}
	require.Contains(t, f.log.String(), `reason=unauthorized`)
}

// TestCredentialsChange guards against credentials that remain valid on an open
// connection, and against nodes without tenants that ask for any.
func TestCredentialsChange(t *testing.T) {
	f := startFleet(t, "", "near")
	status, body := f.call(t, "near", "/near/x", secretKey)
	require.Equal(t, http.StatusOK, status, "there are no tenants")
	require.Empty(t, body)
	steps := []struct {
		tenants string
		status  int
		body    string
	}{
		{`[{"name":"alpha","api_keys":["k-SECRET-1"]}]`, http.StatusOK, "alpha"},
		{`[{"name":"alpha","api_keys":[]},{"name":"beta","api_keys":["k-SECRET-1"]}]`, http.StatusOK, "beta"},
		{`[{"name":"alpha","api_keys":[]},{"name":"beta","api_keys":["k-SECRET-2"]}]`, http.StatusUnauthorized, ""},
	}
	for _, step := range steps {
		f.waitVersion(t, f.configure(step.tenants, "near"))
		status, body = f.call(t, "near", "/near/x", secretKey)
		require.Equal(t, step.status, status)
		if status == http.StatusOK {
			require.Equal(t, step.body, body)
		}
	}
	require.Contains(t, f.log.String(), `msg="credential withdrawn" tenant=beta count=1`)
}

// TestAllowanceOverNodes guards against a limit that each node applies on its own, and
// against refusals within it.
func TestAllowanceOverNodes(t *testing.T) {
	f := startFleet(t, `[{"name":"alpha","api_keys":["k-SECRET-1"],"requests_per_s":1,"burst":1},{"name":"beta","api_keys":["k-SECRET-2"]}]`, "near", "far")
	require.Eventually(t, func() bool {
		status, _ := f.call(t, "near", "/far/x", secretKey)
		return status == http.StatusOK
	}, startTimeout, 10*pollInterval)
	counts := map[int]int{}
	for range 40 {
		for _, via := range []string{"near", "far"} {
			status, _ := f.call(t, via, "/far/x", secretKey)
			counts[status]++
			status, _ = f.call(t, via, "/far/x", "k-SECRET-2")
			require.Equal(t, http.StatusOK, status, "the tenant has no limit")
		}
	}
	require.Equal(t, 80, counts[http.StatusOK]+counts[http.StatusTooManyRequests], counts)
	require.Positive(t, counts[http.StatusTooManyRequests])
	dump := f.operatorViews(t, "near") + f.operatorViews(t, "far")
	require.Contains(t, dump, `"tenant": "alpha"`)
	require.Contains(t, dump, "tenant_refused")
	require.NotContains(t, dump, "SECRET")
	require.Contains(t, f.log.String(), "reason=allowance")
}

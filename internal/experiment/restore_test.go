package experiment

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRunRestore guards against a play that fails, that leaves files behind, or whose
// figures do not come from the nodes.
func TestRunRestore(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "vanillabarrow")
	output, err := exec.Command("go", "build", "-tags", "node", "-o", binary, "../../cmd/vanillabarrow").CombinedOutput()
	require.NoError(t, err, string(output))
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	r, err := RunRestore(t.Context(), RestoreConfig{
		Binary: binary, Nodes: MinRestoreNodes, DataCentres: 1, LostRevisions: 5, NamesEra: true,
		OperatorRepeats: true, TargetsRepeat: true, TargetDelay: time.Second, Observe: 4 * time.Second,
	})
	require.NoError(t, err)
	require.Equal(t, MinRestoreNodes, r.Era.Nodes)
	require.Equal(t, MinRestoreNodes, r.Route.Nodes)
	require.Positive(t, r.Calls.Gone)
	require.Positive(t, r.PeakCalls)
	require.Len(t, r.Departed, 2)
	require.Len(t, r.Kept, MinRestoreNodes)
	for _, k := range r.Kept {
		require.Equal(t, 1, k.Changes)
		require.Positive(t, k.Kept)
		require.Equal(t, uint64(2), k.Version.Era().Stated())
	}
	left, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Empty(t, left)
}

package peer

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/peer/controlv1/controlv1connect"
)

// TestPathReachesTheGateUnchanged guards against requests that run with another
// path, or that the control services of a node take for theirs.
func TestPathReachesTheGateUnchanged(t *testing.T) {
	tests := map[string]string{
		"plain":                  "/returns/7",
		"query":                  "/returns?a=b/c?d",
		"empty query":            "/returns?",
		"encoded":                "/returns/a%2Fb%7c",
		"not encoded":            `/returns/a|b"<é>`,
		"number sign":            "/returns#x",
		"dot segments":           "/returns/../a/./b",
		"two slashes":            "//returns//a",
		"path of a control call": controlv1connect.FenceAskProcedure,
	}
	for name, path := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			got := ""
			f.gate.handle = func(_ context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
				got = a.Request.Path
				return &vanillabarrow.Response{Status: http.StatusOK}, nil
			}
			a := f.attempt()
			a.Request.Path = path
			_, err := f.forwarder.Forward(t.Context(), a)
			require.NoError(t, err)
			require.Equal(t, path, got)
		})
	}
}

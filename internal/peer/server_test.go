package peer

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

func TestServerRejectsInvalidAttempts(t *testing.T) {
	f := newFixture(t)
	tests := map[string]http.Header{
		"no fields":      {},
		"no target":      {headerAttempt: {"a"}},
		"invalid budget": {headerAttempt: {"a"}, headerTarget: {"t"}, headerBudget: {"x"}},
	}
	for name, h := range tests {
		t.Run(name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.address+"/returns", nil)
			require.NoError(t, err)
			request.Header = h
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusBadRequest, response.StatusCode)
			require.Equal(t, "not-run", response.Header.Get(headerVerdict))
			require.Equal(t, h.Get(headerAttempt), response.Header.Get(headerAttempt))
		})
	}
}

func TestQueryAttempt(t *testing.T) {
	tests := map[string]vanillabarrow.AttemptReport{
		"unknown":                {State: vanillabarrow.AttemptUnknown},
		"running":                {State: vanillabarrow.AttemptRunning},
		"fenced":                 {State: vanillabarrow.AttemptFenced},
		"certainly not run":      {State: vanillabarrow.AttemptFenced, NotRun: true},
		"failed":                 {State: vanillabarrow.AttemptFailed},
		"finished":               {State: vanillabarrow.AttemptFinished},
		"finished with response": {State: vanillabarrow.AttemptFinished, Response: &vanillabarrow.Response{Status: 200, Header: vanillabarrow.Header{"A": {"1", "2"}}, Body: []byte("x"), Size: 1, Target: "t1"}},
	}
	for name, report := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.gate.report = report
			got, err := f.forwarder.QueryAttempt(t.Context(), f.attempt())
			require.NoError(t, err)
			require.Equal(t, report, *got)
			require.Equal(t, "attempt-1", f.gate.queried.ID)
			require.Equal(t, token, f.gate.queried.Token)
			require.Nil(t, f.gate.withdrawn)
			got, err = f.forwarder.WithdrawAttempt(t.Context(), f.attempt())
			require.NoError(t, err)
			require.Equal(t, report, *got)
			require.Equal(t, "attempt-1", f.gate.withdrawn.ID)
			require.Equal(t, token, f.gate.withdrawn.Token)
			// A released key has no proof of its own.
			report.NotRun = false
			got, err = NewKeyReleaser(kernel.NewTraffic()).ReleaseKey(t.Context(), f.address, vanillabarrow.KeyReleaseRequest{Target: "t1"})
			require.NoError(t, err)
			require.Equal(t, report, *got)
		})
	}
}

func FuzzReadAttempt(f *testing.F) {
	f.Add("a", "t", "100", "1", "2", "inc.7", "1/2/3/0")
	f.Fuzz(func(t *testing.T, id, target, budget, depth, retries, tokenText, load string) {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		for name, value := range map[string]string{
			headerAttempt: id, headerTarget: target, headerBudget: budget, headerDepth: depth, headerRetries: retries, headerToken: tokenText,
		} {
			r.Header.Set(name, value)
		}
		a, err := readAttempt(r, time.Now())
		if err == nil {
			require.Equal(t, id, a.ID)
		}
		if l, ok := parseLoad(load); ok {
			require.GreaterOrEqual(t, l.Limit, 0)
		}
	})
}

package gate

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// setBody gives the request a body of which the first buffered bytes have been
// read.
func setBody(r *vanillabarrow.Request, body []byte, buffered int) {
	r.Size = int64(len(body))
	r.Body = body[:buffered]
	if buffered < len(body) {
		r.Stream = bytes.NewReader(body[buffered:])
	}
}

// TestRepeatedKey checks that a repeat is recognised by its body, whatever part of
// the body the sender holds back.
func TestRepeatedKey(t *testing.T) {
	short := []byte("short body")
	long := bytes.Repeat([]byte("x"), 3*maxBufferedBody)
	tests := map[string]struct {
		first, second                 []byte
		firstBuffered, secondBuffered int
		// repeat is set if the second request is a repeat of the first.
		repeat bool
	}{
		"both buffered":                  {short, short, len(short), len(short), true},
		"first held back":                {short, short, 0, len(short), true},
		"second held back":               {short, short, len(short), 0, true},
		"both held back":                 {short, short, 0, 0, true},
		"no body":                        {nil, nil, 0, 0, true},
		"long, first held back":          {long, long, 0, len(long), true},
		"long, second held back":         {long, long, len(long), 0, true},
		"long, partly buffered":          {long, long, maxBufferedBody + 1, 0, true},
		"other body, buffered":           {short, []byte("other body"), len(short), len(short), false},
		"other body, held back":          {short, []byte("other body"), 0, 0, false},
		"shorter body, held back":        {short, short[:4], 0, 0, false},
		"no body after a held-back body": {short, nil, 0, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeExecutor{status: 200}
				g, cfg := newGate(e)
				s := snapshot(false)
				s.Services[service].KeyWindow = time.Minute
				cfg.snapshot.Store(s)
				time.Sleep(2 * time.Minute)
				first, second := attempt(g, "a"), attempt(g, "b")
				setBody(first.Request, tt.first, tt.firstBuffered)
				setBody(second.Request, tt.second, tt.secondBuffered)
				first.Request.Key, second.Request.Key = "key", "key"
				_, err := g.Handle(t.Context(), first)
				require.NoError(t, err)
				_, err = g.Handle(t.Context(), second)
				if !tt.repeat {
					require.Error(t, err)
					require.Equal(t, vanillabarrow.ReasonDuplicate, vanillabarrow.AsRefusal(err).Reason)
				} else {
					require.NoError(t, err)
				}
				require.Equal(t, int64(1), e.runs.Load())
			})
		})
	}
}

// reportingReleaser returns the same report about each key.
type reportingReleaser struct{ report vanillabarrow.AttemptReport }

func (r reportingReleaser) ReleaseKey(context.Context, string, vanillabarrow.KeyReleaseRequest) (*vanillabarrow.AttemptReport, error) {
	return &r.report, nil
}

// TestReportOfPreviousOwner checks what a report about a key states. One without the
// response that it announces must not free the key.
func TestReportOfPreviousOwner(t *testing.T) {
	tests := map[string]struct {
		report vanillabarrow.AttemptReport
		free   bool
		reason vanillabarrow.Reason
	}{
		"never used":                {report: vanillabarrow.AttemptReport{State: vanillabarrow.AttemptFenced}, free: true},
		"finished":                  {report: vanillabarrow.AttemptReport{State: vanillabarrow.AttemptFinished, Response: &vanillabarrow.Response{Status: 200}}},
		"finished without response": {report: vanillabarrow.AttemptReport{State: vanillabarrow.AttemptFinished}, reason: vanillabarrow.ReasonKeyUnknown},
		"unknown":                   {report: vanillabarrow.AttemptReport{}, reason: vanillabarrow.ReasonKeyUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g, cfg := newGate(&fakeExecutor{})
			g.keyReleaser = reportingReleaser{tt.report}
			response, err := g.requestRelease(t.Context(), cfg.Snapshot(), target, vanillabarrow.KeyReleaseRequest{})
			if tt.reason != "" {
				require.Equal(t, tt.reason, vanillabarrow.AsRefusal(err).Reason)
				require.Equal(t, vanillabarrow.VerdictMayHaveRun, vanillabarrow.AsRefusal(err).Verdict)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.free, response == nil)
		})
	}
}

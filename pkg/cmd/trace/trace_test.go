package trace

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/vanillabarrow/vanillabarrow/internal/trace"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
)

const (
	// senderLog is the log of the node that received the requests, gateLog that of
	// the target's node.
	senderLog = `   4.1 node-1 time=2026-12-04T10:00:00.000Z level=INFO msg="data centre set aside" vm=10.0.0.1 dataCentre=b target=t2
   4.2 node-1 time=2026-12-04T10:00:01.000Z level=INFO msg="attempt ended" vm=10.0.0.1 id=r1 attempt=a1 target=t1 verdict=not-run reason=overloaded detail="no slot in time" next=false
   4.2 node-1 time=2026-12-04T10:00:01.001Z level=INFO msg="request refused" vm=10.0.0.1 id=r1 verdict=not-run reason=overloaded detail="no slot in time" retryAfter=150ms
   4.2 node-1 time=2026-12-04T10:00:01.001Z level=INFO msg="request refused" vm=10.0.0.1 id=r2 verdict=not-run reason=noRoute
   4.3 node-1 time=2026-12-04T10:00:01.500Z level=WARN msg="lines left out" vm=10.0.0.1 count=12
`
	gateLog = `time=2026-12-04T10:00:00.999Z level=INFO msg="attempt refused" vm=10.0.0.2 id=r1 attempt=a1 target=t1 reason=overloaded queued=9
time=2026-12-04T09:59:00.000Z level=INFO msg="platform lost" vm=10.0.0.2 error="too old to matter"
time=2026-12-04T10:00:00.500Z level=INFO msg="platform lost" vm=10.0.0.3 error="not on the path"
`
)

func TestTrace(t *testing.T) {
	tests := map[string]struct {
		args     []string
		terminal bool
		out      string
		errOut   string
		err      string
		usage    bool
	}{
		"found": {
			args: []string{"r1", "sender.log", "gate.log"},
			out: "10:00:00.000\t10.0.0.1\tbelief\tdata centre set aside\tdataCentre=b target=t2\n" +
				"10:00:00.999\t10.0.0.2\trequest\tattempt refused\tid=r1 attempt=a1 target=t1 reason=overloaded queued=9\n" +
				"10:00:01.000\t10.0.0.1\trequest\tattempt ended\tid=r1 attempt=a1 target=t1 verdict=not-run reason=overloaded detail=\"no slot in time\" next=false\n" +
				"10:00:01.001\t10.0.0.1\trequest\trequest refused\tid=r1 verdict=not-run reason=overloaded detail=\"no slot in time\" retryAfter=150ms\n",
			errOut: "warning: the nodes dropped 12 log lines around this time, the timeline may be incomplete\n",
		},
		"without state changes": {
			args: []string{"r2", "sender.log", "--around", "0s"},
			out:  "10:00:01.001\t10.0.0.1\trequest\trequest refused\tid=r2 verdict=not-run reason=noRoute\n",

			errOut: "warning: the nodes dropped 12 log lines around this time, the timeline may be incomplete\n",
		},
		"not found":     {args: []string{"r3", "sender.log", "gate.log"}, err: "no log entry for request r3 in 8 lines of 2 files"},
		"no file":       {args: []string{"r3"}, err: "a request id and at least one file", usage: true},
		"unreadable":    {args: []string{"r3", "missing.log"}, err: "missing.log"},
		"negative time": {args: []string{"r3", "sender.log", "-around", "-1s"}, err: "-around", usage: true},
		"unknown flag":  {args: []string{"r3", "sender.log", "-after", "1s"}, err: "-after", usage: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			streams, _, out, errOut := iostreams.Test()
			f := &cmdutil.Factory{IO: streams, ReadFile: readFile}
			cmd := NewCmdTrace(f, nil)
			err := cmd.ParseAndRun(t.Context(), tt.args)
			if tt.err != "" {
				require.ErrorContains(t, err, tt.err)
				var usage *cmdutil.FlagError
				require.Equal(t, tt.usage, errors.As(err, &usage))
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.out, out.String())
			require.Equal(t, tt.errOut, errOut.String())
		})
	}
}

func TestTraceJSON(t *testing.T) {
	streams, _, out, _ := iostreams.Test()
	cmd := NewCmdTrace(&cmdutil.Factory{IO: streams, ReadFile: readFile}, nil)
	require.NoError(t, cmd.ParseAndRun(t.Context(), []string{"r1", "sender.log", "gate.log", "--json"}))
	var timeline trace.Timeline
	require.NoError(t, json.Unmarshal(out.Bytes(), &timeline))
	require.Equal(t, "r1", timeline.ID)
	require.Len(t, timeline.Entries, 4)
	require.Equal(t, 12, timeline.DroppedLines)
	require.Equal(t, "overloaded", timeline.Refusal().Get("reason"))
}

func readFile(name string) ([]byte, error) {
	switch name {
	case "sender.log":
		return []byte(senderLog), nil
	case "gate.log":
		return []byte(gateLog), nil
	default:
		return nil, errors.New("open " + name + ": no such file")
	}
}

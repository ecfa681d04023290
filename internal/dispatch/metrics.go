package dispatch

import (
	"time"

	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// Values of the kind label: requests that may run more than once, and requests
// that may not.
const (
	kindIdempotent = "idempotent"
	kindOnce       = "once"
)

func kindOf(r *vanillabarrow.Request) string {
	if r.Idempotent {
		return kindIdempotent
	}
	return kindOnce
}

// latencies holds the latency histograms by kind and verdict. They are created
// in advance, so that requests need no lookup by tags.
type latencies map[string]map[vanillabarrow.Verdict]tally.Histogram

func newLatencies(scope tally.Scope) latencies {
	all := latencies{}
	for _, kind := range []string{kindIdempotent, kindOnce} {
		all[kind] = map[vanillabarrow.Verdict]tally.Histogram{}
		for _, v := range []vanillabarrow.Verdict{vanillabarrow.VerdictFinished, vanillabarrow.VerdictNotRun, vanillabarrow.VerdictMayHaveRun} {
			tags := map[string]string{"kind": kind, "verdict": v.String()}
			all[kind][v] = scope.Tagged(tags).Histogram("latency", kernel.LatencyBuckets())
		}
	}
	return all
}

// record adds the total duration of a request.
func (l latencies) record(r *vanillabarrow.Request, v vanillabarrow.Verdict, took time.Duration) {
	l[kindOf(r)][v].RecordDuration(took)
}

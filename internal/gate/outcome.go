package gate

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
)

// shedRefusal returns a refusal if the status of the response states that the
// target did not run the request.
func (g *Gate) shedRefusal(attempt *vanillabarrow.Attempt, response *vanillabarrow.Response) error {
	service, ok := g.cfg.Snapshot().Services[attempt.Request.Service]
	if !ok || !slices.Contains(service.NotRunStatuses, response.Status) {
		return nil
	}
	if response.Stream != nil {
		_ = response.Stream.Close()
	}
	refusal := vanillabarrow.NotRun(vanillabarrow.ReasonShed, "the target stated that it did not run the request")
	if values := response.Header[message.RetriesHeader]; len(values) > 0 {
		refusal.Retries, _ = strconv.Atoi(values[0])
	}
	return refusal
}

// releaseSlot releases the slot, or leaves this to the stream of a response whose
// body has not been read completely.
func (g *Gate) releaseSlot(admission vanillabarrow.Admission, response *vanillabarrow.Response, latency time.Duration, cancel context.CancelFunc) {
	signal := vanillabarrow.SignalOK
	if response.Status >= http.StatusInternalServerError {
		signal = vanillabarrow.SignalFailed
	}
	if response.Stream == nil {
		cancel()
		g.limiter.Release(admission, signal, latency)
		return
	}
	response.Stream = &slotReleaser{
		ReadCloser: response.Stream,
		gate:       g,
		admission:  admission,
		signal:     signal,
		latency:    latency,
		cancel:     cancel,
	}
	g.running.Add(1)
}

// signalOf returns what a failed attempt indicates about the target.
func signalOf(err error) vanillabarrow.TargetSignal {
	switch vanillabarrow.AsRefusal(err).Reason {
	case vanillabarrow.ReasonTargetDown:
		return vanillabarrow.SignalDown
	case vanillabarrow.ReasonShed, vanillabarrow.ReasonTargetFailed:
		return vanillabarrow.SignalRefused
	case vanillabarrow.ReasonDeadline:
		return vanillabarrow.SignalTimeout
	default:
		return vanillabarrow.SignalNeutral
	}
}

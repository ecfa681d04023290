package gate

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/idempotency"
)

// askInterval is the delay between two questions about a key that still runs
// at its earlier home.
const askInterval = 50 * time.Millisecond

// runKeyed runs the attempt, or answers it from the memory of its key.
func (g *Gate) runKeyed(ctx context.Context, attempt *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	request := attempt.Request
	snapshot := g.cfg.Snapshot()
	service, ok := snapshot.Services[request.Service]
	if request.Key == "" || !ok || service.KeyWindow == 0 {
		return g.run(ctx, attempt)
	}
	claim := g.homes.Claim(request.Key, g.own.Name, service.KeyWindow, time.Now())
	if !claim.Home {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonWrongTarget, "this gate is not home to the key")
	}
	question := vanillabarrow.KeyReleaseRequest{
		Service:     service.Name,
		Key:         request.Key,
		Fingerprint: fingerprint(request),
		Version:     claim.Version,
	}
	for _, previous := range claim.Previous {
		answer, err := g.askPrevious(ctx, snapshot, previous, question)
		if answer != nil || err != nil {
			return answer, err
		}
	}
	if len(claim.Previous) > 0 {
		g.keys.Regain(request.Key, claim.Version)
	}
	use := idempotency.Use{
		Key:         request.Key,
		Fingerprint: question.Fingerprint,
		Window:      service.KeyWindow,
		Since:       claim.Since,
	}
	answer, err := g.keys.Begin(ctx, use, time.Now())
	if answer != nil || err != nil {
		return answer, err
	}
	answer, err = g.run(ctx, attempt)
	var refusal *vanillabarrow.Refusal
	if err != nil {
		refusal = vanillabarrow.AsRefusal(err)
	}
	g.keys.End(request.Key, answer, refusal)
	return answer, err
}

// askPrevious asks an earlier home of the key until it gives the key up. It
// returns nothing when the key did not run there.
func (g *Gate) askPrevious(ctx context.Context, s *vanillabarrow.Snapshot, target string, q vanillabarrow.KeyReleaseRequest) (*vanillabarrow.Response, error) {
	unknown := vanillabarrow.MayHaveRun(vanillabarrow.ReasonKeyUnknown, "the key may have been used at "+target)
	t, ok := s.Targets[target]
	if !ok {
		return nil, unknown
	}
	q.Target = target
	for {
		report, err := g.memory.ReleaseKey(ctx, s.VMs[t.VM].PeerAddress, q)
		if err != nil {
			return nil, unknown
		}
		switch report.State {
		case vanillabarrow.AttemptFenced:
			return nil, nil
		case vanillabarrow.AttemptFinished:
			return report.Response, nil
		case vanillabarrow.AttemptRunning:
		default:
			return nil, unknown
		}
		timer := time.NewTimer(askInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonKeyInUse, "the key still runs at "+target)
		}
	}
}

// ReleaseKey implements vanillabarrow.Gate.
func (g *Gate) ReleaseKey(q vanillabarrow.KeyReleaseRequest) *vanillabarrow.AttemptReport {
	snapshot := g.cfg.Snapshot()
	if snapshot == nil || q.Target != g.own.Name || snapshot.Version > q.Version {
		// A gate that is behind must not take a key from one that is ahead.
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptUnknown}
	}
	service, ok := snapshot.Services[q.Service]
	if !ok {
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptUnknown}
	}
	return g.keys.Surrender(idempotency.Use{
		Key:         q.Key,
		Fingerprint: q.Fingerprint,
		Window:      service.KeyWindow,
	}, q.Version, time.Now())
}

func fingerprint(r *vanillabarrow.Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{r.Method, r.Host, r.Path} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

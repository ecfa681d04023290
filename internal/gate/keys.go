package gate

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/idempotency"
)

// releasePollInterval is the delay between two release requests for a key whose
// request is still running at a previous owner.
const releasePollInterval = 50 * time.Millisecond

// runKeyed runs the attempt, or returns the stored response of an earlier request
// with the same idempotency key.
func (g *Gate) runKeyed(ctx context.Context, attempt *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	request := attempt.Request
	snapshot := g.cfg.Snapshot()
	service, ok := snapshot.Services[request.Service]
	if request.Key == "" || !ok || service.KeyWindow == 0 {
		return g.run(ctx, attempt)
	}
	// An earlier request with the key may have run, so the attempt can't be given up
	// with proof from here on.
	if !attempt.Sending.Begin() {
		return nil, errAbandoned()
	}
	ownership := g.owners.Lookup(request.Key, g.ownTarget.Name, service.KeyWindow, time.Now())
	if !ownership.IsOwner {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonWrongTarget, "another gate owns the idempotency key")
	}
	if err := g.receiveBody(ctx, attempt); err != nil {
		return nil, err
	}
	release := vanillabarrow.KeyReleaseRequest{
		Service:     service.Name,
		Key:         request.Key,
		Fingerprint: fingerprint(request),
		Version:     ownership.Version,
	}
	for _, previous := range ownership.PreviousOwners {
		response, err := g.requestRelease(ctx, snapshot, previous, release)
		if response != nil || err != nil {
			return response, err
		}
	}
	if len(ownership.PreviousOwners) > 0 {
		g.keys.Reclaim(request.Key, ownership.Version)
	}
	use := idempotency.KeyUse{
		Key:          request.Key,
		Fingerprint:  release.Fingerprint,
		Window:       service.KeyWindow,
		HistoryStart: ownership.HistoryStart,
	}
	response, err := g.keys.Begin(ctx, use, time.Now())
	if response != nil || err != nil {
		return response, err
	}
	response, err = g.run(ctx, attempt)
	var refusal *vanillabarrow.Refusal
	if err != nil {
		refusal = vanillabarrow.AsRefusal(err)
	}
	g.keys.Finish(request.Key, response, refusal)
	return response, err
}

// requestRelease asks a previous owner of the key until it releases the key or
// returns the response to the request that used it. It returns nil without an
// error if no request with the key ran there.
func (g *Gate) requestRelease(ctx context.Context, s *vanillabarrow.Snapshot, target string, release vanillabarrow.KeyReleaseRequest) (*vanillabarrow.Response, error) {
	unknown := vanillabarrow.MayHaveRun(vanillabarrow.ReasonKeyUnknown, "the idempotency key may have been used at "+target)
	t, ok := s.Targets[target]
	if !ok {
		return nil, unknown
	}
	release.Target = target
	for {
		report, err := g.keyReleaser.ReleaseKey(ctx, s.VMs[t.VM].PeerAddress, release)
		if err != nil {
			return nil, unknown
		}
		switch report.State {
		case vanillabarrow.AttemptFenced:
			return nil, nil
		case vanillabarrow.AttemptFinished:
			if report.Response == nil {
				return nil, unknown
			}
			return report.Response, nil
		case vanillabarrow.AttemptRunning:
		default:
			return nil, unknown
		}
		timer := time.NewTimer(releasePollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonKeyInUse, "the first request with the idempotency key is still running at "+target)
		}
	}
}

// ReleaseKey implements vanillabarrow.Gate.
func (g *Gate) ReleaseKey(release vanillabarrow.KeyReleaseRequest) *vanillabarrow.AttemptReport {
	snapshot := g.cfg.Snapshot()
	if snapshot == nil || release.Target != g.ownTarget.Name || snapshot.Version > release.Version {
		// A gate with an older configuration must not take a key from one with a
		// newer configuration.
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptUnknown}
	}
	service, ok := snapshot.Services[release.Service]
	if !ok {
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptUnknown}
	}
	return g.keys.Release(idempotency.KeyUse{
		Key:         release.Key,
		Fingerprint: release.Fingerprint,
		Window:      service.KeyWindow,
	}, release.Version, time.Now())
}

// fingerprint returns a hash of the method, the host, the path and the first
// maxBufferedBody bytes of the body. Senders may have buffered more.
func fingerprint(r *vanillabarrow.Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{r.Method, r.Host, r.Path} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body[:min(len(r.Body), maxBufferedBody)])
	return d.Sum64()
}

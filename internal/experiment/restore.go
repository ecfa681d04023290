package experiment

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/trace"
	"github.com/vanillabarrow/vanillabarrow/platform/deployment"
	"github.com/vanillabarrow/vanillabarrow/platform/standin"
)

const (
	// readInterval is the interval between the requests to each node, routeInterval
	// that between the requests for the new route.
	readInterval  = 110 * time.Millisecond
	routeInterval = 50 * time.Millisecond
	// storeSettleTime is how long the nodes run before the first writes.
	storeSettleTime = 3 * time.Second
	// applyTime is the time between the writes that are lost and the disruption, in
	// which all nodes apply them.
	applyTime = time.Second
	// leaseTime is the time from the restore until the store removes the entry of the
	// target that had left, which the copy has.
	leaseTime = 6 * time.Second

	// busyWindow is the time in which requests are counted to find a target that is
	// used, within busyTimeout.
	busyWindow  = 500 * time.Millisecond
	busyTimeout = 20 * time.Second

	restoreService = "survey-desk"
	readPath       = "/read/"
	lostPath       = "/lost/"
	newPath        = "/new/"
)

// MinRestoreNodes is the minimum number of nodes of a restore: two of the targets leave.
const MinRestoreNodes = 3

// RestoreConfig describes a restore of the store.
type RestoreConfig struct {
	// Binary is the path of the node program.
	Binary      string
	Nodes       int
	DataCentres int
	// Away is the time for which the store responds with errors before the restore.
	Away time.Duration
	// LostRevisions is the number of revisions that the copy lacks.
	LostRevisions int
	// NamesEra is set if the store states its era.
	NamesEra bool
	// UnknownRevision is the response to a watch from a revision that the copy lacks.
	UnknownRevision standin.UnknownRevision
	// OperatorRepeats is set if the operator writes its lost configuration again
	// after OperatorDelay, followed by one with a new route.
	OperatorRepeats bool
	OperatorDelay   time.Duration
	// TargetsRepeat is set if the targets write their lost entries again, one after
	// the other within TargetDelay.
	TargetsRepeat bool
	TargetDelay   time.Duration
	// Observe is the time from the restore to the end of the play.
	Observe time.Duration
}

// restorePlay is the state of the play of one restore.
type restorePlay struct {
	cfg        RestoreConfig
	deployment *deployment.Deployment
	clients    []*deployment.Client
	departures []departure
	// begunAt is the time of the disruption, restoredAt that of the restore, with
	// which the store is back.
	begunAt, restoredAt time.Time
	callsBefore         standin.Calls

	// mu guards the fields below. servedAt holds the times at which the nodes served
	// the new route.
	mu       sync.Mutex
	addedAt  time.Time
	servedAt []time.Time
	err      error
}

// departure is a target that has left or announced it.
type departure struct {
	what   string
	target *deployment.Target
	at     time.Time
}

// RunRestore starts nodes of the profile store with a simulated store and simulated
// targets, plays one restore and stops the nodes.
func RunRestore(ctx context.Context, cfg RestoreConfig) (*RestoreResult, error) {
	dir, err := os.MkdirTemp("", "experiment")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d, err := deployment.New(deployment.Config{
		Binary: cfg.Binary, Dir: dir, Placements: restorePlacements(cfg),
		Store:  standin.Config{NamesEra: cfg.NamesEra, FirstEra: 1, UnknownRevision: cfg.UnknownRevision},
		Routes: []deployment.Route{{Prefix: readPath, Service: restoreService}},
	})
	defer d.Close()
	if err != nil {
		return nil, err
	}
	p := &restorePlay{cfg: cfg, deployment: d}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := p.play(ctx); err != nil {
		return nil, err
	}
	return p.result(ctx, &http.Client{Timeout: requestTimeout})
}

// restorePlacements spreads the nodes evenly over the data centres.
func restorePlacements(cfg RestoreConfig) []deployment.Placement {
	placements := make([]deployment.Placement, cfg.Nodes)
	for i := range placements {
		placements[i] = deployment.Placement{Zone: dcName(i * cfg.DataCentres / cfg.Nodes), Service: restoreService}
	}
	return placements
}

// play starts the nodes, plays the restore, and returns at the end of the observation.
func (p *restorePlay) play(ctx context.Context) error {
	if err := p.deployment.Start(ctx); err != nil {
		return err
	}
	for _, n := range p.deployment.Nodes {
		c := deployment.NewClient(n)
		p.clients = append(p.clients, c)
		c.Start(ctx, readInterval, readPath)
	}
	if err := sleep(ctx, storeSettleTime); err != nil {
		return err
	}
	if err := p.writeLost(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, applyTime); err != nil {
		return err
	}
	if err := p.restore(ctx); err != nil {
		return err
	}
	return p.observe(ctx)
}

// writeLost makes the writes that are lost: two targets leave, others register again,
// and the operator publishes a configuration.
func (p *restorePlay) writeLost(ctx context.Context) error {
	drain := func(u *deployment.Target) (time.Time, error) { return u.Register(deployment.Draining) }
	if err := p.depart(ctx, "left", (*deployment.Target).Leave); err != nil {
		return err
	}
	if err := p.depart(ctx, "draining", drain); err != nil {
		return err
	}
	const otherWrites = 3
	staying := p.staying()
	for i := range p.cfg.LostRevisions - otherWrites {
		if _, err := staying[i%len(staying)].Register(deployment.Ready); err != nil {
			return err
		}
	}
	_, err := p.deployment.Operator.AddRoute(deployment.Route{Prefix: lostPath, Service: restoreService})
	return err
}

// staying returns the targets that have not departed.
func (p *restorePlay) staying() (targets []*deployment.Target) {
	for _, n := range p.deployment.Nodes {
		if !slices.ContainsFunc(p.departures, func(d departure) bool { return d.target == n.Target }) {
			targets = append(targets, n.Target)
		}
	}
	return targets
}

// depart lets the busiest target leave, since one that gets no requests shows nothing
// when it leaves.
func (p *restorePlay) depart(ctx context.Context, what string, leave func(*deployment.Target) (time.Time, error)) error {
	for deadline := time.Now().Add(busyTimeout); time.Now().Before(deadline); {
		if err := sleep(ctx, busyWindow); err != nil {
			return err
		}
		since := time.Now().Add(-busyWindow)
		requests := func(u *deployment.Target) int {
			n, _ := u.CountAfter(since)
			return n
		}
		u := slices.MaxFunc(p.staying(), func(a, b *deployment.Target) int { return cmp.Compare(requests(a), requests(b)) })
		if requests(u) > 0 {
			at, err := leave(u)
			p.departures = append(p.departures, departure{what, u, at})
			return err
		}
	}
	return errors.New("the targets get no requests")
}

// restore takes the store away and restores it.
func (p *restorePlay) restore(ctx context.Context) error {
	for _, n := range p.deployment.Nodes {
		if err := n.MarkLog(); err != nil {
			return err
		}
	}
	store := p.deployment.Store
	p.callsBefore, p.begunAt = store.Calls(), time.Now()
	if p.cfg.Away > 0 {
		if err := store.SetFaults(standin.Faults{Away: standin.AwayUnavailable}); err != nil {
			return err
		}
		if err := sleep(ctx, p.cfg.Away); err != nil {
			return err
		}
	}
	if err := store.Restore(standin.Restore{Revisions: p.cfg.LostRevisions}); err != nil {
		return err
	}
	p.restoredAt = time.Now()
	return store.SetFaults(standin.Faults{})
}

// observe lets the writers repeat what was lost, and waits until the end of the
// observation.
func (p *restorePlay) observe(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, p.restoredAt.Add(p.cfg.Observe))
	defer cancel()
	p.servedAt = make([]time.Time, len(p.clients))
	var wg sync.WaitGroup
	wg.Go(func() { p.runExpiry(ctx) })
	if p.cfg.OperatorRepeats {
		wg.Go(func() { p.runOperator(ctx) })
	}
	if p.cfg.TargetsRepeat {
		wg.Go(func() { p.runTargets(ctx) })
	}
	<-ctx.Done()
	wg.Wait()
	if err := ctx.Err(); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return p.err
}

// runExpiry removes the entry of the target that left when its lease ends.
func (p *restorePlay) runExpiry(ctx context.Context) {
	if sleep(ctx, leaseTime) == nil {
		// There is no entry if the copy has the removal.
		_, _ = p.deployment.Store.Remove(p.departures[0].target.Key())
	}
}

// runTargets lets the targets write their lost entries again.
func (p *restorePlay) runTargets(ctx context.Context) {
	for _, n := range p.deployment.Nodes {
		if sleep(ctx, p.cfg.TargetDelay/time.Duration(len(p.deployment.Nodes))) != nil {
			return
		}
		n.Target.RepeatLost()
	}
}

// runOperator lets the operator write its lost configuration again and add a route, and
// waits until all nodes serve it.
func (p *restorePlay) runOperator(ctx context.Context) {
	if sleep(ctx, p.cfg.OperatorDelay) != nil {
		return
	}
	p.deployment.Operator.RepeatLost()
	addedAt, err := p.deployment.Operator.AddRoute(deployment.Route{Prefix: newPath, Service: restoreService})
	p.mu.Lock()
	p.addedAt, p.err = addedAt, err
	p.mu.Unlock()
	var wg sync.WaitGroup
	for i := range p.clients {
		wg.Go(func() { p.loopAsk(ctx, i) })
	}
	wg.Wait()
}

// loopAsk sends requests for the new route to a node until it serves it.
func (p *restorePlay) loopAsk(ctx context.Context, i int) {
	for p.clients[i].Send(ctx, newPath) != http.StatusOK {
		if sleep(ctx, routeInterval) != nil {
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servedAt[i] = time.Now()
}

// result collects the figures.
func (p *restorePlay) result(ctx context.Context, client *http.Client) (*RestoreResult, error) {
	store := p.deployment.Store
	r := &RestoreResult{
		Nodes: p.cfg.Nodes, DataCentres: p.cfg.DataCentres, CountedSeconds: time.Since(p.begunAt).Seconds(),
		Calls: store.Calls().Sub(p.callsBefore), PeakCalls: store.PeakCalls(p.begunAt, time.Second),
	}
	var changedAt []time.Time
	for _, n := range p.deployment.Nodes {
		status, err := fetchStatus(ctx, client, n.Operator)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", n.Name, err)
		}
		kept := KeptItems{Node: n.Name, Version: status.Version, KeptAtEnd: status.Rollout.Kept}
		at, err := kept.readChange(n)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", n.Name, err)
		}
		changedAt, r.Kept = append(changedAt, at), append(r.Kept, kept)
	}
	r.Era = progress(p.restoredAt, changedAt)
	if p.cfg.OperatorRepeats {
		r.Route = progress(p.addedAt, p.servedAt)
	}
	bound := vanillabarrow.DefaultBounds().Drain
	for _, d := range p.departures {
		late, _ := d.target.CountAfter(d.at.Add(bound))
		all, last := d.target.CountAfter(d.at)
		result := DepartedTarget{Target: d.target.ID, What: d.what, BoundSeconds: bound.Seconds(), Late: late}
		if all > 0 {
			result.LastSeconds = last.Sub(d.at).Seconds()
		}
		r.Departed = append(r.Departed, result)
	}
	return r, nil
}

// readChange sets the fields of the node's first change to a later era since its log was
// marked, and returns the time of the change, zero if there is none.
func (k *KeptItems) readChange(n *deployment.Node) (at time.Time, err error) {
	log, err := n.OpenLog()
	if err != nil {
		return at, err
	}
	defer func() { _ = log.Close() }()
	_, err = trace.Read(log, func(line *trace.Line) {
		if line.Event != logging.EventEraChanged {
			return
		}
		if k.Changes++; k.Changes == 1 {
			at = line.Time
			// A node logs numbers.
			k.Kept, _ = strconv.Atoi(line.Get("kept"))
			k.Lost, _ = strconv.Atoi(line.Get("lost"))
		}
	})
	return at, err
}

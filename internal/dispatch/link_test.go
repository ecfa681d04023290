package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/dispatch"
)

// link is the network as one node sees it.
type link struct {
	world  *world
	tokens *dispatch.GateTokens
	loads  *dispatch.TargetLoads
}

var errCut = errors.New("no route to host")

func (l *link) host(address string) (*host, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(address, "target-"))
	if err != nil {
		return nil, false
	}
	l.world.mu.Lock()
	defer l.world.mu.Unlock()
	return l.world.hosts[n], !l.world.cut[address]
}

// faultOf returns the fault drawn for the attempt.
func (l *link) faultOf(a *vanillabarrow.Attempt) (fault, time.Duration) {
	j := l.world.jobs[a.Request.ID]
	if len(j.faults) == 0 {
		return faultNone, 0
	}
	var n int
	_, _ = fmt.Sscanf(a.ID, "attempt-%d", &n)
	return j.faults[n%len(j.faults)], j.late
}

// delivery is one copy of an attempt on its way to the gate.
type delivery struct {
	link    *link
	host    *host
	attempt vanillabarrow.Attempt
	delay   time.Duration
	process int
	result  chan delivered
}

type delivered struct {
	answer *vanillabarrow.Response
	err    error
	token  vanillabarrow.Token
	load   vanillabarrow.Load
}

// run delivers the attempt. The context is the connection: it ends when the
// sender closes it or the gate's process ends.
func (d *delivery) run(ctx context.Context) {
	// A request on its way arrives whether or not the sender still waits, and
	// a gate does not notice at once that the sender has gone.
	if d.delay > hopDelay {
		ctx = context.WithoutCancel(ctx)
	}
	wait(ctx, d.delay)
	// A connection leads to one process: what is on its way when that ends
	// never reaches the next one.
	if d.host.process() != d.process {
		d.result <- delivered{err: vanillabarrow.MayHaveRun(vanillabarrow.ReasonConnectionFailed, "reset")}
		return
	}
	g, ctx, cancel := d.host.current(ctx)
	defer cancel()
	answer, err := g.Handle(ctx, &d.attempt)
	d.result <- delivered{answer, err, g.Token(), g.Load(d.attempt.Request.Priority)}
}

// Forward implements vanillabarrow.Forwarder.
func (l *link) Forward(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	h, up := l.host(a.Address)
	f, late := l.faultOf(a)
	if !up || f == faultRefused {
		wait(ctx, dialDelay)
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonConnectionFailed, "")
	}
	copies, delay := 1, hopDelay
	switch f {
	case faultDropRequest:
		<-ctx.Done()
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonCanceled, "")
	case faultLateRequest:
		delay = late
	case faultTwice:
		copies = 2
	}
	results, process := make(chan delivered, copies), h.process()
	for i := range copies {
		d := &delivery{link: l, host: h, attempt: *a, delay: delay + time.Duration(i)*late, process: process, result: results}
		go d.run(ctx)
	}
	select {
	case out := <-results:
		return l.receive(ctx, a, f, late, out)
	case <-ctx.Done():
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonCanceled, "")
	}
}

// receive takes an answer through the faults on its way back.
func (l *link) receive(ctx context.Context, a *vanillabarrow.Attempt, f fault, late time.Duration, out delivered) (*vanillabarrow.Response, error) {
	switch f {
	case faultDropAnswer:
		<-ctx.Done()
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonCanceled, "")
	case faultLateAnswer:
		wait(ctx, late)
	case faultCrossed:
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonAnswerLost, "crossed")
	case faultResetAnswer:
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonConnectionFailed, "reset")
	}
	wait(ctx, hopDelay)
	if ctx.Err() != nil {
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonCanceled, "")
	}
	l.tokens.Put(a.Target.Name, out.token)
	l.loads.Report(a.Target.Name, out.load, time.Now())
	if out.err != nil {
		refusal := *vanillabarrow.AsRefusal(out.err)
		return nil, &refusal
	}
	return out.answer, nil
}

// QueryAttempt implements vanillabarrow.Forwarder.
func (l *link) QueryAttempt(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.AttemptReport, error) {
	h, up := l.host(a.Address)
	if !up || l.world.mute {
		wait(ctx, dialDelay)
		return nil, errCut
	}
	wait(ctx, hopDelay)
	g, ctx, cancel := h.current(ctx)
	defer cancel()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return g.QueryAttempt(a), nil
}

// ReleaseKey implements vanillabarrow.KeyReleaser.
func (l *link) ReleaseKey(ctx context.Context, address string, q vanillabarrow.KeyReleaseRequest) (*vanillabarrow.AttemptReport, error) {
	h, up := l.host(address)
	if !up {
		wait(ctx, dialDelay)
		return nil, errCut
	}
	wait(ctx, hopDelay)
	g, ctx, cancel := h.current(ctx)
	defer cancel()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return g.ReleaseKey(q), nil
}

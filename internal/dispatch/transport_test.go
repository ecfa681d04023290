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

// transport is the simulated network as seen by one node.
type transport struct {
	cluster *cluster
	tokens  *dispatch.GateTokens
	loads   *dispatch.TargetLoads
}

var errUnreachable = errors.New("no route to host")

func (t *transport) node(address string) (*node, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(address, "target-"))
	if err != nil {
		return nil, false
	}
	t.cluster.mu.Lock()
	defer t.cluster.mu.Unlock()
	return t.cluster.nodes[n], !t.cluster.unreachable[address]
}

// faultOf returns the planned fault of the attempt, selected by the number in
// its ID, and the delay of messages that the fault delays.
func (t *transport) faultOf(a *vanillabarrow.Attempt) (fault, time.Duration) {
	request := t.cluster.requests[a.Request.ID]
	if len(request.faults) == 0 {
		return faultNone, 0
	}
	var n int
	_, _ = fmt.Sscanf(a.ID, "attempt-%d", &n)
	return request.faults[n%len(request.faults)], request.faultDelay
}

// delivery is one copy of an attempt in transmission to the gate.
type delivery struct {
	transport     *transport
	node          *node
	attempt       vanillabarrow.Attempt
	delay         time.Duration
	processNumber int
	result        chan deliveryResult
}

type deliveryResult struct {
	response *vanillabarrow.Response
	err      error
	token    vanillabarrow.Token
	load     vanillabarrow.Load
}

// run delivers the attempt. The context represents the connection: it ends when
// the sender closes it or the gate's process ends.
func (d *delivery) run(ctx context.Context) {
	// A delayed request still arrives after the sender has given up, because a
	// gate does not notice immediately that the sender closed the connection.
	if d.delay > hopDelay {
		ctx = context.WithoutCancel(ctx)
	}
	sleep(ctx, d.delay)
	// A connection belongs to one process: a request in transmission when the
	// process ends never reaches the next process.
	if d.node.processNumber() != d.processNumber {
		d.result <- deliveryResult{err: vanillabarrow.MayHaveRun(vanillabarrow.ReasonConnectionFailed, "reset")}
		return
	}
	g, ctx, cancel := d.node.current(ctx)
	defer cancel()
	resp, err := g.Handle(ctx, &d.attempt)
	d.result <- deliveryResult{resp, err, g.Token(), g.Load(d.attempt.Request.Priority)}
}

// Forward implements vanillabarrow.Forwarder.
func (t *transport) Forward(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.Response, error) {
	n, reachable := t.node(a.Address)
	f, faultDelay := t.faultOf(a)
	if !reachable || f == faultRefuseConnection {
		sleep(ctx, dialDelay)
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonConnectionFailed, "")
	}
	copies, delay := 1, hopDelay
	switch f {
	case faultDropRequest:
		<-ctx.Done()
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonCanceled, "")
	case faultDelayRequest:
		delay = faultDelay
	case faultDuplicateRequest:
		// The second copy arrives faultDelay after the first.
		copies = 2
	}
	results, process := make(chan deliveryResult, copies), n.processNumber()
	for i := range copies {
		d := &delivery{transport: t, node: n, attempt: *a, delay: delay + time.Duration(i)*faultDelay, processNumber: process, result: results}
		go d.run(ctx)
	}
	select {
	case result := <-results:
		return t.receive(ctx, a, f, faultDelay, result)
	case <-ctx.Done():
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonCanceled, "")
	}
}

// receive applies the faults of the response's transmission, and records the
// token and load that the gate sent with the response.
func (t *transport) receive(ctx context.Context, a *vanillabarrow.Attempt, f fault, faultDelay time.Duration, result deliveryResult) (*vanillabarrow.Response, error) {
	switch f {
	case faultDropResponse:
		<-ctx.Done()
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonCanceled, "")
	case faultDelayResponse:
		sleep(ctx, faultDelay)
	case faultMismatchedResponse:
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonAnswerLost, "response to another request")
	case faultResetConnection:
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonConnectionFailed, "reset")
	}
	sleep(ctx, hopDelay)
	if ctx.Err() != nil {
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonCanceled, "")
	}
	t.tokens.Put(a.Target.Name, result.token)
	t.loads.Report(a.Target.Name, result.load, time.Now())
	if result.err != nil {
		refusal := *vanillabarrow.AsRefusal(result.err)
		return nil, &refusal
	}
	return result.response, nil
}

// QueryAttempt implements vanillabarrow.Forwarder.
func (t *transport) QueryAttempt(ctx context.Context, a *vanillabarrow.Attempt) (*vanillabarrow.AttemptReport, error) {
	n, reachable := t.node(a.Address)
	if !reachable || t.cluster.failQueries {
		sleep(ctx, dialDelay)
		return nil, errUnreachable
	}
	sleep(ctx, hopDelay)
	g, ctx, cancel := n.current(ctx)
	defer cancel()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return g.QueryAttempt(a), nil
}

// ReleaseKey implements vanillabarrow.KeyReleaser.
func (t *transport) ReleaseKey(ctx context.Context, address string, q vanillabarrow.KeyReleaseRequest) (*vanillabarrow.AttemptReport, error) {
	n, reachable := t.node(address)
	if !reachable {
		sleep(ctx, dialDelay)
		return nil, errUnreachable
	}
	sleep(ctx, hopDelay)
	g, ctx, cancel := n.current(ctx)
	defer cancel()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return g.ReleaseKey(q), nil
}

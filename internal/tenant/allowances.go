package tenant

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

const (
	// maxWait limits the time for which a request waits for an owner. It has room for a
	// report without a reply and one to the next owner.
	maxWait = 600 * time.Millisecond
	// reportTimeout limits the time of one report. Two of them and the next owner's
	// reply end before the lease does.
	reportTimeout = 250 * time.Millisecond
)

// Config holds the dependencies of Allowances.
type Config struct {
	Configuration vanillabarrow.Configuration
	Owner         vanillabarrow.AllowanceOwner
	Exchange      vanillabarrow.AllowanceExchange
	Holder        *Holder
	Scope         tally.Scope
	Logger        *slog.Logger
}

// Allowances implements vanillabarrow.Allowances. Requests take the tokens that the
// node holds. Only a request that finds none, while the owner may have some, waits for
// the reply to a report.
type Allowances struct {
	Config
	configured atomic.Pointer[vanillabarrow.Snapshot]
	labels     *labels
	ctx        context.Context
	cancel     context.CancelFunc
}

// New returns the allowances of a node, which sends no reports before its first Tick
// and none after Close.
func New(cfg Config) *Allowances {
	ctx, cancel := context.WithCancel(context.Background())
	cfg.Scope = cfg.Scope.SubScope("tenant")
	return &Allowances{Config: cfg, labels: newLabels(), ctx: ctx, cancel: cancel}
}

// Close cancels the reports in flight.
func (a *Allowances) Close() { a.cancel() }

// Tick sends the reports that are due.
func (a *Allowances) Tick(context.Context) { a.report() }

// Admit implements vanillabarrow.Allowances.
func (a *Allowances) Admit(ctx context.Context, t *vanillabarrow.Tenant) error {
	refusal := a.take(ctx, t)
	scope := a.Scope.Tagged(map[string]string{"tenant": a.labels.of(t.Name)})
	if refusal != nil {
		scope.Counter("refused").Inc(1)
		return refusal
	}
	scope.Counter("admitted").Inc(1)
	return nil
}

func (a *Allowances) take(ctx context.Context, t *vanillabarrow.Tenant) *vanillabarrow.Refusal {
	if t.RequestRate <= 0 {
		return nil
	}
	refusal, waiter := a.Holder.Take(t.Name, time.Now())
	if waiter == nil {
		return refusal
	}
	a.Scope.Counter("asked").Inc(1)
	a.report()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case refusal := <-waiter:
		return refusal
	case <-timer.C:
	case <-ctx.Done():
	}
	return a.Holder.Abandon(t.Name, waiter, time.Now())
}

// report sends the reports that are due, each in a goroutine, except those to the node
// itself.
func (a *Allowances) report() {
	snapshot := a.Configuration.Snapshot()
	if snapshot == nil || a.ctx.Err() != nil {
		return
	}
	if a.configured.Swap(snapshot) != snapshot {
		a.Holder.Configure(snapshot)
	}
	// A reply of the node itself may make it choose another owner, so there is a second
	// round. More would not end while no other node responds.
	for range 2 {
		local := false
		for _, c := range a.Holder.Due(time.Now()) {
			if c.Address != "" {
				e := &exchange{a, c}
				go e.run(a.ctx)
				continue
			}
			local = true
			reply, _ := a.Owner.Grant(c.Report, time.Now())
			a.Holder.Done(c, reply, nil, time.Now())
		}
		if !local {
			break
		}
	}
	a.logChanges()
}

func (a *Allowances) logChanges() {
	for _, c := range a.Holder.Changes() {
		a.Logger.Info(logging.EventAllowanceOwnerChanged, "group", c.Group, "owner", c.Owner, "before", c.Before)
	}
}

// exchange is a report in flight.
type exchange struct {
	allowances *Allowances
	call       Call
}

func (e *exchange) run(ctx context.Context) {
	a := e.allowances
	a.Scope.Counter("reports").Inc(1)
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := a.Exchange.Report(callCtx, e.call.Address, e.call.Report)
	if err != nil {
		a.Scope.Counter("reportErrors").Inc(1)
	}
	a.Holder.Done(e.call, reply, err, time.Now())
	// Requests may have begun to wait meanwhile, or the next owner has to be asked.
	a.report()
}

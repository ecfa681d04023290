package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/hedge"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

// sweepInterval is the interval at which unused table entries are removed.
const sweepInterval = time.Minute

func init() {
	kernel.Register(kernel.Plugin{
		Name: "dispatch",
		Options: fx.Options(
			fx.Provide(NewTargetLoads, NewGateTokens, NewThrottle, NewDataCentreBreakers, NewRefusalCache, NewGateAttempts, NewExpiredTargets, provideCallOutcomes, provideDispatcher, func(d *Dispatcher) vanillabarrow.Dispatcher { return d }),
			fx.Invoke(startSweep),
			kernel.ProvideDrainer(func(d *Dispatcher) kernel.Drainer {
				return kernel.Drainer{Name: "dispatch", Drain: d.Drain, Withdraw: d.Withdraw}
			}),
			kernel.ProvideState(func(l *TargetLoads) kernel.StateSource {
				return kernel.StateSource{Name: "loads", State: func() any { return l.State(time.Now()) }}
			}),
			kernel.ProvideState(func(b *DataCentreBreakers) kernel.StateSource {
				return kernel.StateSource{Name: "dataCentresAside", State: func() any { return b.OpenBreakers() }}
			}),
			kernel.ProvideState(func(r *RefusalCache) kernel.StateSource {
				return kernel.StateSource{Name: "refusals", State: func() any { return r.Len() }}
			}),
			kernel.ProvideState(func(t *Throttle) kernel.StateSource {
				return kernel.StateSource{Name: "throttle", State: func() any { return t.AdmitShares() }}
			}),
		),
	})
}

// params holds the dependencies of a dispatcher, which fx fills in.
type params struct {
	fx.In
	Settings           settings.Settings
	Identity           *kernel.Identity
	Configuration      vanillabarrow.Configuration
	Members            *membership.Table
	Balancer           vanillabarrow.Balancer
	Retry              vanillabarrow.RetryPolicy
	Hedge              vanillabarrow.HedgePolicy
	HedgesRunning      *hedge.Running
	Forwarder          vanillabarrow.Forwarder
	Withdrawer         vanillabarrow.Withdrawer
	TargetLoads        *TargetLoads
	Throttle           *Throttle
	CallOutcomes       *CallOutcomes
	DataCentreBreakers *DataCentreBreakers
	RefusalCache       *RefusalCache
	GateAttempts       *GateAttempts
	ExpiredTargets     *ExpiredTargets
	GateTokens         *GateTokens
	Scope              tally.Scope
	Logger             *slog.Logger
}

func provideCallOutcomes(s settings.Settings) *CallOutcomes {
	return NewCallOutcomes(s.Throttle.IgnoreShed)
}

func provideDispatcher(p params) *Dispatcher {
	return New(Config{
		VM:                 p.Identity.VM,
		DataCentre:         p.Identity.DataCentre,
		Configuration:      p.Configuration,
		Members:            p.Members,
		Balancer:           p.Balancer,
		Retry:              p.Retry,
		Hedge:              p.Hedge,
		HedgesRunning:      p.HedgesRunning,
		Forwarder:          p.Forwarder,
		Withdrawer:         p.Withdrawer,
		TargetLoads:        p.TargetLoads,
		Throttle:           p.Throttle,
		CallOutcomes:       p.CallOutcomes,
		DataCentreBreakers: p.DataCentreBreakers,
		RefusalCache:       p.RefusalCache,
		GateAttempts:       p.GateAttempts,
		ExpiredTargets:     p.ExpiredTargets,
		GateTokens:         p.GateTokens,
		Scope:              p.Scope,
		Logger:             p.Logger,
		NewID:              p.Identity.NewID,
		QueryAfter:         p.Settings.Requests.QueryAfter,
	})
}

// startSweep schedules the removal of unused table entries, so that the tables
// do not grow with targets that no longer exist.
func startSweep(lc fx.Lifecycle, pool *kernel.Pool, loads *TargetLoads, tokens *GateTokens, refusals *RefusalCache, attempts *GateAttempts, expired *ExpiredTargets, cfg vanillabarrow.Configuration) {
	sweep := func(context.Context) {
		loads.Sweep(time.Now())
		refusals.Sweep(time.Now())
		attempts.Sweep()
		if snapshot := cfg.Snapshot(); snapshot != nil {
			expired.Retain(func(target string) bool { t := snapshot.Targets[target]; return t != nil && t.Expired })
			tokens.Retain(func(target string) bool { return snapshot.Targets[target] != nil })
		}
	}
	lc.Append(fx.StartHook(func() {
		pool.Every(func() time.Duration { return sweepInterval }, false, "dispatch.sweep", sweep)
	}))
}

package discovery

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// maxChangeLines bounds the log lines about single targets and data centres for
// one new snapshot. When an entire fleet is added in one change, the line for
// the applied configuration still has the full counts.
const maxChangeLines = 16

// Change is one difference between two snapshots.
type Change struct {
	// Event is the text of the log event for the change.
	Event string
	// Target is nil for a change of a data centre.
	Target *vanillabarrow.Target
	// DataCentre is the data centre that changed, or that of the target's VM,
	// empty if the snapshot lacks the VM.
	DataCentre string
	// Tenant and Credentials are set for withdrawn credentials: the name of the tenant
	// that held them, and their number.
	Tenant      string
	Credentials int
}

// Changes returns the differences between two snapshots, each kind sorted by
// name: added or changed targets, removed targets, data centres, tenants. The older
// snapshot may be nil.
func Changes(older, newer *vanillabarrow.Snapshot) []Change {
	if older == nil {
		older = &vanillabarrow.Snapshot{}
	}
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(newer.Targets)) {
		if event := targetEvent(older.Targets[name], newer.Targets[name]); event != "" {
			changes = append(changes, newTargetChange(event, newer, newer.Targets[name]))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(older.Targets)) {
		if newer.Targets[name] == nil {
			changes = append(changes, newTargetChange(logging.EventTargetRemoved, older, older.Targets[name]))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(newer.DataCentres)) {
		before, now := older.DataCentres[name], newer.DataCentres[name]
		wasOut := before != nil && before.OutOfService
		if now.OutOfService && !wasOut {
			changes = append(changes, Change{Event: logging.EventDataCentreOutOfService, DataCentre: name})
		}
		if wasOut && !now.OutOfService {
			changes = append(changes, Change{Event: logging.EventDataCentreInService, DataCentre: name})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(older.Tenants)) {
		if n := withdrawn(older.Tenants[name], newer); n > 0 {
			changes = append(changes, Change{Event: logging.EventCredentialWithdrawn, Tenant: name, Credentials: n})
		}
	}
	return changes
}

// withdrawn returns the number of the tenant's credentials that it no longer holds.
func withdrawn(t *vanillabarrow.Tenant, newer *vanillabarrow.Snapshot) int {
	// Snapshots of the same configuration share its tenants.
	if newer.Tenants[t.Name] == t {
		return 0
	}
	n := 0
	for _, digest := range t.Credentials {
		if holder := newer.TenantsByCredential[digest]; holder == nil || holder.Name != t.Name {
			n++
		}
	}
	return n
}

func targetEvent(before, now *vanillabarrow.Target) string {
	switch {
	case now.Expired && before != nil && !before.Expired:
		return logging.EventTargetExpired
	case now.Expired:
		return ""
	case before == nil || before.Expired:
		return logging.EventTargetAdded
	case now.Draining && !before.Draining:
		return logging.EventTargetDraining
	default:
		return ""
	}
}

func newTargetChange(event string, s *vanillabarrow.Snapshot, t *vanillabarrow.Target) Change {
	c := Change{Event: event, Target: t}
	if vm := s.VMs[t.VM]; vm != nil {
		c.DataCentre = vm.DataCentre
	}
	return c
}

// logApplied logs what a new snapshot changes. Age is the time since the
// platform's last confirmation.
func logApplied(logger *slog.Logger, older, newer *vanillabarrow.Snapshot, age time.Duration, now time.Time) {
	changes := Changes(older, newer)
	routes := 0
	for _, list := range newer.Routes {
		routes += len(list)
	}
	if len(changes) == 0 && older != nil && older.Version == newer.Version {
		return
	}
	if kept := keptTargets(newer); kept > 0 || newer.ConfigKept {
		logger.Info(logging.EventConfigApplied, "asOf", newer.Version, "age", age, "routes", routes,
			"services", len(newer.Services), "targets", len(newer.Targets), "keptTargets", kept, "configKept", newer.ConfigKept)
	} else {
		logger.Info(logging.EventConfigApplied, "asOf", newer.Version, "age", age, "routes", routes,
			"services", len(newer.Services), "targets", len(newer.Targets))
	}
	for _, c := range changes[:min(len(changes), maxChangeLines)] {
		logChange(logger, c, newer.Version, now)
	}
}

// keptTargets returns the number of targets whose registrations are of an earlier era.
func keptTargets(s *vanillabarrow.Snapshot) int {
	n := 0
	for _, t := range s.Targets {
		if t.Kept {
			n++
		}
	}
	return n
}

func logChange(logger *slog.Logger, c Change, asOf vanillabarrow.Version, now time.Time) {
	if c.Tenant != "" {
		logger.Info(c.Event, "tenant", c.Tenant, "count", c.Credentials, "asOf", asOf)
		return
	}
	if c.Target == nil {
		logger.Info(c.Event, "dataCentre", c.DataCentre, "asOf", asOf)
		return
	}
	fields := []any{"target", c.Target.Name, "service", c.Target.Service, "dataCentre", c.DataCentre, "asOf", asOf}
	if c.Event == logging.EventTargetAdded {
		fields = append(fields, "cold", max(0, c.Target.ColdUntil.Sub(now)))
	}
	logger.Info(c.Event, fields...)
}

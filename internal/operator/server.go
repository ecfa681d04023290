// Package operator serves the node's status, state dump, readiness, metrics and
// profiles to operators.
package operator

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gorilla/mux"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/caller"
	"github.com/vanillabarrow/vanillabarrow/internal/gate"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
	"github.com/vanillabarrow/vanillabarrow/internal/tenant"
)

// Status is a summary of a node's state.
type Status struct {
	VM         string `json:"vm"`
	DataCentre string `json:"dataCentre"`
	Target     string `json:"target"`
	Ready      bool   `json:"ready"`
	Draining   bool   `json:"draining"`
	// OutOfService is set when the configuration in force takes the target out
	// of service or lacks it.
	OutOfService bool                        `json:"out"`
	Version      vanillabarrow.Version       `json:"version"`
	Rollout      vanillabarrow.RolloutStatus `json:"rollout"`
	View         membership.View             `json:"view"`
	Parents      []string                    `json:"parents"`
	Load         vanillabarrow.Load          `json:"load"`
	// ConfigAgeSeconds is the time since a source last confirmed that no newer
	// version exists, 0 before the first confirmation.
	ConfigAgeSeconds float64 `json:"ageSeconds"`
	UptimeSeconds    float64 `json:"uptimeSeconds"`
	// ControlReceived and ControlSent are the bytes received and sent on
	// control connections that the node opened.
	ControlReceived uint64 `json:"controlReceived"`
	ControlSent     uint64 `json:"controlSent"`
	// Allowances holds the busiest of the tenants whose allowances the node divides
	// among all nodes.
	Allowances []tenant.Use `json:"allowances,omitempty"`
}

// Config holds the dependencies of a server.
type Config struct {
	Identity *kernel.Identity
	Rollout  vanillabarrow.Rollout
	Members  *membership.Table
	Gate     *gate.Gate
	Traffic  *kernel.Traffic
	Owner    *tenant.Owner
	Metrics  http.Handler
	States   []kernel.StateSource
	// Callers explains where callers' requests would go.
	Callers *caller.Server
	Logger  *slog.Logger
}

// Server serves operators' requests.
type Server struct {
	Config
	startedAt time.Time
}

// New returns a server. The uptime of the node counts from this call.
func New(cfg Config) *Server { return &Server{Config: cfg, startedAt: time.Now()} }

// Handler returns the handler of the operator listener.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/status", s.serveStatus).Methods(http.MethodGet)
	router.HandleFunc("/dump", s.serveDump).Methods(http.MethodGet)
	router.HandleFunc("/ready", s.serveReady).Methods(http.MethodGet)
	router.HandleFunc("/explain", s.serveExplain).Methods(http.MethodGet)
	router.Handle("/metrics", s.Metrics).Methods(http.MethodGet)
	router.HandleFunc("/debug/pprof/profile", pprof.Profile).Methods(http.MethodGet)
	router.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index).Methods(http.MethodGet)
	return router
}

// Status returns the node's status.
func (s *Server) Status() Status {
	now := time.Now()
	status := Status{
		VM:            s.Identity.VM,
		DataCentre:    s.Identity.DataCentre,
		Target:        s.Identity.OwnTarget.Name,
		Ready:         s.Rollout.IsReady(),
		Draining:      s.Gate.Draining(),
		Rollout:       s.Rollout.Status(),
		View:          s.Members.View(),
		Parents:       s.Rollout.Parents(),
		Load:          s.Gate.Load(vanillabarrow.LowestPriority),
		UptimeSeconds: now.Sub(s.startedAt).Seconds(),
	}
	status.ControlReceived, status.ControlSent = s.Traffic.Bytes()
	status.Allowances = s.Owner.Uses(tenant.MaxUses)
	if snapshot := s.Rollout.Snapshot(); snapshot != nil {
		status.Version = snapshot.Version
		target := s.Identity.OwnTarget.Resolve(snapshot)
		status.OutOfService = target == nil || target.OutOfService
		if target != nil {
			status.Target = target.Name
		}
	}
	if !status.Rollout.ConfirmedAt.IsZero() {
		status.ConfigAgeSeconds = now.Sub(status.Rollout.ConfirmedAt).Seconds()
	}
	return status
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) { s.writeJSON(w, s.Status()) }

func (s *Server) serveDump(w http.ResponseWriter, _ *http.Request) {
	states := map[string]any{"status": s.Status()}
	for _, source := range s.States {
		states[source.Name] = source.State()
	}
	s.writeJSON(w, states)
}

// serveExplain explains where a request with the method, host, path, tenant and
// idempotency key of the query would go now.
func (s *Server) serveExplain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	explanation, err := s.Callers.Explain(caller.Question{
		Method: query.Get("method"), Host: query.Get("host"), Path: query.Get("path"), Tenant: query.Get("tenant"), Key: query.Get("key"),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.writeJSON(w, explanation)
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Rollout.IsReady() || s.Gate.Draining() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(v); err != nil {
		s.Logger.Warn(logging.EventOperatorResponseFailed, "error", err)
	}
}

// Package settings parses and validates the settings of a node.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// Settings holds the settings of a node, as read from its settings file.
type Settings struct {
	// Profile selects the source of the configuration: inventory or store.
	Profile  string   `yaml:"profile"`
	Node     Node     `yaml:"node"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	// Seeds lists peer addresses of nodes from which a starting node gets its
	// configuration.
	Seeds []string `yaml:"seeds"`
	// Balancer is the name of the load-balancing strategy.
	Balancer string `yaml:"balancer"`
	// Limiter is the name of the concurrency limiter in front of the target.
	Limiter  string   `yaml:"limiter"`
	Requests Requests `yaml:"requests"`
	Retries  Retries  `yaml:"retries"`
	Throttle Throttle `yaml:"throttle"`
	Hedging  Hedging  `yaml:"hedging"`
	// LeaveNotice is the time between announcing a shutdown and refusing new
	// requests of callers, in which callers and other nodes switch to other
	// nodes.
	LeaveNotice time.Duration `yaml:"leaveNotice"`
	// WaitTimeout limits the time after the leave notice in which requests may wait for
	// a slot at shutdown.
	WaitTimeout time.Duration `yaml:"waitTimeout"`
	// DrainTimeout limits the wait for requests in flight at shutdown.
	DrainTimeout time.Duration `yaml:"drainTimeout"`
	// AbortTimeout limits the time after the drain timeout in which requests still in
	// flight get a refusal and the responses behind them are written.
	AbortTimeout time.Duration `yaml:"abortTimeout"`
	Log          Log           `yaml:"log"`
	// Limits states what the VM gives the process.
	Limits Limits `yaml:"limits"`
	// Bounds are the times that the deployment promises. Timers are derived from
	// them.
	Bounds vanillabarrow.Bounds `yaml:"bounds"`
}

// Node identifies the node and its target.
type Node struct {
	VM         string `yaml:"vm"`
	DataCentre string `yaml:"dataCentre"`
	// Target is the name of the target that the node serves. With the
	// profile store, TargetAddress identifies the target instead, because its
	// name changes with every start.
	Target        string `yaml:"target"`
	TargetAddress string `yaml:"targetAddress"`
	// Service is the service of the target. Callers on the VM send requests on
	// its behalf. It is used with the profile store only.
	Service string `yaml:"service"`
}

// TargetRef returns the reference by which the node finds its target in a
// snapshot.
func (n Node) TargetRef() vanillabarrow.TargetRef {
	return vanillabarrow.TargetRef{Name: n.Target, Address: n.TargetAddress}
}

// Listen holds the listening addresses, each an IP address with a port.
type Listen struct {
	Caller   string `yaml:"caller"`
	Peer     string `yaml:"peer"`
	Operator string `yaml:"operator"`
	// Ready is the address for the platform's readiness checks, empty for none.
	Ready string `yaml:"ready"`
}

// Platform holds the settings for reading from the platform.
type Platform struct {
	URL string `yaml:"url"`
	// ReadBudget is the maximum number of reads per second by all nodes
	// together.
	ReadBudget int `yaml:"readBudget"`
	// FleetSize is the number of nodes to assume until the list of nodes is
	// known.
	FleetSize int `yaml:"fleetSize"`
	// Readers is the number of nodes per data centre that watch the platform on
	// behalf of the others.
	Readers int `yaml:"readers"`
	// DataCentres maps data centres to their regions. It is used with the
	// profile store only.
	DataCentres map[string]string `yaml:"dataCentres"`
}

// Retries holds the retry budget, which limits the attempts after the first.
type Retries struct {
	// Share is the number of retries that each first attempt adds to the
	// budget.
	Share float64 `yaml:"share"`
	// Reserve is the maximum number of retries in the budget of a service.
	Reserve float64 `yaml:"reserve"`
	// ShedCost is the number of retries that one after a target shed the request
	// takes from the budget, 0 for that of long call chains.
	ShedCost float64 `yaml:"shedCost"`
}

// Throttle holds the settings of the throttle, which refuses requests on routes that
// fail downstream.
type Throttle struct {
	// IgnoreShed is set if failures don't count that follow from requests which other
	// targets shed although there is no overload.
	IgnoreShed bool `yaml:"ignoreShed"`
}

// Hedging holds the parameters of hedged requests.
type Hedging struct {
	// Share is the number of hedges that each first attempt at a service allows.
	// With 0, no request is hedged.
	Share float64 `yaml:"share"`
	// Quantile is the quantile of a route's latencies after which a request is
	// hedged, and MinDelay the minimum of this time.
	Quantile float64       `yaml:"quantile"`
	MinDelay time.Duration `yaml:"minDelay"`
}

// Requests limits callers' requests.
type Requests struct {
	// MaxHeaderBytes and MaxBodyBytes limit the size of a request.
	MaxHeaderBytes int   `yaml:"maxHeaderBytes"`
	MaxBodyBytes   int64 `yaml:"maxBodyBytes"`
	// MaxInFlight is the maximum number of concurrent requests from callers at
	// a node.
	MaxInFlight int `yaml:"maxInFlight"`
	// PipelinedRequests is the maximum number of requests of one connection that are
	// started before the responses in front of them are written, 0 for none.
	PipelinedRequests int `yaml:"pipelinedRequests"`
	// PipelinedBytes limits the bytes that are read ahead on one connection, and
	// those of its responses that wait for the ones in front of them.
	PipelinedBytes int `yaml:"pipelinedBytes"`
	// QueryAfter is the time without a response after which a node queries the
	// gate for the state of an attempt.
	QueryAfter time.Duration `yaml:"askAfter"`
}

// Limits holds what the VM gives the process, each 0 if it is not known. The bounds on
// what clients may occupy are derived from it.
type Limits struct {
	// MemoryMB is the memory of the process in MiB.
	MemoryMB int `yaml:"memoryMB"`
	// FileDescriptors is the number of descriptors that the process may open.
	FileDescriptors int `yaml:"fileDescriptors"`
}

const (
	// minMemoryMB and minFileDescriptors are what a node without clients needs.
	minMemoryMB        = 48
	minFileDescriptors = 64
)

// Log holds the settings of the log.
type Log struct {
	// Level is the minimum level of logged lines: debug, info, warn or error.
	Level string `yaml:"level"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Profile:     vanillabarrow.ProfileInventory,
		Retries:     Retries{Share: 0.1, Reserve: 10},
		LeaveNotice: time.Second,
		Listen:      Listen{Operator: "127.0.0.1:0"},
		Platform:    Platform{ReadBudget: 2000, FleetSize: 100, Readers: 3},
		Balancer:    vanillabarrow.BalancerTwoChoices,
		Limiter:     vanillabarrow.LimiterAdaptive,
		Requests: Requests{
			MaxHeaderBytes: 64 << 10, MaxBodyBytes: 256 << 20, MaxInFlight: 2048, PipelinedRequests: 32, PipelinedBytes: 512 << 10,
			QueryAfter: 300 * time.Millisecond,
		},
		Hedging:      Hedging{Quantile: 0.9, MinDelay: 50 * time.Millisecond},
		WaitTimeout:  15 * time.Second,
		DrainTimeout: 30 * time.Second,
		AbortTimeout: time.Second,
		Log:          Log{Level: "info"},
		Bounds:       vanillabarrow.DefaultBounds(),
	}
}

// Parse decodes a YAML settings file. Absent fields keep their defaults, and
// unknown fields are errors. The file name is used in errors only.
func Parse(file string, b []byte) (Settings, error) {
	s := Default()
	decoder := yaml.NewDecoder(bytes.NewReader(b))
	decoder.KnownFields(true)
	if err := decoder.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return Settings{}, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// ApplyGracePeriod derives the times of a planned stop from the grace period, if that
// is known.
func (s *Settings) ApplyGracePeriod() {
	if b := s.Bounds; b.GracePeriod > 0 {
		s.LeaveNotice, s.WaitTimeout = b.LeaveNotice(), b.WaitTimeout()
		s.DrainTimeout, s.AbortTimeout = b.DrainTimeout(), b.AbortTimeout()
	}
}

// Check validates the settings. The error lists all invalid fields.
func (s Settings) Check() error {
	var errs []error
	addError := func(field, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
	}
	required := map[string]string{"node.vm": s.Node.VM, "node.dataCentre": s.Node.DataCentre}
	if s.Profile == vanillabarrow.ProfileStore {
		required["node.service"], required["node.targetAddress"] = s.Node.Service, s.Node.TargetAddress
		required["listen.ready"] = s.Listen.Ready
	} else {
		required["node.target"] = s.Node.Target
	}
	for field, value := range required {
		if value == "" {
			addError(field, "is required")
		}
	}
	addresses := map[string]string{
		"listen.caller": s.Listen.Caller, "listen.peer": s.Listen.Peer, "listen.operator": s.Listen.Operator,
	}
	if s.Node.TargetAddress != "" {
		addresses["node.targetAddress"] = s.Node.TargetAddress
	}
	if s.Listen.Ready != "" {
		addresses["listen.ready"] = s.Listen.Ready
	}
	for i, seed := range s.Seeds {
		addresses[fmt.Sprintf("seeds[%d]", i)] = seed
	}
	for field, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			addError(field, "%q is not an IP address with a port", address)
		}
	}
	if u, err := url.Parse(s.Platform.URL); err != nil || u.Scheme != "http" || u.Host == "" {
		addError("platform.url", "%q is not an http:// URL with a host", s.Platform.URL)
	}
	for field, n := range map[string]int64{
		"platform.readBudget": int64(s.Platform.ReadBudget), "platform.fleetSize": int64(s.Platform.FleetSize),
		"platform.readers":        int64(s.Platform.Readers),
		"requests.maxHeaderBytes": int64(s.Requests.MaxHeaderBytes), "requests.maxBodyBytes": s.Requests.MaxBodyBytes,
		"requests.maxInFlight": int64(s.Requests.MaxInFlight), "requests.pipelinedBytes": int64(s.Requests.PipelinedBytes),
	} {
		if n <= 0 {
			addError(field, "is %d, must be greater than zero", n)
		}
	}
	for field, d := range map[string]time.Duration{
		"requests.askAfter": s.Requests.QueryAfter, "waitTimeout": s.WaitTimeout, "drainTimeout": s.DrainTimeout, "abortTimeout": s.AbortTimeout,
		"bounds.configApply": s.Bounds.ConfigApply, "bounds.drain": s.Bounds.Drain, "bounds.stabilityWindow": s.Bounds.StabilityWindow,
	} {
		if d <= 0 {
			addError(field, "is %s, must be greater than zero", d)
		}
	}
	if s.Requests.PipelinedRequests < 0 {
		addError("requests.pipelinedRequests", "is %d, must not be negative", s.Requests.PipelinedRequests)
	}
	for field, limit := range map[string]struct{ n, least int }{
		"limits.memoryMB":        {s.Limits.MemoryMB, minMemoryMB},
		"limits.fileDescriptors": {s.Limits.FileDescriptors, minFileDescriptors},
	} {
		if limit.n != 0 && limit.n < limit.least {
			addError(field, "is %d, must be 0 if it is not known, or at least %d", limit.n, limit.least)
		}
	}
	if s.Retries.Share < 0 || s.Retries.Share > 1 {
		addError("retries.share", "is %g, must be between 0 and 1", s.Retries.Share)
	}
	if s.Retries.Reserve < 0 {
		addError("retries.reserve", "is %g, must not be negative", s.Retries.Reserve)
	}
	if s.Retries.ShedCost != 0 && s.Retries.ShedCost < 1 {
		addError("retries.shedCost", "is %g, must be 0 or at least 1", s.Retries.ShedCost)
	}
	s.checkHedging(addError)
	if s.Bounds.GracePeriod < 0 {
		addError("bounds.gracePeriod", "is %s, must not be negative", s.Bounds.GracePeriod)
	}
	if s.LeaveNotice < 0 {
		addError("leaveNotice", "is %s, must not be negative", s.LeaveNotice)
	}
	if !slices.Contains(vanillabarrow.ProfileNames(), s.Profile) {
		addError("profile", "%q is not one of %s", s.Profile, strings.Join(vanillabarrow.ProfileNames(), ", "))
	}
	if !slices.Contains(vanillabarrow.BalancerNames(), s.Balancer) {
		addError("balancer", "%q is not one of %s", s.Balancer, strings.Join(vanillabarrow.BalancerNames(), ", "))
	}
	if !slices.Contains(vanillabarrow.LimiterNames(), s.Limiter) {
		addError("limiter", "%q is not one of %s", s.Limiter, strings.Join(vanillabarrow.LimiterNames(), ", "))
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		addError("log.level", "%q is not one of debug, info, warn, error", s.Log.Level)
	}
	slices.SortFunc(errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(errs...)
}

// checkHedging validates the parameters of hedged requests. A hedge is charged to
// the retry budget, so a larger share than that of the budget has no effect but to
// leave nothing for retries.
func (s Settings) checkHedging(addError func(field, format string, args ...any)) {
	h := s.Hedging
	if !(h.Share >= 0 && h.Share <= s.Retries.Share) {
		addError("hedging.share", "is %g, must be between 0 and retries.share, which is %g", h.Share, s.Retries.Share)
	}
	if !(h.Quantile >= 0.5 && h.Quantile < 1) {
		addError("hedging.quantile", "is %g, must be at least 0.5 and less than 1", h.Quantile)
	}
	if h.MinDelay <= 0 {
		addError("hedging.minDelay", "is %s, must be greater than zero", h.MinDelay)
	}
}

// Package settings reads the settings of one node.
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

// Settings are the settings of one node.
type Settings struct {
	// Profile is where the configuration comes from: inventory or store.
	Profile  string   `yaml:"profile"`
	Node     Node     `yaml:"node"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	// Seeds are peer addresses of nodes to ask at the start.
	Seeds []string `yaml:"seeds"`
	// Balancer is the name of the balancer.
	Balancer string `yaml:"balancer"`
	// Limiter is the name of the limiter in front of the target.
	Limiter  string   `yaml:"limiter"`
	Requests Requests `yaml:"requests"`
	Retries  Retries  `yaml:"retries"`
	// LeaveNotice is the time between the announcement of a stop and the end
	// of new work, in which callers and nodes move on.
	LeaveNotice time.Duration `yaml:"leaveNotice"`
	// DrainTimeout bounds the wait for work in flight at a stop.
	DrainTimeout time.Duration `yaml:"drainTimeout"`
	Log          Log           `yaml:"log"`
}

// Node names the node's place.
type Node struct {
	VM         string `yaml:"vm"`
	DataCentre string `yaml:"dataCentre"`
	// Target is the name of the target that the node guards. In the profile
	// store TargetAddress names it, because its name changes at each start.
	Target        string `yaml:"target"`
	TargetAddress string `yaml:"targetAddress"`
	// Service is the service of the target, which callers on the VM act for.
	// Only the profile store needs it.
	Service string `yaml:"service"`
}

// TargetRef returns how the node finds its target in a snapshot.
func (n Node) TargetRef() vanillabarrow.TargetRef {
	return vanillabarrow.TargetRef{Name: n.Target, Address: n.TargetAddress}
}

// Listen holds the listening addresses, each an IP address with a port.
type Listen struct {
	Caller   string `yaml:"caller"`
	Peer     string `yaml:"peer"`
	Operator string `yaml:"operator"`
	// Ready answers the platform's readiness checks. Empty turns it off.
	Ready string `yaml:"ready"`
}

// Platform tells how to read the platform.
type Platform struct {
	URL string `yaml:"url"`
	// ReadBudget is the number of reads a second for all nodes together.
	ReadBudget int `yaml:"readBudget"`
	// FleetSize is the number of nodes to assume before a list is held.
	FleetSize int `yaml:"fleetSize"`
	// Readers is the number of nodes in a data centre that watch the platform.
	Readers int `yaml:"readers"`
	// DataCentres maps data centres to their regions. Only the profile store
	// needs it.
	DataCentres map[string]string `yaml:"dataCentres"`
}

// Retries bounds the attempts beyond the first.
type Retries struct {
	// Share is the number of retries earned by one first attempt.
	Share float64 `yaml:"share"`
	// Reserve is the largest number of retries saved up for a service.
	Reserve float64 `yaml:"reserve"`
}

// Requests bounds callers' requests.
type Requests struct {
	// MaxHeaderBytes and MaxBodyBytes bound the size of a request.
	MaxHeaderBytes int   `yaml:"maxHeaderBytes"`
	MaxBodyBytes   int64 `yaml:"maxBodyBytes"`
	// MaxInFlight bounds the requests of callers at one node.
	MaxInFlight int `yaml:"maxInFlight"`
	// QueryAfter is how long an attempt may stay without an answer before its
	// gate is asked about it.
	QueryAfter time.Duration `yaml:"askAfter"`
}

// Log tells what is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}

// Default returns the settings that apply where a file says nothing.
func Default() Settings {
	return Settings{
		Profile:      vanillabarrow.ProfileInventory,
		Retries:      Retries{Share: 0.1, Reserve: 10},
		LeaveNotice:  time.Second,
		Listen:       Listen{Operator: "127.0.0.1:0"},
		Platform:     Platform{ReadBudget: 2000, FleetSize: 100, Readers: 3},
		Balancer:     vanillabarrow.BalancerTwoChoices,
		Limiter:      vanillabarrow.LimiterAdaptive,
		Requests:     Requests{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 256 << 20, MaxInFlight: 2048, QueryAfter: 300 * time.Millisecond},
		DrainTimeout: 30 * time.Second,
		Log:          Log{Level: "info"},
	}
}

// Parse reads settings over the defaults. Unknown fields are errors.
func Parse(file string, b []byte) (Settings, error) {
	s := Default()
	decoder := yaml.NewDecoder(bytes.NewReader(b))
	decoder.KnownFields(true)
	if err := decoder.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return Settings{}, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// Check returns an error that names every field with a bad value.
func (s Settings) Check() error {
	var faults []error
	fault := func(field, format string, args ...any) {
		faults = append(faults, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
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
			fault(field, "is required")
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
			fault(field, "%q is not an IP address with a port", address)
		}
	}
	if u, err := url.Parse(s.Platform.URL); err != nil || u.Scheme != "http" || u.Host == "" {
		fault("platform.url", "%q is not an http URL", s.Platform.URL)
	}
	for field, n := range map[string]int64{
		"platform.readBudget": int64(s.Platform.ReadBudget), "platform.fleetSize": int64(s.Platform.FleetSize),
		"platform.readers": int64(s.Platform.Readers), "requests.askAfter": int64(s.Requests.QueryAfter),
		"requests.maxHeaderBytes": int64(s.Requests.MaxHeaderBytes), "requests.maxBodyBytes": s.Requests.MaxBodyBytes,
		"requests.maxInFlight": int64(s.Requests.MaxInFlight), "drainTimeout": int64(s.DrainTimeout),
	} {
		if n <= 0 {
			fault(field, "must be above zero")
		}
	}
	if s.Retries.Share < 0 || s.Retries.Share > 1 {
		fault("retries.share", "must be from 0 to 1")
	}
	if s.Retries.Reserve < 0 {
		fault("retries.reserve", "must not be below zero")
	}
	if s.LeaveNotice < 0 {
		fault("leaveNotice", "must not be below zero")
	}
	if !slices.Contains(vanillabarrow.ProfileNames(), s.Profile) {
		fault("profile", "%q is not one of %s", s.Profile, strings.Join(vanillabarrow.ProfileNames(), ", "))
	}
	if !slices.Contains(vanillabarrow.BalancerNames(), s.Balancer) {
		fault("balancer", "%q is not one of %s", s.Balancer, strings.Join(vanillabarrow.BalancerNames(), ", "))
	}
	if !slices.Contains(vanillabarrow.LimiterNames(), s.Limiter) {
		fault("limiter", "%q is not one of %s", s.Limiter, strings.Join(vanillabarrow.LimiterNames(), ", "))
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level) {
		fault("log.level", "%q is not one of debug, info, warn, error", s.Log.Level)
	}
	slices.SortFunc(faults, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(faults...)
}

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
	// DrainTimeout bounds the wait for work in flight at a stop.
	DrainTimeout time.Duration `yaml:"drainTimeout"`
	Log          Log           `yaml:"log"`
}

// Node names the node's place.
type Node struct {
	VM         string `yaml:"vm"`
	DataCentre string `yaml:"dataCentre"`
	// Target is the name of the target that the node guards.
	Target string `yaml:"target"`
}

// Listen holds the listening addresses, each an IP address with a port.
type Listen struct {
	Caller   string `yaml:"caller"`
	Peer     string `yaml:"peer"`
	Operator string `yaml:"operator"`
}

// Platform tells how to read the platform.
type Platform struct {
	URL string `yaml:"url"`
	// ReadBudget is the number of reads a second for all nodes together.
	ReadBudget int `yaml:"readBudget"`
	// FleetSize is the number of nodes to assume before a list is held.
	FleetSize int `yaml:"fleetSize"`
}

// Requests bounds callers' requests.
type Requests struct {
	// MaxHeaderBytes and MaxBodyBytes bound the size of a request.
	MaxHeaderBytes int   `yaml:"maxHeaderBytes"`
	MaxBodyBytes   int64 `yaml:"maxBodyBytes"`
	// MaxInFlight bounds the requests of callers at one node.
	MaxInFlight int `yaml:"maxInFlight"`
}

// Log tells what is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}

// Default returns the settings that apply where a file says nothing.
func Default() Settings {
	return Settings{
		Listen:       Listen{Operator: "127.0.0.1:0"},
		Platform:     Platform{ReadBudget: 2000, FleetSize: 100},
		Balancer:     vanillabarrow.BalancerTwoChoices,
		Limiter:      vanillabarrow.LimiterAdaptive,
		Requests:     Requests{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 256 << 20, MaxInFlight: 2048},
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
	for field, value := range map[string]string{
		"node.vm": s.Node.VM, "node.dataCentre": s.Node.DataCentre, "node.target": s.Node.Target,
	} {
		if value == "" {
			fault(field, "is required")
		}
	}
	addresses := map[string]string{
		"listen.caller": s.Listen.Caller, "listen.peer": s.Listen.Peer, "listen.operator": s.Listen.Operator,
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
		"requests.maxHeaderBytes": int64(s.Requests.MaxHeaderBytes), "requests.maxBodyBytes": s.Requests.MaxBodyBytes,
		"requests.maxInFlight": int64(s.Requests.MaxInFlight), "drainTimeout": int64(s.DrainTimeout),
	} {
		if n <= 0 {
			fault(field, "must be above zero")
		}
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

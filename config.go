package vanillabarrow

import "time"

// Version is the platform's revision of a published value. It only grows.
type Version uint64

// Topic names one kind of published value.
type Topic string

// Topics that are distributed.
const (
	TopicConfig Topic = "config"
	TopicVMs    Topic = "vms"
	// TopicAccepted carries the configuration in force between nodes while
	// the newest one is rejected, for nodes that start meanwhile. It is not
	// published.
	TopicAccepted Topic = "accepted"
)

// Value is one published value as the platform gives it.
type Value struct {
	Key      string
	Revision Version
	Bytes    []byte
}

// PartKeyPrefix starts the keys of parts. The digest follows.
const PartKeyPrefix = "config/parts/"

// Part is one named piece of a published value.
type Part struct {
	Name   string
	Digest string
	Bytes  []byte
}

// Bundle is one published version as raw bytes. Nodes relay bundles unchanged,
// whatever their own verdict on the content is.
type Bundle struct {
	Topic   Topic
	Version Version
	// Root is the value at the topic's key: a whole document or a manifest.
	Root []byte
	// Parts holds the parts that a manifest names, in its order.
	Parts []Part
}

// Size returns the number of bytes in the bundle.
func (b *Bundle) Size() int {
	n := len(b.Root)
	for _, p := range b.Parts {
		n += len(p.Bytes)
	}
	return n
}

// Region is a group of data centres that are near each other.
type Region struct {
	Name string `json:"name" yaml:"name"`
}

// DataCentre is a failure domain with its own VMs.
type DataCentre struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
	// OutOfService is set when the rules take the data centre out of service.
	OutOfService bool `json:"out" yaml:"-"`
}

// VM is a machine that runs one node.
type VM struct {
	Name       string `json:"name" yaml:"name"`
	DataCentre string `json:"dataCentre" yaml:"dataCentre"`
	// PeerAddress is the host:port of the node's peer listener.
	PeerAddress string `json:"peerAddress" yaml:"peerAddress"`
	// OperatorAddress is the host:port of the node's operator listener.
	OperatorAddress string `json:"operatorAddress,omitempty" yaml:"operatorAddress"`
	// Expired is set when only lapsed targets name the VM. Its node is asked for
	// them and for nothing else.
	Expired bool `json:"lapsed,omitempty" yaml:"-"`
}

// Target is one back end of a service.
type Target struct {
	Name    string `json:"name" yaml:"name"`
	Service string `json:"service" yaml:"service"`
	VM      string `json:"vm" yaml:"vm"`
	// Address is the host:port on which the target answers HTTP/1.1.
	Address string `json:"address" yaml:"address"`
	// Slots is the number of requests that the warm target runs at once.
	Slots int `json:"slots" yaml:"slots"`
	// Connections is the number of connections that the target accepts.
	Connections int `json:"connections" yaml:"connections"`
	// OutOfService is set when the rules take the target or its data centre out.
	OutOfService bool `json:"out" yaml:"-"`
	// Draining is set while the target finishes its work and takes no more.
	Draining bool `json:"draining,omitempty" yaml:"-"`
	// Expired is set when the platform dropped the target's entry without a word
	// of leaving. A target whose VM is cut off from the platform can't renew its
	// entry and runs on all the same; only the gate beside it can tell.
	Expired bool `json:"lapsed,omitempty" yaml:"-"`
	// ColdUntil is when the target's last announced warm-up ends.
	ColdUntil time.Time `json:"coldUntil,omitzero" yaml:"-"`
	// Created is when the target's entry came into being. Of two targets at
	// one address the newer is the one that runs.
	Created Version `json:"created,omitempty" yaml:"-"`
}

// Service is a named set of targets with its request policy.
type Service struct {
	Name string `json:"name"`
	// Timeout bounds a request that carries no smaller budget.
	Timeout time.Duration `json:"timeout"`
	// Retries is the largest number of attempts beyond the first.
	Retries int `json:"retries"`
	// IdempotentMethods lists methods that may run more than once.
	IdempotentMethods []string `json:"idempotentMethods"`
	// KeyWindow is the time for which a gate remembers an idempotency key.
	KeyWindow time.Duration `json:"keyWindow"`
	// NotRunStatuses lists answer statuses by which a target states that it
	// did not run the request.
	NotRunStatuses []int `json:"notRunStatuses,omitempty"`
	// WarmUp is how long a target is cold after its start, 0 if it is not.
	WarmUp time.Duration `json:"warmUp,omitempty"`
	// WarmUpRate is the number of requests a second that a cold target bears,
	// 0 for no bound.
	WarmUpRate float64 `json:"warmUpRate,omitempty"`
	// HealthPath is the path of the target's health check, empty for none.
	HealthPath string `json:"healthPath,omitempty"`
	// Targets lists the names of the service's targets, sorted.
	Targets []string `json:"targets"`
	// ExpiredTargets lists the names of its lapsed targets, sorted.
	ExpiredTargets []string `json:"lapsed,omitempty"`
}

// Share is one part of a weighted split.
type Share struct {
	Service string  `json:"service" yaml:"service"`
	Weight  float64 `json:"weight" yaml:"weight"`
}

// Route sends requests with a host, a path prefix and a method to a service.
type Route struct {
	Name string `json:"name" yaml:"name"`
	// Host is matched exactly, without a port. An empty host matches any.
	Host string `json:"host,omitempty" yaml:"host"`
	// PathPrefix is matched on whole path segments.
	PathPrefix string `json:"pathPrefix" yaml:"pathPrefix"`
	// Methods lists the matched methods. An empty list matches any.
	Methods []string `json:"methods,omitempty" yaml:"methods"`
	Service string   `json:"service,omitempty" yaml:"service"`
	// Split divides the requests among services. It replaces Service.
	Split []Share `json:"split,omitempty" yaml:"split,omitempty"`
	// Idempotent says whether requests may run more than once. Nil leaves it
	// to the method and the service's policy.
	Idempotent *bool `json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	// MaxAttempts bounds the targets that one request may reach, 0 for the
	// service's policy.
	MaxAttempts int `json:"maxAttempts,omitempty" yaml:"maxAttempts,omitempty"`
	// Timeout bounds a request, 0 for the service's policy.
	Timeout time.Duration `json:"timeout,omitempty" yaml:"timeout,omitempty"`
	// Objective is the latency that callers expect, 0 for none.
	Objective time.Duration `json:"objective,omitempty" yaml:"objective,omitempty"`
	// Priority is the rank in a queue. 0 goes first.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
}

// RequestLimits bounds what callers may send. Zero values leave the node's
// settings in force.
type RequestLimits struct {
	MaxHeaderBytes int   `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int64 `json:"maxBodyBytes,omitempty"`
}

// Snapshot is one compiled configuration version. It is immutable.
type Snapshot struct {
	Version     Version
	Regions     map[string]*Region
	DataCentres map[string]*DataCentre
	VMs         map[string]*VM
	Services    map[string]*Service
	Targets     map[string]*Target
	// Routes maps a host to its routes, most specific first. The routes for
	// any host are under the empty host.
	Routes map[string][]*Route
	Limits RequestLimits
	// ByAddress maps the address of each target to its newest target. It is
	// empty where targets are known by name.
	ByAddress map[string]*Target
}

// TargetRef names the target beside a node: by name, or by address where the
// name changes with each start of the target.
type TargetRef struct {
	Name    string
	Address string
}

// Resolve returns the target in a snapshot, nil for none.
func (r TargetRef) Resolve(s *Snapshot) *Target {
	switch {
	case s == nil:
		return nil
	case r.Name != "":
		return s.Targets[r.Name]
	default:
		return s.ByAddress[r.Address]
	}
}

// VMState is the platform's word on one VM.
type VMState string

// States of a VM in the published list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMEntry is one entry of the published VM list.
type VMEntry struct {
	Name        string  `json:"name"`
	DataCentre  string  `json:"dataCentre"`
	PeerAddress string  `json:"peerAddress"`
	State       VMState `json:"state"`
}

// VMList is the published list of VMs. It lags behind the truth.
type VMList struct {
	Version Version   `json:"version"`
	VMs     []VMEntry `json:"vms"`
}

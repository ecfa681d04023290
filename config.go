package vanillabarrow

import "time"

// Topic identifies a kind of published value.
type Topic string

// Topics that nodes distribute.
const (
	TopicConfig Topic = "config"
	TopicVMs    Topic = "vms"
	// TopicAccepted carries the configuration in force between nodes while the
	// newest one is rejected, so that nodes that start in the meantime have a
	// valid configuration. The platform does not publish it.
	TopicAccepted Topic = "accepted"
)

// Value is one published value as read from the platform.
type Value struct {
	Key      string
	Revision Version
	Bytes    []byte
}

// PartKeyPrefix is the prefix of the keys of parts. The part's digest follows.
const PartKeyPrefix = "config/parts/"

// Part is a named section of a published value.
type Part struct {
	Name   string
	Digest string
	Bytes  []byte
}

// Bundle is one published version as raw bytes. Nodes relay bundles unchanged,
// even those whose content they reject.
type Bundle struct {
	Topic   Topic
	Version Version
	// Root is the value at the topic's key: a complete document or a manifest.
	Root []byte
	// Parts holds the parts that a manifest lists, in manifest order.
	Parts []Part
}

// Size returns the total number of bytes of the root and all parts.
func (b *Bundle) Size() int {
	n := len(b.Root)
	for _, p := range b.Parts {
		n += len(p.Bytes)
	}
	return n
}

// Region is a group of nearby data centres.
type Region struct {
	Name string `json:"name" yaml:"name"`
}

// DataCentre is a failure domain with its own VMs.
type DataCentre struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
	// OutOfService is set when operators have taken the data centre out of
	// service.
	OutOfService bool `json:"out" yaml:"-"`
}

// VM is a virtual machine that runs one node.
type VM struct {
	Name       string `json:"name" yaml:"name"`
	DataCentre string `json:"dataCentre" yaml:"dataCentre"`
	// PeerAddress is the host:port of the listener for other nodes.
	PeerAddress string `json:"peerAddress" yaml:"peerAddress"`
	// OperatorAddress is the host:port of the listener for status and metrics.
	OperatorAddress string `json:"operatorAddress,omitempty" yaml:"operatorAddress"`
	// Expired is set when only expired targets refer to the VM. Its node receives
	// requests for these targets and is not used as a peer otherwise.
	Expired bool `json:"lapsed,omitempty" yaml:"-"`
}

// Target is one backend instance of a service.
type Target struct {
	Name    string `json:"name" yaml:"name"`
	Service string `json:"service" yaml:"service"`
	VM      string `json:"vm" yaml:"vm"`
	// Address is the host:port on which the target serves HTTP/1.1.
	Address string `json:"address" yaml:"address"`
	// Slots is the number of requests that the target runs concurrently once it
	// is warm.
	Slots int `json:"slots" yaml:"slots"`
	// Connections is the number of connections that the target accepts.
	Connections int `json:"connections" yaml:"connections"`
	// OutOfService is set when the target or its data centre is taken out of
	// service.
	OutOfService bool `json:"out" yaml:"-"`
	// Draining is set while the target completes its requests in flight and
	// accepts no new ones.
	Draining bool `json:"draining,omitempty" yaml:"-"`
	// Expired is set when the target's registration expired without the target
	// announcing a shutdown. A target whose VM is partitioned from the platform
	// can't renew its registration but keeps running; only the gate on the same
	// VM knows.
	Expired bool `json:"lapsed,omitempty" yaml:"-"`
	// RemovedAt is when the first node learned that the target's registration was removed,
	// zero while it is registered. The target stays in use for a moment, because it may be
	// about to register again, and is expired then.
	RemovedAt time.Time `json:"removedAt,omitzero" yaml:"-"`
	// ColdUntil is the end of the warm-up that the target last announced.
	ColdUntil time.Time `json:"coldUntil,omitzero" yaml:"-"`
	// Created is the revision at which the target was registered. Of two targets
	// with the same address, the one registered later is the running one.
	Created Version `json:"created,omitempty" yaml:"-"`
	// Kept is set when the registration is of an earlier era than the configuration,
	// because the copy from which the platform was restored has an older one or none.
	Kept bool `json:"kept,omitempty" yaml:"-"`
}

// Service is a named set of targets with a common request policy.
type Service struct {
	Name string `json:"name"`
	// Timeout limits the duration of a request that carries no shorter time
	// budget.
	Timeout time.Duration `json:"timeout"`
	// Retries is the maximum number of attempts after the first.
	Retries int `json:"retries"`
	// IdempotentMethods lists the HTTP methods that are safe to run more than
	// once.
	IdempotentMethods []string `json:"idempotentMethods"`
	// KeyWindow is the retention time of an idempotency key at a gate.
	KeyWindow time.Duration `json:"keyWindow"`
	// NotRunStatuses lists the HTTP statuses by which a target states that it
	// did not run the request.
	NotRunStatuses []int `json:"notRunStatuses,omitempty"`
	// WarmUp is the length of a target's warm-up after its start, 0 for none.
	WarmUp time.Duration `json:"warmUp,omitempty"`
	// WarmUpRate is the number of requests per second that a target can handle
	// during its warm-up, 0 for no limit.
	WarmUpRate float64 `json:"warmUpRate,omitempty"`
	// HealthPath is the URL path of the target's health check, empty for none.
	HealthPath string `json:"healthPath,omitempty"`
	// Targets lists the names of the service's targets, sorted.
	Targets []string `json:"targets"`
	// ExpiredTargets lists the names of the service's expired targets, sorted.
	ExpiredTargets []string `json:"lapsed,omitempty"`
}

// Share is the weight of one service in a traffic split.
type Share struct {
	Service string  `json:"service" yaml:"service"`
	Weight  float64 `json:"weight" yaml:"weight"`
}

// Route maps requests with a host, a path prefix and a method to a service.
type Route struct {
	Name string `json:"name" yaml:"name"`
	// Host is matched exactly, in lower case and without a port. An empty host
	// matches all.
	Host string `json:"host,omitempty" yaml:"host"`
	// PathPrefix is matched by complete path segments, or character by character
	// if LiteralPrefix is set.
	PathPrefix string `json:"pathPrefix" yaml:"pathPrefix"`
	// LiteralPrefix is set if a matching path has to begin with PathPrefix, so that
	// /a/ matches /a/b but not /a. No inventory sets it.
	LiteralPrefix bool `json:"-" yaml:"-"`
	// Methods lists the matched HTTP methods. An empty list matches all.
	Methods []string `json:"methods,omitempty" yaml:"methods"`
	Service string   `json:"service,omitempty" yaml:"service"`
	// Split divides the requests among services by weight. It replaces Service.
	Split []Share `json:"split,omitempty" yaml:"split,omitempty"`
	// Idempotent states whether requests may run more than once. With nil, the
	// service's IdempotentMethods decide.
	Idempotent *bool `json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	// MaxAttempts is the maximum number of targets that one request may reach. If
	// it is 0, the service's Retries limit the attempts instead.
	MaxAttempts int `json:"maxAttempts,omitempty" yaml:"maxAttempts,omitempty"`
	// Timeout limits the duration of a request, 0 for the service's Timeout.
	Timeout time.Duration `json:"timeout,omitempty" yaml:"timeout,omitempty"`
	// Objective is the latency objective of a request, 0 for none.
	Objective time.Duration `json:"objective,omitempty" yaml:"objective,omitempty"`
	// Priority orders requests in a gate's queue. 0 is the most urgent.
	Priority int `json:"priority,omitempty" yaml:"priority,omitempty"`
	// Regions lists the regions in which requests may be served. An empty list
	// allows all.
	Regions []string `json:"regions,omitempty" yaml:"-"`
	// Public is set when requests need no credential although the configuration
	// has tenants.
	Public bool `json:"public,omitempty" yaml:"-"`
}

// CredentialDigest is the SHA-256 digest of a tenant's credential. Snapshots hold
// digests only, so that credentials appear in no dump.
type CredentialDigest [32]byte

// Tenant is an organisation on whose behalf callers send requests.
type Tenant struct {
	Name string `json:"name"`
	// Priority takes precedence over that of a route, nil for none.
	Priority *int `json:"priority,omitempty"`
	// RequestRate and Burst are the tenant's allowance over all nodes together: the
	// number of requests per second, and the number above that rate that may
	// arrive at once. A rate of 0 means that there is no limit.
	RequestRate float64 `json:"requestRate,omitempty"`
	Burst       float64 `json:"burst,omitempty"`
	// Regions lists the regions in which the tenant's requests may be served. An
	// empty list allows all.
	Regions []string `json:"regions,omitempty"`
	// Credentials lists the digests of the tenant's credentials.
	Credentials []CredentialDigest `json:"-"`
}

// RequestLimits limits the size of callers' requests. A zero value leaves the
// node's own setting in force.
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
	// Routes maps a host to its routes, most specific first. Routes that match
	// all hosts are under the empty string.
	Routes map[string][]*Route
	Limits RequestLimits
	// Tenants maps names to tenants. Requests need no credential while it is
	// empty.
	Tenants map[string]*Tenant
	// TenantsByCredential maps the digests of credentials to their tenants.
	TenantsByCredential map[CredentialDigest]*Tenant `json:"-"`
	// ByAddress maps an address to the newest target there. It is empty where
	// targets are identified by name.
	ByAddress map[string]*Target
	// ConfigKept is set when routes, services and tenants are of an earlier era than
	// Version, because the copy from which the platform was restored has an older
	// configuration or none.
	ConfigKept bool `json:"configKept,omitempty"`
}

// TargetRef identifies the target on a node's own VM: by name, or by address
// where the target gets a new name with every start.
type TargetRef struct {
	Name    string
	Address string
}

// Resolve returns the target in a snapshot, or nil if it has none.
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

// VMState is the state of a VM as published by the platform.
type VMState string

// States of a VM in the published list.
const (
	VMLive VMState = "live"
	// VMLeaving means that the VM is about to shut down and gets no new requests.
	VMLeaving VMState = "leaving"
)

// VMEntry is one entry of the published VM list.
type VMEntry struct {
	Name        string  `json:"name"`
	DataCentre  string  `json:"dataCentre"`
	PeerAddress string  `json:"peerAddress"`
	State       VMState `json:"state"`
}

// VMList is the published list of VMs. It may be out of date.
type VMList struct {
	Version Version   `json:"version"`
	VMs     []VMEntry `json:"vms"`
}

// Package inventory turns published documents into configuration snapshots.
// It does no I/O: the result is a function of the bytes alone.
package inventory

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// SchemaVersion is the version of the document format that this build reads.
const SchemaVersion = 1

// MaxValueBytes bounds one published value.
const MaxValueBytes = 1 << 20

// Kinds of published values.
const (
	KindConfig   = "config"
	KindManifest = "manifest"
)

// Document is one published YAML document. Large inventories are split over
// several documents, whose lists are joined.
type Document struct {
	Kind         string                     `yaml:"kind"`
	Schema       int                        `yaml:"schema"`
	Regions      []vanillabarrow.Region     `yaml:"regions,omitempty"`
	DataCentres  []vanillabarrow.DataCentre `yaml:"dataCentres,omitempty"`
	VMs          []vanillabarrow.VM         `yaml:"vms,omitempty"`
	Services     []ServiceEntry             `yaml:"services,omitempty"`
	Targets      []vanillabarrow.Target     `yaml:"targets,omitempty"`
	Routes       []vanillabarrow.Route      `yaml:"routes,omitempty"`
	Policies     []Policy                   `yaml:"policies,omitempty"`
	OutOfService OutOfService               `yaml:"out,omitempty"`
}

// ServiceEntry is a service as the asset register lists it.
type ServiceEntry struct {
	Name string `yaml:"name"`
}

// Policy is a rule on how requests to one service are treated. Absent fields
// take the defaults.
type Policy struct {
	Service           string         `yaml:"service"`
	Timeout           *time.Duration `yaml:"timeout,omitempty"`
	Retries           *int           `yaml:"retries,omitempty"`
	IdempotentMethods []string       `yaml:"idempotentMethods,omitempty"`
	KeyWindow         *time.Duration `yaml:"keyWindow,omitempty"`
	NotRunStatuses    []int          `yaml:"notRunStatuses,omitempty"`
}

// OutOfService lists what the operators have taken out of service.
type OutOfService struct {
	DataCentres []string `yaml:"dataCentres,omitempty"`
	Targets     []string `yaml:"targets,omitempty"`
}

// Manifest names the parts of one version.
type Manifest struct {
	Kind   string         `yaml:"kind"`
	Schema int            `yaml:"schema"`
	Parts  []ManifestPart `yaml:"parts"`
}

// ManifestPart names one part. Its value is published under the key
// "config/parts/" followed by the digest.
type ManifestPart struct {
	Name   string `yaml:"name"`
	Digest string `yaml:"digest"`
}

// Defaults of a service policy.
const (
	DefaultTimeout   = 10 * time.Second
	DefaultRetries   = 2
	DefaultKeyWindow = 2 * time.Minute
)

// Bounds of a service policy.
const (
	MaxTimeout   = 60 * time.Second
	MinTimeout   = 10 * time.Millisecond
	MaxRetries   = 5
	MaxKeyWindow = 10 * time.Minute
)

// defaultIdempotentMethods follows RFC 9110, section 9.2.2.
var defaultIdempotentMethods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PUT", "TRACE"}

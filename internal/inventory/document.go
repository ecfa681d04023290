// Package inventory compiles published documents into configuration snapshots.
// It does no I/O: the result depends on the content of the documents only.
package inventory

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// SchemaVersion is the version of the document format that this build supports.
const SchemaVersion = 1

// MaxValueBytes is the maximum size of a published value.
const MaxValueBytes = 1 << 20

// Values of the field kind of published values.
const (
	KindConfig   = "config"
	KindManifest = "manifest"
)

// Document is a published YAML document. Large inventories consist of several
// documents, whose lists are concatenated.
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

// ServiceEntry declares a service by its name, which is all that the users'
// inventory lists of it. A Policy configures it.
type ServiceEntry struct {
	Name string `yaml:"name"`
}

// Policy configures the handling of requests to one service. Absent fields have
// the defaults. The fields are described at vanillabarrow.Service.
type Policy struct {
	Service           string         `yaml:"service"`
	Timeout           *time.Duration `yaml:"timeout,omitempty"`
	Retries           *int           `yaml:"retries,omitempty"`
	IdempotentMethods []string       `yaml:"idempotentMethods,omitempty"`
	KeyWindow         *time.Duration `yaml:"keyWindow,omitempty"`
	NotRunStatuses    []int          `yaml:"notRunStatuses,omitempty"`
}

// OutOfService lists data centres and targets that operators have taken out of
// service.
type OutOfService struct {
	DataCentres []string `yaml:"dataCentres,omitempty"`
	Targets     []string `yaml:"targets,omitempty"`
}

// Manifest lists the parts of a version.
type Manifest struct {
	Kind   string         `yaml:"kind"`
	Schema int            `yaml:"schema"`
	Parts  []ManifestPart `yaml:"parts"`
}

// ManifestPart identifies a part. Its content is published under the key
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

// Limits of a service policy.
const (
	MaxTimeout   = 60 * time.Second
	MinTimeout   = 10 * time.Millisecond
	MaxRetries   = 5
	MaxKeyWindow = 10 * time.Minute
)

// defaultIdempotentMethods lists the idempotent methods of RFC 9110, section
// 9.2.2.
var defaultIdempotentMethods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PUT", "TRACE"}

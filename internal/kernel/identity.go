package kernel

import (
	"encoding/base64"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/google/uuid"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// shortIDBytes is the number of random bytes of an incarnation. 9 bytes avoid
// collisions in a fleet whose nodes restart daily for years.
const shortIDBytes = 9

// Identity identifies one run of a node.
type Identity struct {
	VM         string
	DataCentre string
	// OwnTarget identifies the target on the node's VM.
	OwnTarget vanillabarrow.TargetRef
	// Incarnation is unique for each start of the node.
	Incarnation string

	ids     atomic.Uint64
	service atomic.Pointer[string]
}

// Service returns the service that the callers on the VM belong to, empty if it
// is not set.
func (i *Identity) Service() string {
	if s := i.service.Load(); s != nil {
		return *s
	}
	return ""
}

// SetService replaces the service, as a reload of the settings may do while the
// node runs.
func (i *Identity) SetService(service string) { i.service.Store(&service) }

// NewIdentity returns an identity with a new incarnation.
func NewIdentity(vm, dataCentre string, own vanillabarrow.TargetRef) *Identity {
	return &Identity{VM: vm, DataCentre: dataCentre, OwnTarget: own, Incarnation: shortID()}
}

// shortID returns a random id of 12 characters. It is short because every
// message between nodes carries it.
func shortID() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[:shortIDBytes])
}

// NewID returns an id that is unique across all nodes and restarts.
func (i *Identity) NewID() string {
	return i.Incarnation + "-" + strconv.FormatUint(i.ids.Add(1), 36)
}

// Listeners holds the node's open listeners.
type Listeners struct {
	Caller   net.Listener
	Peer     net.Listener
	Operator net.Listener
	// Ready serves the platform's readiness checks. It is nil if the platform has
	// none.
	Ready net.Listener
}

package kernel

import (
	"encoding/base64"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/google/uuid"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// shortIDBytes is enough for a fleet whose nodes restart daily over years.
const shortIDBytes = 9

// Identity names one run of a node.
type Identity struct {
	VM         string
	DataCentre string
	// OwnTarget names the target beside the node.
	OwnTarget vanillabarrow.TargetRef
	// Incarnation is unique for each start.
	Incarnation string

	ids     atomic.Uint64
	service atomic.Pointer[string]
}

// Service returns the service that the callers on the VM act for, empty where
// it does not matter.
func (i *Identity) Service() string {
	if s := i.service.Load(); s != nil {
		return *s
	}
	return ""
}

// SetService replaces the service, which a change of the settings may do while
// the node runs.
func (i *Identity) SetService(service string) { i.service.Store(&service) }

// NewIdentity returns an identity with a fresh incarnation.
func NewIdentity(vm, dataCentre string, own vanillabarrow.TargetRef) *Identity {
	return &Identity{VM: vm, DataCentre: dataCentre, OwnTarget: own, Incarnation: shortID()}
}

// shortID returns a random id of 12 characters. It is in every message between
// nodes.
func shortID() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[:shortIDBytes])
}

// NewID returns an id that no other node and no other run uses.
func (i *Identity) NewID() string {
	return i.Incarnation + "-" + strconv.FormatUint(i.ids.Add(1), 36)
}

// Listeners holds the node's open listeners.
type Listeners struct {
	Caller   net.Listener
	Peer     net.Listener
	Operator net.Listener
	// Ready is nil where no platform asks for readiness.
	Ready net.Listener
}

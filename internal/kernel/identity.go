package kernel

import (
	"net"
	"strconv"
	"sync/atomic"

	"github.com/google/uuid"
)

// Identity names one run of a node.
type Identity struct {
	VM         string
	DataCentre string
	Target     string
	// Incarnation is unique for each start.
	Incarnation string

	ids atomic.Uint64
}

// NewIdentity returns an identity with a fresh incarnation.
func NewIdentity(vm, dataCentre, target string) *Identity {
	return &Identity{VM: vm, DataCentre: dataCentre, Target: target, Incarnation: uuid.NewString()}
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
}

package kernel

// IntakeLimits bounds what clients occupy before their requests are admitted.
type IntakeLimits struct {
	// MemoryBytes is the budget of all connections.
	MemoryBytes int64
	// Connections is the maximum number of connections of all listeners.
	Connections int
}

// DefaultIntakeLimits returns the limits for a VM whose memory and descriptors are
// not known.
func DefaultIntakeLimits() IntakeLimits {
	return IntakeLimits{MemoryBytes: 512 << 20, Connections: 16384}
}

// NewIntakeLimits derives the limits from the memory and the descriptors of the VM,
// each 0 if it is not known. A quarter of the memory is for clients: the rest is
// for the node itself and for what the garbage collector has not yet freed. At most
// one outgoing connection is open for each request, so a connection needs two
// descriptors; an eighth of them is for the rest.
func NewIntakeLimits(memoryMB, descriptors int) IntakeLimits {
	limits := DefaultIntakeLimits()
	if memoryMB > 0 {
		limits.MemoryBytes = int64(memoryMB) << 20 / 4
	}
	if descriptors > 0 {
		limits.Connections = max(1, descriptors*7/16)
	}
	return limits
}

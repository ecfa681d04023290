package vanillabarrow

import "sync/atomic"

// States of a Sending.
const (
	sendingUnknown int32 = iota
	sendingHeld
	sendingBegun
	sendingAbandoned
)

// Sending tells whether an attempt may have been sent, so that an attempt can be
// given up with proof that the target will not run it. A nil Sending is that of an
// attempt that is never given up.
type Sending struct {
	state atomic.Int32
}

// Hold states that the attempt is not sent before Begin is called. Without it,
// nothing is known about the attempt.
func (s *Sending) Hold() {
	if s != nil {
		s.state.CompareAndSwap(sendingUnknown, sendingHeld)
	}
}

// Begin reports whether the attempt may be sent now. It must not be sent if it
// was abandoned.
func (s *Sending) Begin() bool {
	return s == nil || s.state.CompareAndSwap(sendingHeld, sendingBegun) || s.state.Load() != sendingAbandoned
}

// Abandon gives the attempt up. It reports whether it has not been sent and will
// not be.
func (s *Sending) Abandon() bool {
	return s != nil && s.state.CompareAndSwap(sendingHeld, sendingAbandoned)
}

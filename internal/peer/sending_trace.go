package peer

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// sendingTrace notes when a request is sent, which may be long after the call began if
// a connection had to be opened first.
type sendingTrace struct {
	// connectedAt is when the last connection was chosen for the request.
	connectedAt atomic.Pointer[time.Time]
}

// traceSending returns a context with which a request is traced.
func traceSending(ctx context.Context) (context.Context, *sendingTrace) {
	t := &sendingTrace{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		now := time.Now()
		t.connectedAt.Store(&now)
	}}), t
}

// startedAt returns a time right before the request was sent, zero if that is not known.
func (t *sendingTrace) startedAt() time.Time {
	if at := t.connectedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

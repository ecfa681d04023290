package kernel

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connPair returns both ends of a TCP connection.
func connPair(t *testing.T) (near, far *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = dialed.Close() })
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// TestSharedConnFailure guards against a reset connection that looks like one that
// was ended in an orderly way, because a write took the error.
func TestSharedConnFailure(t *testing.T) {
	tests := map[string]struct {
		// ended makes the other side end the connection before it resets it.
		ended bool
		// writes makes a write take the error before the read.
		writes bool
		err    error
	}{
		"reset":                           {err: syscall.ECONNRESET},
		"reset, a write fails first":      {writes: true, err: syscall.ECONNRESET},
		"ended, then reset":               {ended: true},
		"ended, reset, write fails first": {ended: true, writes: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := connPair(t)
			c := NewSharedConn(near)
			_, err := io.WriteString(far, "part")
			require.NoError(t, err)
			if tt.ended {
				require.NoError(t, far.CloseWrite())
			}
			require.NoError(t, far.SetLinger(0))
			require.NoError(t, far.Close())
			for tt.writes && err == nil {
				_, err = c.Write(make([]byte, 1<<10))
			}
			body, err := io.ReadAll(c)
			require.Equal(t, "part", string(body))
			require.ErrorIs(t, err, tt.err)
		})
	}
}

// TestSharedConnWrite checks that a write which does not fit into the buffers of the
// socket waits for room, does not delay a read meanwhile, and ends with its deadline.
func TestSharedConnWrite(t *testing.T) {
	const size = 8 << 20
	tests := map[string]struct {
		deadline time.Duration
		err      error
	}{
		"written":         {time.Minute, nil},
		"deadline passes": {20 * time.Millisecond, os.ErrDeadlineExceeded},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := connPair(t)
			c := NewSharedConn(near)
			require.NoError(t, c.SetWriteDeadline(time.Now().Add(tt.deadline)))
			w := &blockedWriter{conn: c, size: size, written: make(chan int, 1), failed: make(chan error, 1)}
			go w.run()
			_, err := io.WriteString(far, "part")
			require.NoError(t, err)
			require.NoError(t, far.CloseWrite())
			body, err := io.ReadAll(c)
			require.NoError(t, err, "the read ends while the write waits")
			require.Equal(t, "part", string(body))
			if tt.err != nil {
				require.ErrorIs(t, <-w.failed, tt.err)
				require.Less(t, <-w.written, size)
				return
			}
			received, err := io.CopyN(io.Discard, far, size)
			require.NoError(t, err)
			require.EqualValues(t, size, received)
			require.NoError(t, <-w.failed)
			require.Equal(t, size, <-w.written)
		})
	}
}

// blockedWriter writes more than the buffers of a socket hold.
type blockedWriter struct {
	conn    net.Conn
	size    int
	written chan int
	failed  chan error
}

func (w *blockedWriter) run() {
	n, err := w.conn.Write(make([]byte, w.size))
	w.written <- n
	w.failed <- err
}

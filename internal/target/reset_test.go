package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
)

const (
	// pieceBytes is more than the write buffer holds, so that each piece of an upload
	// is written to the socket.
	pieceBytes = 2 * bufferBytes
	// resetTimeout bounds the wait for an event of a socket.
	resetTimeout = 20 * time.Second
)

// earlyTarget responds to a request before it reads its body. It ends the connection
// once it is told to.
type earlyTarget struct {
	listener net.Listener
	response string
	// ends makes the target end the connection before it resets it.
	ends bool
	end  chan struct{}
}

func (e *earlyTarget) run() {
	c, err := e.listener.Accept()
	if err != nil {
		return
	}
	conn := c.(*net.TCPConn)
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, e.response)
	<-e.end
	if e.ends {
		_ = conn.CloseWrite()
	}
	_ = conn.SetLinger(0)
}

// startEarlyTarget returns a connection to an earlyTarget.
func startEarlyTarget(t *testing.T, e *earlyTarget) *conn {
	var err error
	e.listener, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e.end = make(chan struct{})
	t.Cleanup(func() { _ = e.listener.Close() })
	go e.run()
	c, err := net.Dial("tcp", e.listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(resetTimeout)))
	return newConn(c)
}

// upload is a request body that provides one piece, and the others once it is
// released.
type upload struct {
	started bool
	// paused is closed when nothing is written until the release.
	paused, release chan struct{}
}

func newUpload() *upload {
	return &upload{paused: make(chan struct{}), release: make(chan struct{})}
}

func (u *upload) Read(p []byte) (int, error) {
	if u.started {
		select {
		case <-u.release:
		default:
			close(u.paused)
			<-u.release
		}
	}
	u.started = true
	return min(len(p), pieceBytes), nil
}

// awaitSocketError waits until the socket has an error that no read and no write has
// got yet, or until one has got it. Unlike a read, poll does not take the error.
func awaitSocketError(t *testing.T, c *conn, pending bool) {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		fds := []unix.PollFd{{}}
		var pollErr error
		err := raw.Control(func(fd uintptr) {
			fds[0].Fd = int32(fd)
			_, pollErr = unix.Poll(fds, 0)
		})
		require.NoError(t, err)
		require.NoError(t, pollErr)
		return fds[0].Revents&unix.POLLERR != 0 == pending
	}, resetTimeout, time.Millisecond)
}

// TestResetTakenByUpload resets the connection within a response without a length,
// and lets the upload get the error of the socket first. The read of the body then
// gets the end of the connection, which must not pass for the end of the response.
func TestResetTakenByUpload(t *testing.T) {
	const part = "\r\nX-Id: one\r\n\r\npart"
	tests := map[string]struct {
		response string
		length   int64
		ends     bool
	}{
		"upload with a length":   {"HTTP/1.1 200 OK" + part, 1 << 30, false},
		"upload in chunks":       {"HTTP/1.1 200 OK" + part, -1, false},
		"failure":                {"HTTP/1.1 404 Not Found" + part, 1 << 30, false},
		"connection close":       {"HTTP/1.1 200 OK\r\nConnection: close" + part, 1 << 30, false},
		"HTTP/1.0":               {"HTTP/1.0 200 OK" + part, 1 << 30, false},
		"long part":              {"HTTP/1.1 200 OK" + part + strings.Repeat("x", maxBufferedBytes), 1 << 30, false},
		"ended before the reset": {"HTTP/1.1 200 OK" + part, 1 << 30, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			target := &earlyTarget{response: tt.response, ends: tt.ends}
			c := startEarlyTarget(t, target)
			body := newUpload()
			a := attemptWithID("one", nil)
			a.Request.Stream, a.Request.Size = body, tt.length
			request, err := newRequest(a, target.listener.Addr().String(), echoProtocol{})
			require.NoError(t, err)
			response, _, reusable, err := c.exchange(request, a, echoProtocol{})
			require.NoError(t, err)
			require.False(t, reusable)
			<-body.paused
			close(target.end)
			awaitSocketError(t, c, true)
			close(body.release)
			awaitSocketError(t, c, false)
			start, rest, err := message.SplitBody(response.Body, maxBufferedBytes)
			if rest != nil {
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, rest)
			}
			if tt.ends {
				require.NoError(t, err)
				require.Equal(t, "part", string(start))
				return
			}
			require.ErrorIs(t, err, unix.ECONNRESET)
		})
	}
}

// TestResetBesideUpload lets the upload and the read of a response race for the error
// of the socket.
func TestResetBesideUpload(t *testing.T) {
	const (
		tries       = 100
		uploadBytes = 4 << 20
	)
	for range tries {
		target := &earlyTarget{response: "HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\npart"}
		c := startEarlyTarget(t, target)
		close(target.end)
		a := attemptWithID("one", make([]byte, uploadBytes))
		request, err := newRequest(a, target.listener.Addr().String(), echoProtocol{})
		require.NoError(t, err)
		response, _, _, err := c.exchange(request, a, echoProtocol{})
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		require.Error(t, err)
		require.NoError(t, c.Close())
	}
}

// TestEarlyResponseEndsBeforeUpload checks that a response without a length which the
// target ends in an orderly way is complete at once, while the upload goes on.
func TestEarlyResponseEndsBeforeUpload(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	target := &readingTarget{listener: listener, read: make(chan int64, 1)}
	go target.run()
	e := New(vanillabarrow.TargetRef{Name: "t1"}, configuration{&vanillabarrow.Snapshot{Targets: map[string]*vanillabarrow.Target{
		"t1": {Name: "t1", Address: listener.Addr().String(), Connections: 4},
	}}}, echoProtocol{})
	defer e.Close()
	body := newUpload()
	a := attemptWithID("one", nil)
	a.Request.Stream, a.Request.Size = body, 1<<30
	response, err := e.Execute(context.Background(), a)
	require.NoError(t, err)
	require.Nil(t, response.Stream)
	require.Equal(t, "whole", string(response.Body))
	close(body.release)
	require.Less(t, <-target.read, int64(1<<30), "the connection is closed")
}

// readingTarget responds to a request before it reads its body, ends its side of the
// connection and reads on.
type readingTarget struct {
	listener net.Listener
	read     chan int64
}

func (r *readingTarget) run() {
	c, err := r.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\nwhole")
	_ = c.(*net.TCPConn).CloseWrite()
	n, _ := io.Copy(io.Discard, request.Body)
	r.read <- n
}

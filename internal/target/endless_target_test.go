package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

const (
	// socketBufferBytes is the size that is set for the socket buffers of both
	// ends. Linux doubles it.
	socketBufferBytes = 128 << 10
	// inTransitBytes is the maximum number of bytes that are sent and not read:
	// two socket buffers, the read buffer, and one write of the target.
	inTransitBytes = 2*2*socketBufferBytes + bufferBytes + endlessWriteBytes
	// endlessWriteBytes is the minimum size of one write of an endless target.
	endlessWriteBytes = 32 << 10
	// maxEndlessBytes is the size at which an endless target gives up.
	maxEndlessBytes = 32 << 20
	// dripInterval is the time between the writes of a target that drips.
	dripInterval = 5 * time.Millisecond
	// endlessTimeout is the deadline of requests to endless targets, within which
	// they send maxEndlessBytes many times over.
	endlessTimeout = 20 * time.Second
)

// endlessTarget responds to one request with start and then with repeat until
// its connection is closed.
type endlessTarget struct {
	listener net.Listener
	start    string
	repeat   string
	// streamed is set for a valid body, which is passed on as it arrives.
	streamed bool
	// drips makes the target write repeat once at a time, tireless not give up.
	drips    bool
	tireless bool
	end      chan endlessEnd
}

// endlessEnd tells how many bytes an endless target had written when its
// connection was closed or it gave up, and the error of its last write.
type endlessEnd struct {
	written int
	err     error
}

func (e *endlessTarget) run() {
	c, err := e.listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetWriteBuffer(socketBufferBytes)
	_ = c.SetDeadline(time.Now().Add(2 * endlessTimeout))
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		e.end <- endlessEnd{err: err}
		return
	}
	e.end <- e.writeUntilClosed(c)
}

func (e *endlessTarget) writeUntilClosed(w io.Writer) endlessEnd {
	written, err := io.WriteString(w, e.start)
	block := strings.Repeat(e.repeat, 1+endlessWriteBytes/len(e.repeat))
	if e.drips {
		block = e.repeat
	}
	for err == nil && (e.tireless || written < maxEndlessBytes) {
		var n int
		n, err = io.WriteString(w, block)
		written += n
		if e.drips {
			time.Sleep(dripInterval)
		}
	}
	return endlessEnd{written, err}
}

// completeHead reports whether the target sends the complete head of a final response
// before any that never ends.
func (e *endlessTarget) completeHead() bool {
	final := strings.ReplaceAll(e.start+e.repeat, "HTTP/1.1 100 Continue\r\n\r\n", "")
	return strings.Contains(final, "\r\n\r\n")
}

// startEndlessTarget returns an executor with a health check path whose
// connections have small receive buffers.
func startEndlessTarget(t *testing.T, target *endlessTarget) *Executor {
	var err error
	target.listener, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = target.listener.Close() })
	target.end = make(chan endlessEnd, 1)
	go target.run()
	e := New(vanillabarrow.TargetRef{Name: "t1"}, configuration{&vanillabarrow.Snapshot{
		Targets:  map[string]*vanillabarrow.Target{"t1": {Name: "t1", Service: "s", Address: target.listener.Addr().String(), Connections: 4}},
		Services: map[string]*vanillabarrow.Service{"s": {Name: "s", HealthPath: "/health"}},
	}}, echoProtocol{})
	t.Cleanup(e.Close)
	_, own, err := e.currentTarget()
	require.NoError(t, err)
	e.clientFor(own).pool.dialer.Control = setSmallReceiveBuffer
	return e
}

func setSmallReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBufferBytes)
	})
	if err != nil {
		return err
	}
	return optionErr
}

func endlessAttempt() *vanillabarrow.Attempt {
	a := attemptWithID("one", nil)
	a.Deadline = time.Now().Add(endlessTimeout)
	return a
}

// requireTargetFailed checks that the error leaves open whether the target ran
// the request.
func requireTargetFailed(t *testing.T, err error) {
	refusal := vanillabarrow.AsRefusal(err)
	require.Equal(t, vanillabarrow.VerdictMayHaveRun, refusal.Verdict, err)
	require.Equal(t, vanillabarrow.ReasonTargetFailed, refusal.Reason, err)
}

// requireClosed checks that the node closed the connection after it had read at
// most the given number of bytes.
func requireClosed(t *testing.T, target *endlessTarget, maxReadBytes int) {
	end := <-target.end
	require.LessOrEqual(t, end.written, maxReadBytes+inTransitBytes)
	require.Error(t, end.err)
	require.NotErrorIs(t, end.err, os.ErrDeadlineExceeded)
}

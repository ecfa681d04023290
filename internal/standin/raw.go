package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// RawConfig configures a RawServer.
type RawConfig struct {
	// Response holds the bytes that are sent in response to each request, after its
	// body was read unless the client holds that back.
	Response string
	// Keep makes the server keep a connection open after a response.
	Keep bool
	// Early makes it respond before it reads the body of a request, and Reset reset the
	// connection after the response.
	Early, Reset bool
}

// RawServer sends responses as they are, for tests of clients whose server does not
// keep to the protocol.
type RawServer struct {
	cfg      RawConfig
	listener net.Listener
	dialed   atomic.Int64
}

// NewRawServer starts a server on a loopback address, until it is closed.
func NewRawServer(cfg RawConfig) (*RawServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{cfg: cfg, listener: listener}
	go s.run()
	return s, nil
}

// Address returns the address of the server.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Dialed returns the number of connections accepted so far.
func (s *RawServer) Dialed() int { return int(s.dialed.Load()) }

// Close stops accepting connections.
func (s *RawServer) Close() error { return s.listener.Close() }

func (s *RawServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.dialed.Add(1)
		session := &rawSession{cfg: s.cfg, conn: c.(*net.TCPConn)}
		go session.run()
	}
}

// rawSession is one connection to a RawServer.
type rawSession struct {
	cfg  RawConfig
	conn *net.TCPConn
}

func (s *rawSession) run() {
	defer func() { _ = s.conn.Close() }()
	r := bufio.NewReader(s.conn)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !s.cfg.Early && request.Header.Get("Expect") == "" {
			// A client that is gone does not get the response either.
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(s.conn, s.cfg.Response)
		if s.cfg.Reset {
			_ = s.conn.SetLinger(0)
		}
		if !s.cfg.Keep {
			return
		}
	}
}

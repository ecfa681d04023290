package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to an address. It can silence the open ones for good,
// without a reset, while new ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns []*proxyConn
	// cutOff is set while nothing passes, not on new connections either.
	cutOff bool
}

// proxyConn is one forwarded connection.
type proxyConn struct {
	client, server net.Conn
	// silenced is closed when the connection forwards nothing more.
	silenced chan struct{}
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	go p.loop()
	return p, nil
}

func (p *proxy) loop() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.isCutOff() {
			go func() { _, _ = io.Copy(io.Discard, client) }()
			continue
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &proxyConn{client: client, server: server, silenced: make(chan struct{})}
		p.mu.Lock()
		p.conns = append(p.conns, c)
		p.mu.Unlock()
		go c.loopCopy(client, server)
		go c.loopCopy(server, client)
	}
}

// loopCopy forwards in one direction until an end closes. A silenced connection
// takes bytes and drops them.
func (c *proxyConn) loopCopy(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		select {
		case <-c.silenced:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if n > 0 {
			if _, writeErr := to.Write(b[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// silence silences the open connections and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.conns)
	for _, c := range p.conns {
		close(c.silenced)
	}
	p.conns = nil
	return n
}

// cut lets nothing pass from now on, as behind a silent partition.
func (p *proxy) cut() {
	p.mu.Lock()
	p.cutOff = true
	p.mu.Unlock()
	p.silence()
}

func (p *proxy) isCutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff
}

func (p *proxy) close() { _ = p.listener.Close() }

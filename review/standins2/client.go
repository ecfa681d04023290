package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err is set if there is no complete answer. begun is set if its head was read.
	err   error
	begun bool
}

// String describes the answer for the record.
func (a answer) String() string {
	switch {
	case a.err != nil && !a.begun:
		return "no answer: " + a.err.Error()
	case a.err != nil:
		return fmt.Sprintf("%d, incomplete after %d bytes: %s", a.status, len(a.body), a.err)
	default:
		return fmt.Sprintf("%d, %d bytes, signature %q", a.status, len(a.body), a.header.Get("X-Response-Signature"))
	}
}

// isWhole reports whether a success is the upstream's whole body.
func (a answer) isWhole() bool {
	id, _, _ := strings.Cut(a.header.Get("X-Response-Signature"), ".")
	return a.header.Get("X-Response-Signature") == signature(id, a.body)
}

// newID returns an id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// head returns the head of a request.
func requestHead(method, path, id string, deadline time.Duration, extra string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n",
		method, path, host, id, deadline.Milliseconds(), extra)
}

// clientConn is a client's connection to its node.
type clientConn struct {
	net.Conn
	r *bufio.Reader
}

func dial(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// read reads the answer to a request until the deadline.
func (c *clientConn) read(method string, deadline time.Time) answer {
	_ = c.SetReadDeadline(deadline)
	response, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: response.StatusCode, header: response.Header, begun: true}
	a.body, a.err = io.ReadAll(response.Body)
	if response.Close && a.err == nil {
		a.header.Set("Connection", "close")
	}
	return a
}

// send sends a request with a body on a connection of its own, and returns the answer.
func send(address, method, path, id string, deadline time.Duration, body []byte, chunked bool) answer {
	c, err := dial(address)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	return c.exchange(method, path, id, deadline, body, chunked)
}

// exchange sends a request and returns its answer.
func (c *clientConn) exchange(method, path, id string, deadline time.Duration, body []byte, chunked bool) answer {
	until := time.Now().Add(deadline)
	_ = c.SetWriteDeadline(until)
	go func() {
		if chunked {
			_, _ = io.WriteString(c, requestHead(method, path, id, deadline, "Transfer-Encoding: chunked\r\n"))
			r := bytes.NewReader(body)
			p := make([]byte, 7000)
			for {
				n, err := r.Read(p)
				if err != nil {
					break
				}
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", n, p[:n]); err != nil {
					return
				}
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return
		}
		extra := ""
		if len(body) > 0 || method == http.MethodPost {
			extra = "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
		}
		_, _ = c.Write(append([]byte(requestHead(method, path, id, deadline, extra)), body...))
	}()
	return c.read(method, until.Add(500*time.Millisecond))
}

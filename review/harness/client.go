package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// requestHost is the host of all routes.
const requestHost = "ficu95.example"

// clientTime is how long a client waits.
const clientTime = time.Second

// client sends requests to the outbound address of one machine, each on a new
// connection and once.
type client struct {
	record *record
	node   *node
	http   *http.Client
}

func newClient(r *record, n *node) *client {
	return &client{record: r, node: n, http: &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// nextAttempt numbers the attempts of all clients.
var nextAttempt atomic.Uint64

// answer is what a client got for one attempt. The status is 0 if there was no
// complete answer.
type answer struct {
	attempt, body string
	status        int
	signature     string
	sentAt        time.Time
	took          time.Duration
	err           error
}

// send sends one attempt and waits for the answer.
func (c *client) send(method, path, body string) answer {
	a := answer{attempt: fmt.Sprintf("%016x", 0x9c41d07b00000000+nextAttempt.Add(1)), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), clientTime)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.caller+path, reader)
	if err != nil {
		a.err = err
		return a
	}
	request.Host = requestHost
	request.Header.Set(headerAttempt, a.attempt)
	request.Header.Set(headerDeadline, strconv.Itoa(int(clientTime.Milliseconds())))
	c.record.note("sent  %s %s %s to %s", a.attempt, method, path, c.node.name)
	response, err := c.http.Do(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		var b []byte
		b, err = io.ReadAll(response.Body)
		a.body, a.signature = string(b), response.Header.Get(headerSignature)
		if err == nil {
			a.status = response.StatusCode
		}
	}
	a.err, a.took = err, time.Since(a.sentAt)
	c.record.note("answ  %s %d %q error %v", a.attempt, a.status, a.body, err)
	return a
}

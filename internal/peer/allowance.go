package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// headerAllowances marks a report about allowances. A node of the previous version
	// takes such a request for an attempt that lacks its fields, and refuses it.
	headerAllowances = "Vb-Allowances"
	allowancesPath   = "/vb-allowances"
	// maxAllowanceBytes is the maximum size of a report and of its reply. It has room
	// for 10,000 tenants.
	maxAllowanceBytes = 4 << 20
)

// AllowanceClient implements vanillabarrow.AllowanceExchange.
type AllowanceClient struct {
	client *http.Client
}

// NewAllowanceClient returns a client whose connections count as control traffic.
func NewAllowanceClient(traffic *kernel.Traffic) *AllowanceClient {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setTCPUserTimeout}
	return &AllowanceClient{client: &http.Client{CheckRedirect: noRedirect, Transport: &limitedTransport{maxBytes: maxAllowanceBytes, RoundTripper: &http.Transport{
		DialContext:            traffic.Dial(dialer),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}}}
}

// Close closes idle connections.
func (c *AllowanceClient) Close() { c.client.CloseIdleConnections() }

// Report implements vanillabarrow.AllowanceExchange.
func (c *AllowanceClient) Report(ctx context.Context, address string, report vanillabarrow.AllowanceReport) (vanillabarrow.AllowanceReply, error) {
	var reply vanillabarrow.AllowanceReply
	body, err := json.Marshal(report)
	if err != nil {
		return reply, fmt.Errorf("%w: %w", vanillabarrow.ErrNotDelivered, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+allowancesPath, bytes.NewReader(body))
	if err != nil {
		return reply, fmt.Errorf("%w: %w", vanillabarrow.ErrNotDelivered, err)
	}
	request.Header.Set(headerAllowances, "1")
	// Without this value, net/http might send a lost report again, late.
	request.GetBody = nil
	response, err := c.client.Do(request)
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return reply, fmt.Errorf("%w: %w", vanillabarrow.ErrNotDelivered, err)
	}
	if err != nil {
		return reply, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusBadRequest {
		return reply, fmt.Errorf("%w: %s knows no allowances", vanillabarrow.ErrNotDelivered, address)
	}
	if response.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("unexpected status %s of %s", response.Status, address)
	}
	return reply, json.NewDecoder(response.Body).Decode(&reply)
}

// allowanceHandler serves reports about allowances and passes other requests on.
type allowanceHandler struct {
	owner vanillabarrow.AllowanceOwner
	next  http.Handler
}

// ServeHTTP implements http.Handler. An attempt may have any path, also that of a
// report.
func (h *allowanceHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerAttempt) != "" || r.Header.Get(headerAllowances) == "" || r.URL.Path != allowancesPath {
		h.next.ServeHTTP(w, r)
		return
	}
	var report vanillabarrow.AllowanceReport
	if err := json.NewDecoder(io.LimitReader(r.Body, maxAllowanceBytes)).Decode(&report); err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	reply, ok := h.owner.Grant(report, time.Now())
	if !ok {
		http.Error(w, "a later report has arrived", http.StatusConflict)
		return
	}
	// A failed write means that the node is gone.
	_ = json.NewEncoder(w).Encode(reply)
}

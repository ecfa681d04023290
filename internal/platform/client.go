// Package platform is the client for the platform's read-only configuration
// service.
package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/http1"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// RevisionHeader is the header field with the revision of a value.
	RevisionHeader = "Revision"
	// WatchWait is the time for which the service holds a watch request open
	// without a change. It is short, so that a hanging request is detected
	// soon. As few nodes read from the service, the more frequent requests use
	// only a small part of its capacity.
	WatchWait = 2 * time.Second
	// valuesPath is the URL path of the values. The key follows.
	valuesPath = "/v1/values/"
	// maxIdleConns suffices for one watch of each topic and a read.
	maxIdleConns = 4
	idleTimeout  = 60 * time.Second
	dialTimeout  = 2 * time.Second
	// maxResponseHeaderBytes is the maximum size of a response header.
	maxResponseHeaderBytes = 256 << 10
)

// Client implements vanillabarrow.Source with the configuration service.
type Client struct {
	url        string
	dataCentre string
	client     *http.Client
}

// New returns a client for the service at the URL. The client sends the name of
// the node's data centre with each request, for the service's logs.
func New(url, dataCentre string, traffic *kernel.Traffic) *Client {
	transport := kernel.ProgressTransport{Transport: &http.Transport{
		DialContext:            traffic.Dial(&net.Dialer{Timeout: dialTimeout}),
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
	// Nothing in a value shows whether it is whole.
	checked := &http1.Transport{RoundTripper: transport, Check: http1.CheckDelimited}
	return &Client{url: strings.TrimSuffix(url, "/"), dataCentre: dataCentre, client: &http.Client{Transport: checked}}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Read implements vanillabarrow.Source.
func (c *Client) Read(ctx context.Context, key string) (*vanillabarrow.Value, error) {
	return c.get(ctx, key, nil)
}

// Watch implements vanillabarrow.Source.
func (c *Client) Watch(ctx context.Context, key string, after vanillabarrow.Version) (*vanillabarrow.Value, error) {
	return c.get(ctx, key, url.Values{
		"after": {strconv.FormatUint(uint64(after), 10)},
		"wait":  {WatchWait.String()},
	})
}

func (c *Client) get(ctx context.Context, key string, query url.Values) (*vanillabarrow.Value, error) {
	requestURL := c.url + valuesPath + key
	if len(query) > 0 {
		requestURL += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("From-Data-Centre", c.dataCentre)
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return readValue(key, response)
	case http.StatusNoContent:
		return nil, nil
	default:
		return nil, fmt.Errorf("unexpected status %s from the platform for key %s", response.Status, key)
	}
}

func readValue(key string, response *http.Response) (*vanillabarrow.Value, error) {
	revision, err := strconv.ParseUint(response.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("platform response has no valid revision for key %s", key)
	}
	// One byte more than allowed is enough for decoding to reject the value.
	body, err := io.ReadAll(io.LimitReader(response.Body, inventory.MaxValueBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read key %s: %w", key, err)
	}
	return &vanillabarrow.Value{Key: key, Revision: vanillabarrow.Version(revision), Bytes: body}, nil
}

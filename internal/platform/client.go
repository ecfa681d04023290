// Package platform speaks to the read-only configuration service.
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
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// RevisionHeader carries the revision of a value.
	RevisionHeader = "Revision"
	// WatchWait is the wait that a watch asks the service for. It is short, so
	// that a watch that hangs is told from one that waits; the readers are so
	// few that this costs a small part of the service's capacity.
	WatchWait = 2 * time.Second
	// valuesPath precedes the key in the path of a value.
	valuesPath = "/v1/values/"
	// idleConnections is enough for one watch of each topic and a read.
	idleConnections = 4
	idleTimeout     = 60 * time.Second
	dialTimeout     = 2 * time.Second
)

// Client implements vanillabarrow.Source over HTTP.
type Client struct {
	url    string
	from   string
	client *http.Client
}

// New returns a client for the service at the URL. From names the data centre
// of the node, which the service may log.
func New(url, from string, traffic *kernel.Traffic) *Client {
	return &Client{url: strings.TrimSuffix(url, "/"), from: from, client: &http.Client{Transport: &http.Transport{
		DialContext:         traffic.Dial(&net.Dialer{Timeout: dialTimeout}),
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
	}}}
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
	target := c.url + valuesPath + key
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("From-Data-Centre", c.from)
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
		return nil, fmt.Errorf("platform answered %s for key %s", response.Status, key)
	}
}

func readValue(key string, response *http.Response) (*vanillabarrow.Value, error) {
	revision, err := strconv.ParseUint(response.Header.Get(RevisionHeader), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("platform gave no revision for key %s", key)
	}
	b, err := io.ReadAll(io.LimitReader(response.Body, inventory.MaxValueBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read key %s: %w", key, err)
	}
	return &vanillabarrow.Value{Key: key, Revision: vanillabarrow.Version(revision), Bytes: b}, nil
}

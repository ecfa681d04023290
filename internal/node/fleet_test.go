package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/node"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

const (
	// startTimeout is far longer than a test, so that only a hang exceeds it.
	startTimeout = time.Minute
	pollInterval = 20 * time.Millisecond
)

// buffer is a buffer for concurrent writers.
type buffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *buffer) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buf.Reset()
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// recordingListener copies what its connections receive.
type recordingListener struct {
	net.Listener
	received *buffer
}

func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return recordingConn{c.(*net.TCPConn), l.received}, nil
}

type recordingConn struct {
	*net.TCPConn
	received *buffer
}

func (c recordingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	_, _ = c.received.Write(p[:n])
	return n, err
}

// store is the platform's store with the given values. Only the configuration changes.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	changed  chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
}

func (s *store) put(key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = storeItem{key, []byte(value), s.revision, 1}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// after returns the items with a higher revision.
func (s *store) after(revision uint64) ([]storeItem, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeItem{}
	for _, item := range s.items {
		if item.Revision > revision {
			items = append(items, item)
		}
	}
	return items, s.revision, s.changed
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, wait, field := uint64(0), int64(0), "items"
	if r.URL.Path == "/kv-watch" {
		field = "events"
		_, _ = fmt.Sscan(r.URL.Query().Get("after"), &after)
		_, _ = fmt.Sscan(r.URL.Query().Get("wait_ms"), &wait)
	}
	items, revision, changed := s.after(after)
	if len(items) == 0 && wait > 0 {
		timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-changed:
			items, revision, _ = s.after(after)
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{field: items, "current_rev": revision})
}

// fleet consists of nodes that share a store and a log. Each serves one target, and
// the service of a target has the name of its node.
type fleet struct {
	store *store
	nodes map[string]*node.Node
	// callers and operators map nodes to the URLs of their listeners.
	callers, operators map[string]string
	log                *buffer
	// peers and targets hold what nodes and targets received.
	peers, targets *buffer
	// change changes the settings of each node. It may be nil.
	change func(*settings.Settings)
	// leaving is set while targets report at the path of their health checks that they leave.
	leaving atomic.Bool
	// release ends the requests that targets hold, those with holdPath in their path.
	release chan struct{}
}

const (
	holdPath   = "/hold"
	healthPath = "/health"
)

// startFleet starts nodes on loopback addresses and waits until they are ready.
func startFleet(t *testing.T, tenants string, names ...string) *fleet {
	return startChangedFleet(t, tenants, nil, names...)
}

// startChangedFleet is startFleet for nodes with other settings.
func startChangedFleet(t *testing.T, tenants string, change func(*settings.Settings), names ...string) *fleet {
	f := &fleet{
		change: change, release: make(chan struct{}),
		store: &store{items: map[string]storeItem{}, changed: make(chan struct{})},
		nodes: map[string]*node.Node{}, callers: map[string]string{}, operators: map[string]string{},
		log: &buffer{}, peers: &buffer{}, targets: &buffer{},
	}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.configure(tenants, names...)
	ips := make([]string, len(names))
	for i := range names {
		ips[i] = fmt.Sprintf("127.0.0.%d", i+21)
	}
	port := freePeerPort(t, ips)
	for i, name := range names {
		ip := ips[i]
		f.store.put("servers/"+name, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","max_concurrency":4,"state":"ready","warmup_remaining":"0ms","sequence":1}`,
			name, f.startTarget(t, ip, name)))
		f.startNode(t, name, ip, port, server.URL)
	}
	for _, n := range f.nodes {
		require.Eventually(t, func() bool { s := n.Status(); return s.Ready && !s.OutOfService }, startTimeout, pollInterval)
	}
	return f
}

// configure publishes a route for each service, a public one for each, and the tenants,
// none if the text is empty.
func (f *fleet) configure(tenants string, services ...string) vanillabarrow.Version {
	var entries, routes []string
	for _, name := range services {
		entries = append(entries, fmt.Sprintf(`{"name":%q,"health_check_path":"/health","max_connections":10}`, name))
		for prefix, public := range map[string]bool{"/": false, "/public/": true} {
			routes = append(routes, fmt.Sprintf(`{"name":%q,"prefix":%q,"route_type":"safe","timeout":"10s","service":%q,"public":%t}`,
				name+prefix, prefix+name+"/", name, public))
		}
	}
	if tenants != "" {
		tenants = `"tenants":` + tenants + ","
	}
	return vanillabarrow.Version(f.store.put("op/config", fmt.Sprintf(`{"services":[%s],%s"virtual_hosts":[{"host":"shop.example","paths":[%s]}]}`,
		strings.Join(entries, ","), tenants, strings.Join(routes, ","))))
}

// startTarget starts a target, whose responses have the tenant as their body, and
// returns its address.
func (f *fleet) startTarget(t *testing.T, ip, name string) string {
	l, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Instance-Id", name)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Signature", "s")
		if r.URL.Path == healthPath && f.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if strings.Contains(r.URL.Path, holdPath) {
			select {
			case <-f.release:
			case <-r.Context().Done():
				return
			}
		}
		_, _ = io.WriteString(w, strings.Join(r.Header["X-Tenant"], "+"))
	}))
	_ = server.Listener.Close()
	server.Listener = recordingListener{l, f.targets}
	server.Start()
	t.Cleanup(server.Close)
	return l.Addr().String()
}

// freePeerPort returns a port that is free on all addresses, since the port of peer
// listeners is the same for all nodes. It is below the ephemeral ports, so that no other
// socket takes it meanwhile.
func freePeerPort(t *testing.T, ips []string) int {
	const first, last = 22000, 22999
next:
	for port := first; port <= last; port++ {
		for _, ip := range ips {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				continue next
			}
			_ = l.Close()
		}
		return port
	}
	require.Fail(t, "no free port")
	return 0
}

// startNode starts a node.
func (f *fleet) startNode(t *testing.T, name, ip string, port int, storeURL string) {
	s := settings.Default()
	s.Profile = vanillabarrow.ProfileStore
	s.Balancer, s.Limiter = vanillabarrow.BalancerCheapest, vanillabarrow.LimiterOrdered
	s.LeaveNotice, s.DrainTimeout = 0, time.Second
	if f.change != nil {
		f.change(&s)
	}
	s.Node = settings.Node{VM: ip, DataCentre: "z", Service: name}
	f.store.mu.Lock()
	var entry struct{ Address string }
	require.NoError(t, json.Unmarshal(f.store.items["servers/"+name].Value, &entry))
	f.store.mu.Unlock()
	s.Node.TargetAddress = entry.Address
	s.Platform.URL, s.Platform.DataCentres, s.Platform.Readers = storeURL, map[string]string{"z": "r"}, 1
	s.Listen = settings.Listen{Caller: ip + ":0", Peer: fmt.Sprintf("%s:%d", ip, port), Operator: ip + ":0", Ready: ip + ":0"}
	listeners, err := node.Listen(s)
	require.NoError(t, err)
	listeners.Peer = recordingListener{listeners.Peer, f.peers}
	f.callers[name], f.operators[name] = "http://"+listeners.Caller.Addr().String(), "http://"+listeners.Operator.Addr().String()
	logger := slog.New(slog.NewTextHandler(f.log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	n, err := node.New(s, listeners, logger)
	require.NoError(t, err)
	require.NoError(t, n.Start(t.Context()))
	t.Cleanup(func() { _ = n.Stop(context.Background()) })
	f.nodes[name] = n
}

// call sends a request through a node and returns the status and the body.
func (f *fleet) call(t *testing.T, via, path, key string) (int, string) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.callers[via]+path, nil)
	require.NoError(t, err)
	request.Host = "shop.example"
	request.Header.Set("X-Attempt-Id", "r1")
	request.Header.Set("X-Tenant", "forged")
	if key != "" {
		request.Header.Set("X-Credential", key)
	}
	return f.do(t, request)
}

func (*fleet) do(t *testing.T, request *http.Request) (int, string) {
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

// operatorViews returns all that a node shows to operators.
func (f *fleet) operatorViews(t *testing.T, name string) string {
	var views strings.Builder
	for _, path := range []string{"/status", "/dump", "/metrics"} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.operators[name]+path, nil)
		require.NoError(t, err)
		status, body := f.do(t, request)
		require.Equal(t, http.StatusOK, status)
		views.WriteString(body)
	}
	return views.String()
}

// waitVersion waits until all nodes use the version.
func (f *fleet) waitVersion(t *testing.T, version vanillabarrow.Version) {
	for _, n := range f.nodes {
		require.Eventually(t, func() bool { return n.Status().Version >= version }, startTimeout, pollInterval)
	}
}

package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

// targetSlots is the number of slots of each target of a fleet.
const targetSlots = 4

// stoppedFleet is a fleet whose nodes are stopped while requests are open.
type stoppedFleet struct {
	*fleet
	wg sync.WaitGroup
}

// startStoppedFleet starts a fleet with routes for idempotent and other requests to the
// service of each node.
func startStoppedFleet(t *testing.T, waitTimeout, drainTimeout time.Duration) *stoppedFleet {
	names := []string{"near", "far"}
	f := &stoppedFleet{fleet: startChangedFleet(t, "", func(s *settings.Settings) {
		s.WaitTimeout, s.DrainTimeout = waitTimeout, drainTimeout
	}, names...)}
	var services, routes []string
	for _, name := range names {
		services = append(services, fmt.Sprintf(`{"name":%q,"health_check_path":"/health","max_connections":10}`, name))
		for _, kind := range []string{"safe", "unsafe"} {
			routes = append(routes, fmt.Sprintf(`{"name":"%[1]s-%[2]s","prefix":"/%[1]s/%[2]s/","route_type":%[2]q,"timeout":"50s","service":%[1]q}`, name, kind))
		}
	}
	f.waitVersion(t, vanillabarrow.Version(f.store.put("op/config", fmt.Sprintf(`{"services":[%s],"virtual_hosts":[{"host":"shop.example","paths":[%s]}]}`,
		strings.Join(services, ","), strings.Join(routes, ",")))))
	t.Cleanup(func() {
		close(f.release)
		f.wg.Wait()
	})
	return f
}

// answer is the status and body of a response, or the error.
type answer struct {
	status int
	body   string
	err    error
}

// send sends a request through a node on a connection of its own.
func (f *stoppedFleet) send(via, method, path, body string) <-chan answer {
	result := make(chan answer, 1)
	f.wg.Add(1)
	go f.runRequest(result, via, method, path, body)
	return result
}

func (f *stoppedFleet) runRequest(result chan<- answer, via, method, path, body string) {
	defer f.wg.Done()
	request, err := http.NewRequestWithContext(context.Background(), method, f.callers[via]+path, strings.NewReader(body))
	if err != nil {
		result <- answer{err: err}
		return
	}
	request.Host, request.Close = "shop.example", true
	request.Header.Set("X-Attempt-Id", method+path)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		result <- answer{err: err}
		return
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(response.Body)
	result <- answer{response.StatusCode, string(b), err}
}

// awaitRunning waits until a number of attempts run or wait at the gate of a node.
func (f *stoppedFleet) awaitRunning(t *testing.T, name string, n int) {
	require.Eventually(t, func() bool {
		return strings.Contains(f.operatorViews(t, name), fmt.Sprintf(`"running": %d`, n))
	}, startTimeout, pollInterval)
}

// TestStopRefusesQueuedRequests guards against requests that wait for a slot when their
// node stops, and that get no answer although they have not run.
func TestStopRefusesQueuedRequests(t *testing.T) {
	tests := map[string]struct {
		service, method, kind, body string
	}{
		"unsafe with a body":    {"far", http.MethodPost, "unsafe", "body"},
		"unsafe without a body": {"far", http.MethodPost, "unsafe", ""},
		"safe":                  {"far", http.MethodGet, "safe", ""},
		"at the own target":     {"near", http.MethodPost, "unsafe", "body"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := startStoppedFleet(t, 200*time.Millisecond, 3*time.Second)
			for range targetSlots {
				f.send("far", http.MethodGet, "/"+tt.service+"/safe"+holdPath, "")
			}
			f.awaitRunning(t, tt.service, targetSlots)
			queued := f.send("near", tt.method, "/"+tt.service+"/"+tt.kind+"/queued", tt.body)
			f.awaitRunning(t, tt.service, targetSlots+1)
			require.NoError(t, f.nodes["near"].Stop(t.Context()))
			a := <-queued
			require.NoError(t, a.err)
			require.Equal(t, http.StatusServiceUnavailable, a.status)
			require.Contains(t, a.body, `"not-run"`)
			require.NotContains(t, f.targets.String(), "/queued", "a target got a request that is refused")
		})
	}
}

// TestStopDeliversKeptResponses guards against responses of targets that are dropped at
// a stop because they wait behind the response to a request that takes longer.
func TestStopDeliversKeptResponses(t *testing.T) {
	for name, kept := range map[string]int{"one": 1, "many": 5} {
		t.Run(name, func(t *testing.T) {
			f := startStoppedFleet(t, 100*time.Millisecond, 500*time.Millisecond)
			conn, err := net.Dial("tcp", strings.TrimPrefix(f.callers["near"], "http://"))
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(startTimeout)))
			paths := []string{"/far/safe" + holdPath}
			for i := range kept {
				paths = append(paths, fmt.Sprintf("/far/safe/kept/%d", i))
			}
			for _, path := range paths {
				_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\n\r\n", path, path)
				require.NoError(t, err)
			}
			require.Eventually(t, func() bool { return strings.Contains(f.targets.String(), paths[kept]) }, startTimeout, pollInterval)
			f.awaitRunning(t, "far", 1)
			require.NoError(t, f.nodes["near"].Stop(t.Context()))
			r := bufio.NewReader(conn)
			for i := range paths {
				response, err := http.ReadResponse(r, nil)
				require.NoError(t, err, "response %d", i)
				body, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				if i == 0 {
					require.Equal(t, http.StatusBadGateway, response.StatusCode)
					require.Contains(t, string(body), `"may-have-run"`)
					continue
				}
				require.Equal(t, http.StatusOK, response.StatusCode, "response %d", i)
				require.Equal(t, i == kept, response.Close, "the last response announces the close")
			}
		})
	}
}

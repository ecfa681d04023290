package experiment

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/internal/load"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
	"github.com/vanillabarrow/vanillabarrow/internal/standin"
)

// testTimeout is far longer than the test, so that only a hang exceeds it.
const testTimeout = 2 * time.Minute

// processDeployment consists of node processes, and of a simulated platform and
// simulated targets in this process.
type processDeployment struct {
	standin.Deployment
	placements []*standin.Placement
	processes  []*process
	targets    []*standin.Target
	platform   *standin.Platform
	config     processConfig
	client     *http.Client
}

// startServer serves HTTP requests until the test ends and returns the address.
func startServer(t *testing.T, h *http.Server) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &server{h, l}
	go s.run()
	t.Cleanup(func() { _ = h.Close() })
	return l.Addr().String()
}

func newDeployment(t *testing.T) *processDeployment {
	d := &processDeployment{Deployment: standin.Cenovka(), platform: standin.NewPlatform(), client: &http.Client{Timeout: requestTimeout}}
	d.placements = d.Placements()
	dir := t.TempDir()
	d.config = processConfig{
		binary: filepath.Join(dir, "vanillabarrow"), dir: dir, fleetSize: len(d.placements),
		platformURL: "http://" + startServer(t, &http.Server{Handler: d.platform.Handler(), ReadHeaderTimeout: requestTimeout}),
	}
	output, err := exec.Command("go", "build", "-o", d.config.binary, "../../cmd/vanillabarrow").CombinedOutput()
	require.NoError(t, err, string(output))
	d.processes, err = newProcesses(len(d.placements))
	require.NoError(t, err)
	for i, placement := range d.placements {
		target := standin.NewTarget(standin.TargetConfig{
			Name: placement.Target, Slots: placement.Slots, Connections: placement.Connections, ServiceTime: d.ServiceTime,
		})
		d.targets = append(d.targets, target)
		placement.TargetAddress = startServer(t, target.Server())
		placement.PeerAddress, placement.OperatorAddress = d.processes[i].peer, d.processes[i].operator
	}
	d.config.seeds = []string{d.processes[0].peer, d.processes[1].peer, d.processes[2].peer}
	return d
}

func (d *processDeployment) start(t *testing.T, i int) {
	placement := d.placements[i]
	require.NoError(t, d.processes[i].start(d.config, settings.Node{VM: placement.VM, DataCentre: placement.DataCentre, Target: placement.Target}))
}

func (d *processDeployment) publish(outOfService inventory.OutOfService) vanillabarrow.Version {
	return vanillabarrow.Version(d.platform.Publish(string(vanillabarrow.TopicConfig), standin.Marshal(d.Document(d.placements, outOfService))))
}

// waitFor waits until all nodes are ready and use the version or a later one.
func (d *processDeployment) waitFor(ctx context.Context, t *testing.T, version vanillabarrow.Version) {
	for _, p := range d.processes {
		for {
			s, err := p.status(ctx, d.client)
			if err == nil && s.Ready && s.Version >= version {
				break
			}
			require.NoError(t, sleep(ctx, pollInterval), "node %d: %v %+v", p.index, err, s)
		}
	}
}

// backgroundLoad runs a load generator in a goroutine.
type backgroundLoad struct {
	generator *load.Generator
	result    chan *load.Result
}

func (l *backgroundLoad) run(ctx context.Context) { l.result <- l.generator.Run(ctx) }

// TestDataCentreRestart kills all nodes of a data centre under load, publishes
// a change while they are down, starts them again at the same time and stops
// the fleet gracefully. No request may be lost or run twice, all nodes must use
// the change, and the nodes must keep to the platform's rate limit.
func TestDataCentreRestart(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	d := newDeployment(t)
	b, err := json.Marshal(standin.VMList(d.placements, nil))
	require.NoError(t, err)
	d.platform.Publish(string(vanillabarrow.TopicVMs), b)
	version := d.publish(inventory.OutOfService{})
	var addresses, paths []string
	for i := range d.processes {
		d.start(t, i)
		addresses = append(addresses, d.processes[i].caller)
	}
	defer func() {
		for _, p := range d.processes {
			_ = p.stop(syscall.SIGKILL)
		}
	}()
	d.waitFor(ctx, t, version)
	for _, s := range d.Services {
		paths = append(paths, s.PathPrefix)
	}
	l := &backgroundLoad{result: make(chan *load.Result, 1), generator: load.New(load.Config{
		Addresses: addresses, Paths: paths, Rate: 150, Duration: 6 * time.Second,
		Writes: 0.6, Keyed: 0.5, BodyBytes: 100, Timeout: 10 * time.Second,
	})}
	go l.run(ctx)
	require.NoError(t, sleep(ctx, 2*time.Second))
	killed := d.DataCentres[0]
	for i, placement := range d.placements {
		if placement.DataCentre == killed {
			require.NoError(t, d.processes[i].stop(syscall.SIGKILL))
		}
	}
	version = d.publish(inventory.OutOfService{Targets: []string{d.placements[1].Target}})
	require.NoError(t, sleep(ctx, time.Second))
	for i, placement := range d.placements {
		if placement.DataCentre == killed {
			d.start(t, i)
		}
	}
	d.waitFor(ctx, t, version)
	result := <-l.result
	runs := map[string]int{}
	for _, target := range d.targets {
		for id, n := range target.Runs() {
			runs[id] += n
		}
	}
	t.Log(result, result.Reasons)
	require.Positive(t, result.Finished)
	require.Zero(t, result.WrongResponses)
	require.Equal(t, load.Violations{}, result.Check(runs))
	require.LessOrEqual(t, d.platform.Stats().Refused, uint64(0), "reads above the platform's rate limit")
	for _, p := range d.processes {
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	}
	for _, p := range d.processes {
		require.NoError(t, p.cmd.Wait(), "node %d did not stop gracefully", p.index)
		p.cmd = nil
	}
}

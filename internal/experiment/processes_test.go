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

// testBound is far above the length of the test, so that it fails a hang only.
const testBound = 2 * time.Minute

// deployment is a mesh of node processes with stand-ins in this process.
type deployment struct {
	standin.Deployment
	placements []*standin.Placement
	processes  []*process
	targets    []*standin.Target
	platform   *standin.Platform
	site       site
	client     *http.Client
}

func serveTest(t *testing.T, h *http.Server) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &server{h, l}
	go s.run()
	t.Cleanup(func() { _ = h.Close() })
	return l.Addr().String()
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{Deployment: standin.Cenovka(), platform: standin.NewPlatform(), client: &http.Client{Timeout: askTimeout}}
	d.placements = d.Placements()
	dir := t.TempDir()
	d.site = site{
		binary: filepath.Join(dir, "vanillabarrow"), dir: dir, fleetSize: len(d.placements),
		platformURL: "http://" + serveTest(t, &http.Server{Handler: d.platform.Handler(), ReadHeaderTimeout: askTimeout}),
	}
	out, err := exec.Command("go", "build", "-o", d.site.binary, "../../cmd/vanillabarrow").CombinedOutput()
	require.NoError(t, err, string(out))
	d.processes, err = newProcesses(len(d.placements))
	require.NoError(t, err)
	for i, placement := range d.placements {
		target := standin.NewTarget(standin.TargetConfig{
			Name: placement.Target, Slots: placement.Slots, Connections: placement.Connections, ServiceTime: d.ServiceTime,
		})
		d.targets = append(d.targets, target)
		placement.TargetAddress = serveTest(t, target.Server())
		placement.PeerAddress, placement.OperatorAddress = d.processes[i].peer, d.processes[i].operator
	}
	d.site.seeds = []string{d.processes[0].peer, d.processes[1].peer, d.processes[2].peer}
	return d
}

func (d *deployment) start(t *testing.T, i int) {
	placement := d.placements[i]
	require.NoError(t, d.processes[i].start(d.site, settings.Node{VM: placement.VM, DataCentre: placement.DataCentre, Target: placement.Target}))
}

func (d *deployment) publish(out inventory.OutOfService) vanillabarrow.Version {
	return vanillabarrow.Version(d.platform.Publish(string(vanillabarrow.TopicConfig), standin.Marshal(d.Document(d.placements, out))))
}

// waitFor waits until all nodes are ready and serve the version.
func (d *deployment) waitFor(ctx context.Context, t *testing.T, version vanillabarrow.Version) {
	for _, p := range d.processes {
		for {
			s, err := p.status(ctx, d.client)
			if err == nil && s.Ready && s.Version >= version {
				break
			}
			require.NoError(t, pause(ctx, pollInterval), "node %d: %v %+v", p.index, err, s)
		}
	}
}

// loader offers load beside the test.
type loader struct {
	generator *load.Generator
	result    chan *load.Result
}

func (l *loader) run(ctx context.Context) { l.result <- l.generator.Run(ctx) }

// TestHerd kills all nodes of a data centre under load, publishes while they
// are gone, starts them again, and stops the fleet in order.
func TestHerd(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testBound)
	defer cancel()
	d := newDeployment(t)
	b, err := json.Marshal(standin.VMList(d.placements, nil))
	require.NoError(t, err)
	d.platform.Publish(string(vanillabarrow.TopicVMs), b)
	version := d.publish(inventory.OutOfService{})
	var entries, paths []string
	for i := range d.processes {
		d.start(t, i)
		entries = append(entries, d.processes[i].caller)
	}
	defer func() {
		for _, p := range d.processes {
			_ = p.end(syscall.SIGKILL)
		}
	}()
	d.waitFor(ctx, t, version)
	for _, s := range d.Services {
		paths = append(paths, s.PathPrefix)
	}
	l := &loader{result: make(chan *load.Result, 1), generator: load.New(load.Config{
		Addresses: entries, Paths: paths, Rate: 150, Duration: 6 * time.Second,
		Writes: 0.6, Keyed: 0.5, BodyBytes: 100, Timeout: 10 * time.Second,
	})}
	go l.run(ctx)
	require.NoError(t, pause(ctx, 2*time.Second))
	gone := d.DataCentres[0]
	for i, placement := range d.placements {
		if placement.DataCentre == gone {
			require.NoError(t, d.processes[i].end(syscall.SIGKILL))
		}
	}
	version = d.publish(inventory.OutOfService{Targets: []string{d.placements[1].Target}})
	require.NoError(t, pause(ctx, time.Second))
	for i, placement := range d.placements {
		if placement.DataCentre == gone {
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
	require.LessOrEqual(t, d.platform.Stats().Refused, uint64(0), "the platform's rate was exceeded")
	for _, p := range d.processes {
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	}
	for _, p := range d.processes {
		require.NoError(t, p.cmd.Wait(), "node %d did not stop in order", p.index)
		p.cmd = nil
	}
}

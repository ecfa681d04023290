package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The services of the deployment.
const (
	desk  = "survey-desk"
	vault = "ledger-vault"
)

const (
	// readyTimeout limits the start of all nodes.
	readyTimeout = 20 * time.Second
	// settleTime is how long the deployment runs before a disruption. It is longer
	// than the stability window of 3 s.
	settleTime = 5 * time.Second
	// stopTimeout is the grace period of a node.
	stopTimeout = 6 * time.Second
	readsPerS   = 2000
)

// zoneServices lists the upstreams of each zone, as in the small installation
// with 11 machines in 3 zones.
var zoneServices = []struct {
	zone     string
	services []string
}{
	{"sk-west-a", []string{desk, desk, desk, vault}},
	{"sk-west-b", []string{desk, desk, desk, vault}},
	{"sk-west-c", []string{desk, desk, vault}},
}

// node is a machine with its node process and its upstream.
type node struct {
	record                   *record
	name, zone, ip           string
	service                  string
	caller, peer, ready, ops string
	front                    *front
	upstream                 *upstream
	settings                 string
	log                      *os.File
	cmd                      *exec.Cmd
	exited                   chan struct{}
}

// deployment is a store with machines.
type deployment struct {
	record *record
	dir    string
	store  *store
	nodes  []*node
	// version numbers the configurations.
	version int
}

// ports holds the ports that are the same on all machines.
type ports struct{ caller, peer, ready, ops, upstream int }

// freePorts returns ports that are free on all addresses.
func freePorts(ips []string) (ports, error) {
	const span = 5
next:
	for base := 18200; base < 30000; base += 16 {
		for _, ip := range ips {
			for port := base; port < base+span; port++ {
				l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
				if err != nil {
					continue next
				}
				_ = l.Close()
			}
		}
		return ports{base, base + 1, base + 2, base + 3, base + 4}, nil
	}
	return ports{}, errors.New("no free ports")
}

func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, dir: dir, store: newStore(r)}
	var ips []string
	for z, zone := range zoneServices {
		for i, service := range zone.services {
			ip := fmt.Sprintf("127.40.%d.%d", z+1, i+11)
			ips = append(ips, ip)
			d.nodes = append(d.nodes, &node{record: r, name: fmt.Sprintf("%s-%d", zone.zone, i+1), zone: zone.zone, ip: ip, service: service})
		}
	}
	p, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	for i, n := range d.nodes {
		at := func(port int) string { return net.JoinHostPort(n.ip, strconv.Itoa(port)) }
		n.caller, n.peer, n.ready, n.ops = at(p.caller), at(p.peer), at(p.ready), at(p.ops)
		if n.front, err = d.store.newFront(n.name, "127.0.0.1"); err != nil {
			return nil, err
		}
		if n.upstream, err = newUpstream(r, fmt.Sprintf("i-%08x", 0x7f3a9100+i), n.service, n.zone, at(p.upstream)); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// start publishes the first configuration and the upstreams, and starts all
// nodes.
func (d *deployment) start() error {
	d.publish(baseRoutes)
	for _, n := range d.nodes {
		d.store.put("servers/"+n.upstream.id, n.upstream.entry("ready"))
	}
	for _, n := range d.nodes {
		if err := d.startNode(n); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, n := range d.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				return errNotRun{n.name + " does not become ready"}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.add("all %d nodes are ready", len(d.nodes))
	time.Sleep(settleTime)
	return nil
}

// route is a route of the operator's configuration.
type route struct {
	name, prefix, kind, service string
}

// baseRoutes are the routes of the first configuration.
var baseRoutes = []route{{"r-read", "/read/", "safe", desk}, {"r-file", "/file/", "unsafe", desk}}

// publish writes a configuration, with the figures of the small installation, and
// returns the time of its acknowledgement.
func (d *deployment) publish(routes []route) time.Time {
	d.version += 2
	var paths []map[string]any
	for _, r := range routes {
		paths = append(paths, map[string]any{
			"name": r.name, "prefix": r.prefix, "route_type": r.kind, "timeout": "1000ms",
			"target_latency": "400ms", "priority": 1, "service": r.service, "max_attempts": 2,
		})
	}
	var services []map[string]any
	for _, name := range []string{desk, vault} {
		services = append(services, map[string]any{
			"name": name, "health_check_path": healthPath, "max_connections": upstreamConns, "protocol": "h1",
			"tls": false, "warmup": "3s", "warmup_per_s": 24.0,
		})
	}
	d.store.put("op/config", map[string]any{
		"version": fmt.Sprintf("%08x", d.version), "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms",
		},
		"virtual_hosts": []any{map[string]any{"host": requestHost, "paths": paths}},
	})
	at := time.Now()
	d.record.add("configuration %08x is acknowledged: %v", d.version, routes)
	return at
}

// startNode writes the settings from the template of the deploy file and starts
// the node process.
func (d *deployment) startNode(n *node) error {
	text, err := d.renderSettings(n)
	if err != nil {
		return err
	}
	n.settings = filepath.Join(d.dir, n.name+".yaml")
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if n.log, err = os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	// The command of deploy/system.toml.
	n.cmd = exec.Command("target/vanillabarrow", "node", "run")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "VANILLABARROW_BOOT=" + n.settings}
	if level := os.Getenv("NODE_LOG_LEVEL"); level != "" {
		n.cmd.Env = append(n.cmd.Env, "VANILLABARROW_LOG_LEVEL="+level)
	}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go n.loopWait()
	d.record.note("start %s, process %d", n.name, n.cmd.Process.Pid)
	return nil
}

func (n *node) loopWait() {
	err := n.cmd.Wait()
	n.record.note("exit  %s: %v", n.name, err)
	close(n.exited)
}

// renderSettings fills in the template deploy/node.yaml.
func (d *deployment) renderSettings(n *node) (string, error) {
	b, err := os.ReadFile("deploy/node.yaml")
	if err != nil {
		return "", err
	}
	zones := map[string]string{}
	for _, z := range zoneServices {
		zones[z.zone] = "sk-west"
	}
	seeds := []string{d.nodes[0].peer, d.nodes[4].peer, d.nodes[8].peer}
	quote := func(v any) string {
		b, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		return string(b)
	}
	host, port, err := net.SplitHostPort(n.ops)
	if err != nil {
		return "", err
	}
	text := strings.NewReplacer(
		"{{ip|json}}", quote(n.ip), "{{zone|json}}", quote(n.zone), "{{service|json}}", quote(n.service),
		"{{application_address|json}}", quote(n.upstream.address()),
		"{{listen_addresses.outbound|json}}", quote(n.caller),
		"{{listen_addresses.control_plane|json}}", quote(n.peer),
		"{{listen_addresses.ready|json}}", quote(n.ready),
		"{{ip}}:{{internal_port_range.0}}", net.JoinHostPort(host, port),
		"http://{{platform.address}}", n.front.url(),
		"{{platform.reads_per_s}}", strconv.Itoa(readsPerS),
		"{{zones|json}}", quote(zones), "{{seed_nodes|json}}", quote(seeds),
		"{{limits.memory_mb}}", "184", "{{limits.file_descriptors}}", "4100",
	).Replace(string(b))
	if strings.Contains(text, "{{") {
		return "", errNotRun{"deploy/node.yaml has a placeholder that the harness does not know"}
	}
	return text, nil
}

// isReady asks the node's readiness check.
func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Get("http://" + n.ready + "/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) {
	n.record.add("signal %v to %s", s, n.name)
	_ = n.cmd.Process.Signal(s)
}

// close ends all processes that were started.
func (d *deployment) close() {
	for _, n := range d.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	deadline := time.After(stopTimeout)
	for _, n := range d.nodes {
		if n.cmd == nil {
			continue
		}
		select {
		case <-n.exited:
		case <-deadline:
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
		_ = n.log.Close()
	}
	for _, n := range d.nodes {
		_ = n.upstream.server.Close()
	}
	d.store.close()
	if os.Getenv("KEEP_LOGS") != "" {
		d.record.add("logs are in %s", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// readers returns the nodes that watch the store in steady state.
func (d *deployment) readers() []*node {
	seen := map[*node]int{}
	const samples = 20
	for range samples {
		for _, n := range d.nodes {
			if n.front.isWatching() {
				seen[n]++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	var readers []*node
	for _, n := range d.nodes {
		if seen[n] > samples/2 {
			readers = append(readers, n)
		}
	}
	return readers
}

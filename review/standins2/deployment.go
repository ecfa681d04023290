package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is one process of the project.
type node struct {
	ip, zone, service string
	dir               string
	upstream          *upstream

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// ports are the same on all machines.
type ports struct{ caller, peer, ready, operator, application, store int }

// deployment is a small deployment on loopback addresses.
type deployment struct {
	ports  ports
	dir    string
	store  *store
	record *record
	nodes  []*node
}

// machine describes one machine of a deployment.
type machine struct {
	zone, service string
	slots         int
	serve         serveFunc
}

// freePorts returns ports that are free on all addresses.
func freePorts(ips []string) (ports, error) {
	for range 50 {
		base := 20000 + rand.IntN(9000)
		free := true
		for _, ip := range ips {
			for i := range 6 {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+i))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return ports{base, base + 1, base + 2, base + 3, base + 4, base + 5}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

// newDeployment starts the store, the upstreams and the nodes.
func newDeployment(rec *record, routes []route, machines []machine) (*deployment, error) {
	d := &deployment{record: rec}
	var err error
	if d.dir, err = os.MkdirTemp("", "review2-"); err != nil {
		return nil, err
	}
	ips := []string{"127.0.0.1"}
	for i := range machines {
		ips = append(ips, fmt.Sprintf("127.0.1.%d", 10+i))
	}
	if d.ports, err = freePorts(ips); err != nil {
		return d, err
	}
	if d.store, err = newStore(fmt.Sprintf("127.0.0.1:%d", d.ports.store)); err != nil {
		return d, err
	}
	d.store.put("op/config", configuration(routes, machines))
	for i, m := range machines {
		n := &node{ip: ips[i+1], zone: m.zone, service: m.service, dir: filepath.Join(d.dir, ips[i+1])}
		n.upstream = &upstream{
			id: fmt.Sprintf("i-%04x%02d", rand.IntN(1<<16), i), service: m.service, zone: m.zone,
			address: fmt.Sprintf("%s:%d", n.ip, d.ports.application), slots: m.slots, store: d.store, record: rec, serve: m.serve,
		}
		if err := n.upstream.start(); err != nil {
			return d, err
		}
		d.nodes = append(d.nodes, n)
	}
	for _, n := range d.nodes {
		if err := d.writeSettings(n); err != nil {
			return d, err
		}
		if err := d.startNode(n); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady(20 * time.Second)
}

// route is a route of the configuration.
type route struct {
	Prefix      string `json:"prefix"`
	Kind        string `json:"route_type"`
	Timeout     string `json:"timeout"`
	Objective   string `json:"target_latency"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
	Name        string `json:"name"`
}

const host = "survey.example"

func configuration(routes []route, machines []machine) []byte {
	services := map[string]bool{}
	list := []map[string]any{}
	for _, m := range machines {
		if !services[m.service] {
			services[m.service] = true
			list = append(list, map[string]any{
				"name": m.service, "health_check_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false,
				"warmup": "3s", "warmup_per_s": 24.0,
			})
		}
	}
	b, _ := json.Marshal(map[string]any{
		"version": "00000007", "services": list,
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"virtual_hosts": []map[string]any{{"host": host, "paths": routes}},
	})
	return b
}

// settingsText follows deploy/node.yaml.
const settingsText = `profile: store
node:
  vm: "%[1]s"
  dataCentre: "%[2]s"
  service: "%[3]s"
  targetAddress: "%[1]s:%[4]d"
listen:
  caller: "%[1]s:%[5]d"
  peer: "%[1]s:%[6]d"
  ready: "%[1]s:%[7]d"
  operator: "%[1]s:%[8]d"
platform:
  url: "http://127.0.0.1:%[9]d"
  readBudget: 2000
  readers: 1
  dataCentres: {"zone-a":"geo","zone-b":"geo","zone-c":"geo","zone-d":"geo"}
seeds: [%[10]s]
balancer: fastest
limiter: ordered
retries:
  share: 0.1
  reserve: 2.5
throttle:
  ignoreShed: true
requests:
  askAfter: 500ms
bounds:
  gracePeriod: 6s
`

func (d *deployment) writeSettings(n *node) error {
	var seeds []string
	for i := range min(3, len(d.nodes)) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", d.nodes[i].ip, d.ports.peer)))
	}
	p := d.ports
	text := fmt.Sprintf(settingsText, n.ip, n.zone, n.service, p.application, p.caller, p.peer, p.ready, p.operator, p.store, strings.Join(seeds, ","))
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(n.dir, "node.yaml"), []byte(text), 0o600)
}

// startNode starts a node with the command of the deploy file.
func (d *deployment) startNode(n *node) error {
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/vanillabarrow", "node", "run", "-config-apply=2500ms", "-drain=2500ms",
		"-stability-window=3000ms", "-grace-period=6s", "-memory-mb=184", "-file-descriptors=4100")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.dir, "VANILLABARROW_BOOT=" + filepath.Join(n.dir, "node.yaml")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s)
}

// awaitExit waits for the end of the node's process.
func (n *node) awaitExit(d time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

func (d *deployment) isReady(n *node) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", n.ip, d.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *deployment) awaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, n := range d.nodes {
		for !d.isReady(n) {
			if time.Now().After(end) {
				return fmt.Errorf("node %s is not ready", n.ip)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (d *deployment) callerAddress(n *node) string { return fmt.Sprintf("%s:%d", n.ip, d.ports.caller) }

// close ends all processes that the deployment started.
func (d *deployment) close() {
	for _, n := range d.nodes {
		if n.cmd != nil {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			n.awaitExit(5 * time.Second)
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}

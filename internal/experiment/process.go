package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/vanillabarrow/vanillabarrow/internal/operator"
	"github.com/vanillabarrow/vanillabarrow/internal/settings"
)

const (
	// ticksPerSecond is the unit of processor time in /proc.
	ticksPerSecond = 100
	fileMode       = 0o600
)

// process is one node process.
type process struct {
	index    int
	caller   string
	peer     string
	operator string
	cmd      *exec.Cmd
	log      *os.File
}

// firstPort is below the ports that the system gives to outgoing connections,
// so that none of those takes a node's port before it starts.
const firstPort = 20000

// freeAddresses returns loopback addresses on which nothing listens.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for port := firstPort; len(addresses) < n && port < firstPort+10*n; port++ {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	if len(addresses) < n {
		return nil, fmt.Errorf("only %d of %d ports are free", len(addresses), n)
	}
	return addresses, nil
}

func newProcesses(n int) ([]*process, error) {
	const listeners = 3
	addresses, err := freeAddresses(n * listeners)
	if err != nil {
		return nil, err
	}
	processes := make([]*process, n)
	for i := range processes {
		a := addresses[i*listeners:]
		processes[i] = &process{index: i, caller: a[0], peer: a[1], operator: a[2]}
	}
	return processes, nil
}

// site is what all processes of a fleet share.
type site struct {
	binary      string
	dir         string
	platformURL string
	fleetSize   int
	seeds       []string
}

// start runs the node in the given place.
func (p *process) start(site site, place settings.Node) error {
	s := settings.Default()
	s.Node = place
	s.Listen = settings.Listen{Caller: p.caller, Peer: p.peer, Operator: p.operator}
	s.Platform.URL = site.platformURL
	s.Platform.FleetSize = site.fleetSize
	s.Seeds = site.seeds
	dir := site.dir
	b, err := yaml.Marshal(s)
	if err != nil {
		return err
	}
	file := filepath.Join(dir, fmt.Sprintf("node-%d.yaml", p.index))
	if err := os.WriteFile(file, b, fileMode); err != nil {
		return err
	}
	if p.log, err = os.OpenFile(filepath.Join(dir, fmt.Sprintf("node-%d.log", p.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode); err != nil {
		return err
	}
	p.cmd = exec.Command(site.binary, "node", "run", "-settings", file)
	p.cmd.Stderr = p.log
	return p.cmd.Start()
}

// end sends the signal and waits for the process.
func (p *process) end(signal syscall.Signal) error {
	if p.cmd == nil {
		return nil
	}
	err := errors.Join(p.cmd.Process.Signal(signal), p.cmd.Wait(), p.log.Close())
	p.cmd = nil
	if signal == syscall.SIGKILL {
		return nil
	}
	return err
}

// status asks the node.
func (p *process) status(ctx context.Context, client *http.Client) (*operator.Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.operator+"/status", nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	s := &operator.Status{}
	return s, json.NewDecoder(response.Body).Decode(s)
}

// cpuTime returns the processor time used so far.
func (p *process) cpuTime() (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	// The name in parentheses may hold blanks. User and system time are the
	// 12th and 13th field after it.
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	ticks := 0
	for _, i := range []int{11, 12} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// memory returns the resident memory in bytes.
func (p *process) memory() (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	pages, err := strconv.ParseInt(strings.Fields(string(b))[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

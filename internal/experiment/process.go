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
	// ticksPerSecond is the resolution of CPU times in /proc/PID/stat
	// (USER_HZ).
	ticksPerSecond = 100
	fileMode       = 0o600
)

// process is a node process with the addresses of its listeners.
type process struct {
	index    int
	caller   string
	peer     string
	operator string
	// cmd is nil unless the process has been started and not yet stopped.
	cmd *exec.Cmd
	log *os.File
}

// firstPort is below the ephemeral port range, so that no outgoing connection
// uses the port of a node before the node starts.
const firstPort = 20000

// freeAddresses returns n loopback addresses on which nothing listens.
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

// newProcesses returns n processes with free addresses, none of them started.
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

// processConfig holds what is common to all processes of a fleet.
type processConfig struct {
	binary      string
	dir         string
	platformURL string
	fleetSize   int
	seeds       []string
}

// start writes the settings file of the node and starts its process. The
// process's log is appended to a file beside it.
func (p *process) start(cfg processConfig, nodeSettings settings.Node) error {
	s := settings.Default()
	s.Node = nodeSettings
	s.Listen = settings.Listen{Caller: p.caller, Peer: p.peer, Operator: p.operator}
	s.Platform.URL = cfg.platformURL
	s.Platform.FleetSize = cfg.fleetSize
	s.Seeds = cfg.seeds
	dir := cfg.dir
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
	p.cmd = exec.Command(cfg.binary, "node", "run", "-settings", file)
	p.cmd.Stderr = p.log
	return p.cmd.Start()
}

// stop sends the signal and waits until the process has exited. After SIGKILL
// it ignores errors, as the exit status is always one.
func (p *process) stop(signal syscall.Signal) error {
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

// status requests the node's status from its operator address.
func (p *process) status(ctx context.Context, client *http.Client) (*operator.Status, error) {
	return fetchStatus(ctx, client, p.operator)
}

// fetchStatus requests a node's status from its operator address.
func fetchStatus(ctx context.Context, client *http.Client, address string) (*operator.Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
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

// cpuTime returns the user and system CPU time that the process has used so
// far.
func (p *process) cpuTime() (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	// The name of the program is in parentheses and may contain spaces. User
	// and system time are the 12th and 13th field after it.
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

// memory returns the resident set size in bytes.
func (p *process) memory() (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	pages, err := strconv.ParseInt(strings.Fields(string(b))[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// Package status implements "vanillabarrow fleet status".
package status

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/internal/operator"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
)

// parallel bounds the nodes asked at once.
const parallel = 32

// Options are the inputs of the command.
type Options struct {
	IO   *iostreams.IOStreams
	HTTP *http.Client
	Read func(name string) ([]byte, error)
	// Addresses are operator addresses. Inventory names files to take more
	// from.
	Addresses []string
	Inventory string
	JSON      bool
}

// Row is what one node said.
type Row struct {
	Address string           `json:"address"`
	Error   string           `json:"error,omitempty"`
	Status  *operator.Status `json:"status,omitempty"`
}

// NewCmdStatus returns the command. Tests give runF to stop before the run.
func NewCmdStatus(f *cmdutil.Factory, runF func(ctx context.Context, opts *Options) error) *ffcli.Command {
	opts := &Options{IO: f.IO, HTTP: f.HTTP, Read: f.ReadInput}
	fs := cmdutil.NewFlagSet("status")
	fs.StringVar(&opts.Inventory, "inventory", "", "ask all VMs with an operatorAddress in `files`, separated by commas")
	fs.BoolVar(&opts.JSON, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "vanillabarrow fleet status [<operator address>...] [flags]",
		ShortHelp:  "Show each node's version, age, rejections and parents",
		LongHelp: `Nodes are asked directly. The exit code is 1 when a node did not answer, is
not ready, rejected a version or serves an older version than another.

Examples:
  vanillabarrow fleet status 127.0.0.1:9003 127.0.0.1:9103
  vanillabarrow fleet status -inventory inventory.yaml`,
		FlagSet: fs,
		Options: cmdutil.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			args, err := cmdutil.Positional(fs, args)
			if err != nil {
				return err
			}
			opts.Addresses = args
			if len(args) == 0 && opts.Inventory == "" {
				return cmdutil.FlagErrorf("want operator addresses or -inventory")
			}
			if runF != nil {
				return runF(ctx, opts)
			}
			return run(ctx, opts)
		},
	}
}

// asker asks nodes from a shared list.
type asker struct {
	opts *Options
	wg   sync.WaitGroup
	next chan int
	rows []Row
}

func (a *asker) run(ctx context.Context) {
	defer a.wg.Done()
	for i := range a.next {
		status, err := ask(ctx, a.opts.HTTP, a.rows[i].Address)
		if err != nil {
			a.rows[i].Error = err.Error()
			continue
		}
		a.rows[i].Status = status
	}
}

func run(ctx context.Context, opts *Options) error {
	addresses, err := allAddresses(opts)
	if err != nil {
		return err
	}
	a := &asker{opts: opts, next: make(chan int), rows: make([]Row, len(addresses))}
	for i, address := range addresses {
		a.rows[i].Address = address
	}
	for range min(parallel, len(addresses)) {
		a.wg.Add(1)
		go a.run(ctx)
	}
	for i := range a.rows {
		a.next <- i
	}
	close(a.next)
	a.wg.Wait()
	if err := write(opts, a.rows); err != nil {
		return err
	}
	if !healthy(a.rows) {
		return cmdutil.ErrSilent
	}
	return nil
}

func allAddresses(opts *Options) ([]string, error) {
	addresses := slices.Clone(opts.Addresses)
	if opts.Inventory == "" {
		return addresses, nil
	}
	files, err := cmdutil.ReadConfigFiles(opts.Read, strings.Split(opts.Inventory, ","))
	if err != nil {
		return nil, err
	}
	snapshot, err := inventory.CompileFiles(1, files)
	if err != nil {
		return nil, err
	}
	for _, vm := range snapshot.VMs {
		if vm.OperatorAddress != "" {
			addresses = append(addresses, vm.OperatorAddress)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses), nil
}

func ask(ctx context.Context, client *http.Client, address string) (*operator.Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("answered %s", response.Status)
	}
	status := &operator.Status{}
	if err := json.NewDecoder(response.Body).Decode(status); err != nil {
		return nil, fmt.Errorf("answer can't be read: %w", err)
	}
	return status, nil
}

// healthy reports whether all nodes answer, are ready and serve one version.
func healthy(rows []Row) bool {
	for _, r := range rows {
		if r.Status == nil || !r.Status.Ready || r.Status.Rollout.Rejection != nil {
			return false
		}
		if r.Status.Version != rows[0].Status.Version {
			return false
		}
	}
	return true
}

func write(opts *Options, rows []Row) error {
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO, rows)
	}
	table := cmdutil.NewTable(opts.IO, "ADDRESS", "VM", "DATA CENTRE", "VERSION", "AGE", "STATE", "ROLE", "PARENTS", "REJECTED")
	for _, r := range rows {
		if r.Status == nil {
			table.AddRow(r.Address, "", "", "", "", "unreachable", "", "", r.Error)
			continue
		}
		s := r.Status
		table.AddRow(r.Address, s.VM, s.DataCentre, s.Version, fmt.Sprintf("%.1fs", s.ConfigAgeSeconds),
			stateOf(s), roleOf(s), strings.Join(s.Parents, ","), rejectionOf(s))
	}
	return table.Print()
}

func stateOf(s *operator.Status) string {
	switch {
	case !s.Ready:
		return "starting"
	case s.Draining:
		return "draining"
	case s.OutOfService:
		return "out"
	default:
		return "serving"
	}
}

func roleOf(s *operator.Status) string {
	if s.View.Reader {
		return "reader"
	}
	return fmt.Sprintf("rank %d", s.View.Rank)
}

func rejectionOf(s *operator.Status) string {
	r := s.Rollout.Rejection
	if r == nil {
		return ""
	}
	first, rest, more := strings.Cut(r.Reason, "\n")
	if more {
		first += fmt.Sprintf(" (and %d more)", strings.Count(rest, "\n")+1)
	}
	return fmt.Sprintf("version %d: %s", r.Version, first)
}

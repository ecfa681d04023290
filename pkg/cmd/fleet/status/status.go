// Package status implements "vanillabarrow fleet status".
package status

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/peterbourgon/ff/v3/ffcli"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/operator"
	"github.com/vanillabarrow/vanillabarrow/internal/tenant"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
)

const (
	// maxConcurrentRequests limits the nodes that are queried at a time.
	maxConcurrentRequests = 32
	// maxStatusBytes is the maximum size of a node's status. It has room for a
	// rejection with several problems in each of 10,000 targets.
	maxStatusBytes = 8 << 20
)

// Options are the inputs of the command.
type Options struct {
	cmdutil.ConfigOptions
	HTTP *http.Client
	// Addresses are operator addresses. Inventory is a comma-separated list of
	// files whose VMs are queried too.
	Addresses []string
	Inventory string
	JSON      bool
	// Tenants selects a table of the tenants' allowances in place of that of nodes.
	Tenants bool
}

// Row is the status of one node, or the error if it could not be queried.
type Row struct {
	Address string           `json:"address"`
	Error   string           `json:"error,omitempty"`
	Status  *operator.Status `json:"status,omitempty"`
}

// NewCmdStatus returns the command. If runF is not nil, it replaces the action, so
// that a test can check the options.
func NewCmdStatus(f *cmdutil.Factory, runF func(ctx context.Context, opts *Options) error) *ffcli.Command {
	opts := &Options{ConfigOptions: cmdutil.NewConfigOptions(f), HTTP: f.HTTP}
	fs := cmdutil.NewFlagSet("status")
	fs.StringVar(&opts.Inventory, "inventory", "", "also query the VMs that have an operatorAddress in these `files`, separated by commas")
	fs.BoolVar(&opts.JSON, "json", false, "print JSON")
	fs.BoolVar(&opts.Tenants, "tenants", false, "show the busiest tenants with limits: who divides an allowance, its use per second, and where it is spent")
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "vanillabarrow fleet status [<operator address>...] [flags]",
		ShortHelp:  "Show the configuration version and state of nodes",
		LongHelp: `Queries the nodes directly. The exit code is 1 if a node does not respond, is
not ready or rejected a version, or if the nodes serve different versions.

Examples:
  vanillabarrow fleet status 127.0.0.1:9003 127.0.0.1:9103
  vanillabarrow fleet status -inventory inventory.yaml
  vanillabarrow fleet status -tenants 127.0.0.1:9003 127.0.0.1:9103`,
		FlagSet: fs,
		Options: cmdutil.ParseOptions(),
		Exec:    cmdutil.Exec(fs, opts, opts.setArgs, run, runF),
	}
}

// setArgs keeps the arguments in the options and checks that there are some, or
// an inventory that can be read.
func (o *Options) setArgs(args []string) error {
	o.Addresses = args
	if len(args) == 0 && o.Inventory == "" {
		return cmdutil.FlagErrorf("expected operator addresses or -inventory")
	}
	return cmdutil.CheckInputs(strings.Split(o.Inventory, ","))
}

// poller queries a list of nodes concurrently. Each worker receives indexes of
// rows from next.
type poller struct {
	opts *Options
	wg   sync.WaitGroup
	next chan int
	rows []Row
}

func (p *poller) run(ctx context.Context) {
	defer p.wg.Done()
	for i := range p.next {
		status, err := fetchStatus(ctx, p.opts.HTTP, p.rows[i].Address)
		if err != nil {
			p.rows[i].Error = err.Error()
			continue
		}
		p.rows[i].Status = status
	}
}

func run(ctx context.Context, opts *Options) error {
	addresses, err := operatorAddresses(opts)
	if err != nil {
		return err
	}
	p := &poller{opts: opts, next: make(chan int), rows: make([]Row, len(addresses))}
	for i, address := range addresses {
		p.rows[i].Address = address
	}
	for range min(maxConcurrentRequests, len(addresses)) {
		p.wg.Add(1)
		go p.run(ctx)
	}
	for i := range p.rows {
		p.next <- i
	}
	close(p.next)
	p.wg.Wait()
	if err := write(opts, p.rows); err != nil {
		return err
	}
	if !healthy(p.rows) {
		return cmdutil.ErrSilent
	}
	return nil
}

// operatorAddresses returns the addresses among the arguments and in the
// inventory. It is an error if there are none.
func operatorAddresses(opts *Options) ([]string, error) {
	addresses := slices.Clone(opts.Addresses)
	if opts.Inventory == "" {
		return addresses, nil
	}
	snapshot, err := opts.Compile(1, strings.Split(opts.Inventory, ","))
	if err != nil {
		return nil, err
	}
	for _, vm := range snapshot.VMs {
		if vm.OperatorAddress != "" {
			addresses = append(addresses, vm.OperatorAddress)
		}
	}
	if len(addresses) == 0 {
		return nil, fmt.Errorf("no VM in %s has an operatorAddress", opts.Inventory)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses), nil
}

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
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("unexpected HTTP status %s", response.Status)
	}
	status := &operator.Status{}
	body := http.MaxBytesReader(nil, response.Body, maxStatusBytes)
	if err := json.NewDecoder(body).Decode(status); err != nil {
		return nil, fmt.Errorf("invalid status in the response: %w", err)
	}
	return status, nil
}

// healthy reports whether all nodes respond, are ready, have rejected no version
// and serve the same version.
func healthy(rows []Row) bool {
	for _, r := range rows {
		if r.Status == nil || !r.Status.Ready || rejectionOf(r.Status) != "" {
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
	if opts.Tenants {
		return writeAllowances(opts, rows)
	}
	table := cmdutil.NewTable(opts.IO, "ADDRESS", "VM", "DATA CENTRE", "VERSION", "AGE", "STATE", "ROLE", "PARENTS", "REJECTED")
	for _, r := range rows {
		if r.Status == nil {
			table.AddRow(r.Address, "", "", "", "", "unreachable", "", "", r.Error)
			continue
		}
		s := r.Status
		table.AddRow(r.Address, s.VM, s.DataCentre, versionOf(s), fmt.Sprintf("%.1fs", s.ConfigAgeSeconds),
			stateOf(s), roleOf(s), strings.Join(s.Parents, ","), rejectionOf(s))
	}
	return table.Print()
}

// ownedUse is the state of an allowance at one owner.
type ownedUse struct {
	tenant.Use
	owner string
}

// writeAllowances prints the tenants with limits that the nodes report, the busiest
// first. Each owner of a tenant has a row.
func writeAllowances(opts *Options, rows []Row) error {
	var uses []ownedUse
	for _, r := range rows {
		if r.Status == nil {
			continue
		}
		for _, u := range r.Status.Allowances {
			uses = append(uses, ownedUse{u, r.Status.VM})
		}
	}
	slices.SortStableFunc(uses, func(a, b ownedUse) int { return cmp.Compare(b.DemandRate, a.DemandRate) })
	table := cmdutil.NewTable(opts.IO, "TENANT", "LIMIT", "BURST", "OWNER", "SHARE", "DEMAND", "SERVED", "TOKENS", "HELD", "SPENT AT")
	for _, u := range uses {
		table.AddRow(u.Tenant, u.Limit, u.Burst, u.owner, fmt.Sprintf("%.2f", u.Share), fmt.Sprintf("%.1f/s", u.DemandRate), fmt.Sprintf("%.1f/s", u.ServedRate),
			fmt.Sprintf("%.0f", u.Tokens), u.Held, spentAt(u.Use))
	}
	return table.Print()
}

// spentAt returns the nodes that spend most of an allowance.
func spentAt(u tenant.Use) string {
	nodes := make([]string, len(u.Nodes))
	for i, n := range u.Nodes {
		nodes[i] = fmt.Sprintf("%s %.1f/s", n.VM, n.ServedRate)
	}
	return strings.Join(nodes, ", ")
}

// versionOf returns the version in force, with the number of items of earlier eras that
// stay in effect, if there are any.
func versionOf(s *operator.Status) string {
	if s.Rollout.Kept == 0 {
		return s.Version.String()
	}
	return fmt.Sprintf("%s (%d kept)", s.Version, s.Rollout.Kept)
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

// rejectionOf returns what the node rejected of the configuration and of the VM
// list, empty for nothing.
func rejectionOf(s *operator.Status) string {
	var texts []string
	if r := s.Rollout.Rejection; r != nil {
		texts = append(texts, formatRejection("version", r))
	}
	if r := s.Rollout.VMsRejection; r != nil {
		texts = append(texts, formatRejection("VM list", r))
	}
	return strings.Join(texts, "; ")
}

func formatRejection(subject string, r *vanillabarrow.Rejection) string {
	first, rest, more := strings.Cut(r.Reason, "\n")
	if more {
		first += fmt.Sprintf(" (and %d more)", strings.Count(rest, "\n")+1)
	}
	return fmt.Sprintf("%s %s: %s", subject, r.Version, first)
}

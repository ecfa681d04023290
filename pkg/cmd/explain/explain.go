// Package explain implements "vanillabarrow explain".
package explain

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/internal/dispatch"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
)

// maxErrorBytes limits the part of a node's error that is printed.
const maxErrorBytes = 1 << 10

// Options are the inputs of the command.
type Options struct {
	IO      *iostreams.IOStreams
	HTTP    *http.Client
	Address string
	Path    string
	Method  string
	Host    string
	Tenant  string
	Key     string
	JSON    bool
}

// NewCmdExplain returns the command. If runF is not nil, it replaces the action, so
// that a test can check the options.
func NewCmdExplain(f *cmdutil.Factory, runF func(ctx context.Context, opts *Options) error) *ffcli.Command {
	opts := &Options{IO: f.IO, HTTP: f.HTTP}
	fs := cmdutil.NewFlagSet("explain")
	fs.StringVar(&opts.Method, "method", http.MethodGet, "the request's `method`")
	fs.StringVar(&opts.Host, "host", "", "the request's `host`")
	fs.StringVar(&opts.Tenant, "tenant", "", "the `name` of the request's tenant")
	fs.StringVar(&opts.Key, "key", "", "the request's idempotency `key`")
	fs.BoolVar(&opts.JSON, "json", false, "print JSON")
	setArgs := func(args []string) error {
		if err := cmdutil.ExactArgs(args, 2, "the operator address of one node and the path of a request"); err != nil {
			return err
		}
		opts.Address, opts.Path = args[0], args[1]
		return nil
	}
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "vanillabarrow explain <operator address> <path> [flags]",
		ShortHelp:  "Show where a node would send a request now, and why",
		LongHelp: `Nothing is sent, and the node's state does not change. The first lines are the
decision; the table lists the targets of the service, with the reason for which a
target is left out. The exit code is 1 if the request would be refused.

Examples:
  vanillabarrow explain 127.0.0.1:9003 /returns/17
  vanillabarrow explain 127.0.0.1:9003 /orders -method POST -tenant acme -json`,
		FlagSet: fs,
		Options: cmdutil.ParseOptions(),
		Exec:    cmdutil.Exec(fs, opts, setArgs, run, runF),
	}
}

func run(ctx context.Context, opts *Options) error {
	e, err := query(ctx, opts)
	if err != nil {
		return err
	}
	if opts.JSON {
		err = cmdutil.PrintJSON(opts.IO, e)
	} else {
		err = write(opts, e)
	}
	if err == nil && e.Refusal != nil {
		return cmdutil.ErrSilent
	}
	return err
}

func query(ctx context.Context, opts *Options) (*dispatch.Explanation, error) {
	values := url.Values{"method": {opts.Method}, "host": {opts.Host}, "path": {opts.Path}, "tenant": {opts.Tenant}, "key": {opts.Key}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+opts.Address+"/explain?"+values.Encode(), nil)
	if err != nil {
		return nil, cmdutil.FlagErrorf("invalid operator address %q: expected host:port", opts.Address)
	}
	response, err := opts.HTTP.Do(request)
	if err != nil {
		return nil, fmt.Errorf("failed to query node %s: %w", opts.Address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return nil, fmt.Errorf("node %s returned HTTP status %s: %s", opts.Address, response.Status, strings.TrimSpace(string(detail)))
	}
	e := &dispatch.Explanation{}
	if err := json.NewDecoder(response.Body).Decode(e); err != nil {
		return nil, fmt.Errorf("node %s returned no valid explanation: %w", opts.Address, err)
	}
	return e, nil
}

// write prints the decision and the table of targets.
func write(opts *Options, e *dispatch.Explanation) error {
	for _, line := range decision(e) {
		if _, err := fmt.Fprintln(opts.IO.Out, line); err != nil {
			return err
		}
	}
	table := cmdutil.NewTable(opts.IO, "TARGET", "DATA CENTRE", "REGION", "DISTANCE", "OWN", "IN FLIGHT", "QUEUED", "LIMIT", "WAIT", "EXEC TIME", "FAILED %", "REPORT AGE", "STATE")
	for _, t := range e.Targets {
		table.AddRow(t.Name, t.DataCentre, t.Region, t.Distance, t.InFlight, t.Load.InFlight, t.Load.Queued, t.Load.Limit,
			t.Load.Wait, t.Load.ExecTime, t.Load.FailurePercent, t.ReportAge.Round(time.Millisecond), state(e, &t))
	}
	return table.Print()
}

// decision returns the lines above the table.
func decision(e *dispatch.Explanation) []string {
	lines := []string{fmt.Sprintf("configuration %s, route %s, service %s", e.Version, orNone(e.Route), orNone(e.Service))}
	if e.ConfigKept {
		lines = append(lines, "the routes are kept from before a restore of the platform, whose copy has an older configuration")
	}
	if e.Route != "" {
		kind := "not idempotent"
		if e.Idempotent {
			kind = "idempotent"
		}
		lines = append(lines, fmt.Sprintf("%s, priority %d, regions: %s", kind, e.Priority, orAll(e.Regions)))
	}
	if t := e.Tenant; t != nil {
		lines = append(lines, fmt.Sprintf("tenant %s: %g requests a second, burst %g (0: no limit)", t.Name, t.RequestRate, t.Burst))
	}
	if e.AdmitShare < 1 {
		lines = append(lines, fmt.Sprintf("the route is throttled: %.0f%% of its requests are admitted", 100*e.AdmitShare))
	}
	if e.Late {
		lines = append(lines, "no gate is expected to meet the objective; only the deadline counts")
	}
	if e.HedgeAfter > 0 {
		lines = append(lines, fmt.Sprintf("hedged after %s", e.HedgeAfter))
	}
	if r := e.Refusal; r != nil {
		line := fmt.Sprintf("refused: %s %s: %s", r.Verdict, r.Reason, r.Detail)
		if r.RetryAfter > 0 {
			line += fmt.Sprintf(", retry after %s", r.RetryAfter)
		}
		return append(lines, line)
	}
	return append(lines, fmt.Sprintf("first %s, next %s", e.First, orNone(e.Next)))
}

func state(e *dispatch.Explanation, t *dispatch.ExplainedTarget) string {
	if t.Kept {
		return role(e, t) + ", kept from before a restore of the platform"
	}
	return role(e, t)
}

func role(e *dispatch.Explanation, t *dispatch.ExplainedTarget) string {
	switch {
	case t.LeftOut != "":
		return "left out: " + t.LeftOut
	case t.Name == e.First:
		return "first"
	case t.Name == e.Next:
		return "next"
	case t.Trial:
		return "trial"
	case t.Cold:
		return "cold"
	default:
		return "candidate"
	}
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func orAll(names []string) string {
	if names == nil {
		return "all"
	}
	return orNone(strings.Join(names, ", "))
}

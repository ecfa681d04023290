// Package restore implements "vanillabarrow experiment restore".
package restore

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/vanillabarrow/vanillabarrow/internal/experiment"
	"github.com/vanillabarrow/vanillabarrow/pkg/cmdutil"
	"github.com/vanillabarrow/vanillabarrow/pkg/iostreams"
	"github.com/vanillabarrow/vanillabarrow/platform/deployment"
	"github.com/vanillabarrow/vanillabarrow/platform/standin"
)

// maxRevisions is the maximum number of revisions that are lost.
const maxRevisions = 10_000

// Writers that can repeat what was lost.
const (
	writerOperator = "operator"
	writerTargets  = "targets"
	writerNone     = "none"
)

// Options are the inputs of the command.
type Options struct {
	IO     *iostreams.IOStreams
	JSON   bool
	Config experiment.RestoreConfig
}

// NewCmdRestore returns the command. If runF is not nil, it replaces the action, so
// that a test can check the options.
func NewCmdRestore(f *cmdutil.Factory, runF func(ctx context.Context, opts *Options) error) *ffcli.Command {
	opts := &Options{IO: f.IO}
	cfg, gone, writers := &opts.Config, true, ""
	fs := cmdutil.NewFlagSet("restore")
	fs.StringVar(&cfg.Binary, "binary", "", "node `program` to start (default: this program)")
	fs.IntVar(&cfg.Nodes, "nodes", 12, "`number` of nodes")
	fs.IntVar(&cfg.DataCentres, "data-centres", 3, "`number` of data centres, over which the nodes are spread")
	fs.DurationVar(&cfg.Away, "away", 0, "`time` for which the store responds with status 503 before the restore, such as 3s")
	fs.IntVar(&cfg.LostRevisions, "lost-revisions", 30, "`number` of revisions, and so of writes, that the copy lacks")
	fs.BoolVar(&cfg.NamesEra, "era", true, "state the store's era in its responses")
	fs.BoolVar(&gone, "gone", true, "respond with status 410 to watches from a revision that the store lacks; otherwise they wait")
	fs.StringVar(&writers, "repeat", writerOperator+","+writerTargets, "`writers` that write again what was lost, separated by commas: operator, targets; or none")
	fs.DurationVar(&cfg.OperatorDelay, "operator-delay", 0, "`time` from the restore until the operator writes its lost configuration again, followed at once by one with a new route")
	fs.DurationVar(&cfg.TargetDelay, "target-delay", 1400*time.Millisecond, "`time` from the restore until the last target has written its lost entry again; they do so one after the other")
	fs.DurationVar(&cfg.Observe, "observe", 10*time.Second, "`time` from the restore to the end of the play")
	fs.BoolVar(&opts.JSON, "json", false, "print JSON")
	return &ffcli.Command{
		Name:       "restore",
		ShortUsage: "vanillabarrow experiment restore [flags]",
		ShortHelp:  "Play a restore of the store with node processes",
		LongHelp: `Runs node processes of the profile store on this machine, with simulated targets
and a simulated store, which is restored from an older copy. One target leaves and
one starts to drain before that, which the copy may lack. Prints what the restore
costs and when the nodes follow. Times have a unit, such as 500ms or 3s.

Examples:
  vanillabarrow experiment restore -away 3s
  vanillabarrow experiment restore -nodes 24 -era=false -repeat targets`,
		FlagSet: fs,
		Options: cmdutil.ParseOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := cmdutil.ExactArgs(args, 0, "no arguments"); err != nil {
				return err
			}
			if !gone {
				cfg.UnknownRevision = standin.UnknownRevisionWaits
			}
			if err := opts.check(writers); err != nil {
				return err
			}
			if runF != nil {
				return runF(ctx, opts)
			}
			return run(ctx, opts)
		},
	}
}

// check sets the writers, and returns an error if an option is out of range.
func (o *Options) check(writers string) error {
	c := &o.Config
	for _, n := range []struct {
		flag            string
		value, min, max int
	}{
		{"nodes", c.Nodes, experiment.MinRestoreNodes, deployment.MaxNodes},
		{"data-centres", c.DataCentres, 1, c.Nodes},
		{"lost-revisions", c.LostRevisions, 0, maxRevisions},
	} {
		if n.value < n.min || n.value > n.max {
			return cmdutil.FlagErrorf("-%s: is %d, must be from %d to %d", n.flag, n.value, n.min, n.max)
		}
	}
	if c.Away < 0 {
		return cmdutil.FlagErrorf("-away: is %v, must not be negative", c.Away)
	}
	if c.Observe <= 0 {
		return cmdutil.FlagErrorf("-observe: is %v, must be greater than zero", c.Observe)
	}
	for _, d := range []struct {
		flag  string
		value time.Duration
	}{{"operator-delay", c.OperatorDelay}, {"target-delay", c.TargetDelay}} {
		if d.value < 0 || d.value >= c.Observe {
			return cmdutil.FlagErrorf("-%s: is %v, must not be negative and must be shorter than -observe, %v", d.flag, d.value, c.Observe)
		}
	}
	return o.setWriters(writers)
}

func (o *Options) setWriters(writers string) error {
	if writers == writerNone {
		return nil
	}
	for name := range strings.SplitSeq(writers, ",") {
		switch name {
		case writerOperator:
			o.Config.OperatorRepeats = true
		case writerTargets:
			o.Config.TargetsRepeat = true
		default:
			return cmdutil.FlagErrorf("-repeat: invalid writers %q: expected operator, targets, both separated by a comma, or none", writers)
		}
	}
	return nil
}

func run(ctx context.Context, opts *Options) error {
	if opts.Config.Binary == "" {
		var err error
		if opts.Config.Binary, err = os.Executable(); err != nil {
			return err
		}
	}
	result, err := experiment.RunRestore(ctx, opts.Config)
	if err != nil {
		return err
	}
	return write(opts, result)
}

func write(opts *Options, r *experiment.RestoreResult) error {
	if opts.JSON {
		return cmdutil.PrintJSON(opts.IO, r)
	}
	table := cmdutil.NewTable(opts.IO, "FIGURE", "VALUE", "DETAIL")
	counted := fmt.Sprintf("in %.1f s", r.CountedSeconds)
	table.AddRow("calls, listings", r.Calls.Lists, counted)
	table.AddRow("calls, probes that may be stale", r.Calls.StaleLists, counted)
	table.AddRow("calls, single keys", r.Calls.Keys, counted)
	table.AddRow("calls, watches", r.Calls.Watches, fmt.Sprintf("%s, %d of them with status 410", counted, r.Calls.Gone))
	table.AddRow("calls, failed while away", r.Calls.Away, counted)
	table.AddRow("calls, all", r.Calls.All(), fmt.Sprintf("%s, at most %d in a second", counted, r.PeakCalls))
	addProgress(table, "later era", r.Era, r.Nodes, "the restore")
	if r.Route != nil {
		addProgress(table, "new route served", r.Route, r.Nodes, "its acknowledgement")
	}
	for _, d := range r.Departed {
		last := "no request after that"
		if d.LastSeconds > 0 {
			last = fmt.Sprintf("the last request %.3f s after that", d.LastSeconds)
		}
		table.AddRow("late requests, target "+d.What, d.Late, fmt.Sprintf("later than %.1f s, %s", d.BoundSeconds, last))
	}
	addKept(table, "changes of the era", r.Kept, func(k experiment.KeptItems) int { return k.Changes })
	addKept(table, "items kept at the change", r.Kept, func(k experiment.KeptItems) int { return k.Kept })
	addKept(table, "items lost at the change", r.Kept, func(k experiment.KeptItems) int { return k.Lost })
	addKept(table, "items kept at the end", r.Kept, func(k experiment.KeptItems) int { return k.KeptAtEnd })
	return table.Print()
}

// addProgress adds a row with the time after which all nodes have reached something.
func addProgress(table *cmdutil.Table, figure string, p *experiment.Progress, nodes int, from string) {
	if p.Nodes < nodes {
		table.AddRow(figure, "not at all nodes", fmt.Sprintf("%d of %d nodes", p.Nodes, nodes))
		return
	}
	table.AddRow(figure, fmt.Sprintf("%.3f s", p.Seconds), fmt.Sprintf("%d of %d nodes, after %s", p.Nodes, nodes, from))
}

// addKept adds a row with the range of a number over the nodes.
func addKept(table *cmdutil.Table, figure string, kept []experiment.KeptItems, value func(experiment.KeptItems) int) {
	values := make([]int, len(kept))
	for i, k := range kept {
		values[i] = value(k)
	}
	low, high := slices.Min(values), slices.Max(values)
	text := fmt.Sprint(low)
	if high > low {
		text = fmt.Sprintf("%d to %d", low, high)
	}
	table.AddRow(figure, text, "a node")
}

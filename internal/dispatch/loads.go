package dispatch

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/retry"
)

const (
	// asideAfter is the number of failures in a row that set a target aside.
	asideAfter = 3
	// asideBase and asideLimit bound the time that a target is set aside.
	asideBase  = 200 * time.Millisecond
	asideLimit = 2 * time.Second
	// sizeWeight is the weight of a new answer in the size of a route's answers,
	// and maxSizes bounds the routes remembered.
	sizeWeight = 0.05
	maxSizes   = 4096
	// queueFor is how long a report about a queue counts, and maxPriorities
	// bounds the priorities told apart.
	queueFor      = time.Second
	maxPriorities = 16
	// forgetAfter is how long an unused target is remembered.
	forgetAfter = 5 * time.Minute
)

// targetLoad is what this node knows about one target from its own attempts.
type targetLoad struct {
	inFlight   int
	load       vanillabarrow.Load
	reportedAt time.Time
	// queues holds the last report for each priority.
	queues     map[int]queueReport
	failures   int
	asideUntil time.Time
	trial      bool
	usedAt     time.Time
}

// TargetLoads holds what this node knows about targets.
type TargetLoads struct {
	mu      *kernel.Mutex
	targets map[string]*targetLoad
	// sizes holds the bytes that requests and answers move, by route.
	sizes map[string]float64
}

// NewTargetLoads returns an empty table.
func NewTargetLoads() *TargetLoads {
	return &TargetLoads{mu: kernel.NewMutex(kernel.RankTargetLoads), targets: map[string]*targetLoad{}, sizes: map[string]float64{}}
}

func (l *TargetLoads) get(name string) *targetLoad {
	t, ok := l.targets[name]
	if !ok {
		t = &targetLoad{}
		l.targets[name] = t
	}
	return t
}

// Report notes the load that a gate sent with an answer.
func (l *TargetLoads) Report(target string, load vanillabarrow.Load, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(target)
	t.load, t.reportedAt = load, now
	if t.queues == nil || len(t.queues) >= maxPriorities {
		t.queues = map[int]queueReport{}
	}
	t.queues[load.Priority] = queueReport{queued: load.Queued, wait: load.Wait, at: now}
}

// queueReport is what a gate said about its queue to a request of one priority.
type queueReport struct {
	queued int
	wait   time.Duration
	at     time.Time
}

// queue returns the queue as a request of the priority is expected to find it.
// Without a recent report for the priority, another one bounds it: a less urgent
// request finds at least what a more urgent one does.
func (t *targetLoad) queue(priority int, now time.Time) (queued int, wait time.Duration) {
	if report, ok := t.queues[priority]; ok && now.Sub(report.at) < queueFor {
		return report.queued, report.wait
	}
	for other, report := range t.queues {
		if other < priority && now.Sub(report.at) < queueFor && report.queued >= queued {
			queued, wait = report.queued, max(wait, report.wait)
		}
	}
	return queued, wait
}

// fill completes the candidate. It returns false for a target that is set
// aside or drains.
func (l *TargetLoads) fill(c *vanillabarrow.Candidate, priority int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.targets[c.Target.Name]
	if !ok {
		return true
	}
	c.InFlight, c.Load, c.ReportedAt = t.inFlight, t.load, t.reportedAt
	c.Load.Queued, c.Load.Wait = t.queue(priority, now)
	c.Load.Priority = priority
	if t.failures >= asideAfter {
		c.Trial = !t.trial && !now.Before(t.asideUntil)
		return c.Trial
	}
	// A report of draining is believed for a moment only, so that a target
	// that came back is tried again.
	return !t.load.Draining || now.Sub(t.reportedAt) > asideBase
}

// begin counts an attempt.
func (l *TargetLoads) begin(target string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(target)
	t.inFlight++
	t.usedAt = now
	t.trial = t.failures >= asideAfter
}

// unreachable sets the target aside at its next end of an attempt.
func (l *TargetLoads) unreachable(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(target)
	t.failures = max(t.failures, asideAfter-1)
}

// change is what an attempt changed in what the node believes of a target.
type change int

const (
	changeNone change = iota
	changeSetAside
	changeRegained
)

// sign is what the end of an attempt says about a target.
type sign int

const (
	// signNone is silence: the request ended before anything was heard.
	signNone sign = iota
	signGood
	signBad
)

// end counts the end of an attempt.
func (l *TargetLoads) end(target string, s sign, now time.Time) change {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(target)
	t.inFlight--
	t.trial = false
	aside := t.failures >= asideAfter
	switch s {
	case signNone:
		if aside {
			t.asideUntil = now.Add(asideBase)
		}
		return changeNone
	case signGood:
		t.failures = 0
		if aside {
			return changeRegained
		}
		return changeNone
	case signBad:
		t.failures++
	}
	if t.failures < asideAfter {
		return changeNone
	}
	wait := asideBase/2 + retry.Backoff(asideBase, asideLimit, t.failures-asideAfter)
	t.asideUntil = now.Add(wait)
	if aside {
		return changeNone
	}
	return changeSetAside
}

// seen returns the load of a target as a request of the priority is expected to
// find it, and how old the last report is, 0 for none.
func (l *TargetLoads) seen(target string, priority int, now time.Time) (load vanillabarrow.Load, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.targets[target]
	if !ok || t.reportedAt.IsZero() {
		return vanillabarrow.Load{}, 0
	}
	load = t.load
	load.Queued, load.Wait = t.queue(priority, now)
	return load, now.Sub(t.reportedAt)
}

// size returns the number of bytes that a request and its answer are expected
// to move.
func (l *TargetLoads) size(r *vanillabarrow.Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.sizes[r.Route]) + int(max(0, r.Size))
}

// sized notes the size of an answer on a route.
func (l *TargetLoads) sized(r *vanillabarrow.Request, a *vanillabarrow.Response) {
	n := float64(max(int64(len(a.Body)), a.Size))
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.sizes[r.Route]
	if !ok {
		old = n
	}
	l.sizes[r.Route] = old + sizeWeight*(n-old)
}

// Sweep forgets targets that were not used for long. It returns the number
// left.
func (l *TargetLoads) Sweep(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sizes) > maxSizes {
		clear(l.sizes)
	}
	for name, t := range l.targets {
		if t.inFlight == 0 && now.Sub(t.usedAt) > forgetAfter {
			delete(l.targets, name)
		}
	}
	return len(l.targets)
}

// LoadState is one row of the state dump.
type LoadState struct {
	InFlight    int                `json:"inFlight"`
	Load        vanillabarrow.Load `json:"load"`
	Failures    int                `json:"failures"`
	BreakerOpen bool               `json:"aside"`
}

// State returns all rows by target.
func (l *TargetLoads) State(now time.Time) map[string]LoadState {
	l.mu.Lock()
	defer l.mu.Unlock()
	rows := make(map[string]LoadState, len(l.targets))
	for name, t := range l.targets {
		rows[name] = LoadState{
			InFlight:    t.inFlight,
			Load:        t.load,
			Failures:    t.failures,
			BreakerOpen: t.failures >= asideAfter && now.Before(t.asideUntil),
		}
	}
	return rows
}

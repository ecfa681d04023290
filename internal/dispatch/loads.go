package dispatch

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/retry"
)

const (
	// ejectionThreshold is the number of consecutive failures after which a
	// target is ejected.
	ejectionThreshold = 3
	// ejectionBackoffBase and ejectionBackoffMax are the base and the maximum
	// of the random backoff before an ejected target gets a trial request. Half
	// of the base is added to it, because the random delay may be 0.
	ejectionBackoffBase = 200 * time.Millisecond
	ejectionBackoffMax  = 2 * time.Second
	// responseSizeWeight is the weight of a new sample in the moving average of
	// a route's response size, and maxResponseSizes the number of routes above
	// which the averages are reset.
	responseSizeWeight = 0.05
	maxResponseSizes   = 4096
	// queueReportTTL is the time for which a gate's report of its queue is
	// used, and maxQueueReports the maximum number of priorities with a report.
	// When it is reached, the next report resets the others.
	queueReportTTL  = time.Second
	maxQueueReports = 16
	// idleTargetTTL is the time without an attempt after which a target is
	// removed from the table.
	idleTargetTTL = 5 * time.Minute
)

// targetState is what this node knows about one target from its own attempts.
type targetState struct {
	inFlight   int
	load       vanillabarrow.Load
	reportedAt time.Time
	// queueReports holds the last report for each priority.
	queueReports map[int]queueReport
	// execTimes holds the last report of the execution time for each class.
	execTimes map[string]execTimeReport
	slowness  slowness
	// consecutiveFailures is at least ejectionThreshold while the target is
	// ejected.
	consecutiveFailures int
	// ejectedUntil is the time from which an ejected target may get a trial
	// request.
	ejectedUntil  time.Time
	trialInFlight bool
	lastUsedAt    time.Time
}

// TargetLoads holds the reported load of each target, this node's attempts in
// flight at it, and whether it is ejected. A target is ejected after
// ejectionThreshold consecutive failures. It then gets single trial requests,
// each after a backoff, until an attempt succeeds.
type TargetLoads struct {
	mu      *kernel.Mutex
	targets map[string]*targetState
	// responseSizes holds the moving average of the response size in bytes, by
	// route.
	responseSizes map[string]float64
	// meanExecTimes holds the moving average of the execution times that all
	// targets reported, by class.
	meanExecTimes map[string]time.Duration
}

// NewTargetLoads returns an empty table.
func NewTargetLoads() *TargetLoads {
	return &TargetLoads{mu: kernel.NewMutex(kernel.RankTargetLoads), targets: map[string]*targetState{}, responseSizes: map[string]float64{}, meanExecTimes: map[string]time.Duration{}}
}

func (l *TargetLoads) get(name string) *targetState {
	t, ok := l.targets[name]
	if !ok {
		t = &targetState{}
		l.targets[name] = t
	}
	return t
}

// Report records the load that the target's gate sent.
func (l *TargetLoads) Report(target string, load vanillabarrow.Load, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(target)
	t.load, t.reportedAt = load, now
	if t.queueReports == nil || len(t.queueReports) >= maxQueueReports {
		t.queueReports = map[int]queueReport{}
	}
	t.queueReports[load.Priority] = queueReport{queued: load.Queued, wait: load.Wait, receivedAt: now}
	l.reportExecTime(t, load, now)
}

// queueReport is the queue of a gate as seen by requests of one priority.
type queueReport struct {
	queued     int
	wait       time.Duration
	receivedAt time.Time
}

// expectedQueue returns the expected queue ahead of a request of the priority.
// Without a recent report for the priority, the reports for more urgent ones
// serve as a lower bound, since a less urgent request has at least as many
// ahead of it.
func (t *targetState) expectedQueue(priority int, now time.Time) (queued int, wait time.Duration) {
	if report, ok := t.queueReports[priority]; ok && now.Sub(report.receivedAt) < queueReportTTL {
		return report.queued, report.wait
	}
	for other, report := range t.queueReports {
		if other < priority && now.Sub(report.receivedAt) < queueReportTTL {
			queued, wait = max(queued, report.queued), max(wait, report.wait)
		}
	}
	return queued, wait
}

// fillCandidate sets the candidate's load and trial flag. It returns false for
// a target that is unavailable, or ejected and not due for a trial request.
func (l *TargetLoads) fillCandidate(c *vanillabarrow.Candidate, r *vanillabarrow.Request, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.targets[c.Target.Name]
	c.ExecTime = l.expectedExecTime(t, r.Route, now)
	if !ok {
		return true
	}
	c.InFlight, c.Load, c.ReportedAt = t.inFlight, t.load, t.reportedAt
	c.Load.Queued, c.Load.Wait = t.expectedQueue(r.Priority, now)
	c.Load.Priority = r.Priority
	if t.consecutiveFailures >= ejectionThreshold {
		c.Trial = !t.trialInFlight && !now.Before(t.ejectedUntil)
		return c.Trial
	}
	// A report of unavailability is used only for a short time, so that a
	// target that is back in service gets requests again.
	return !t.load.Unavailable || now.Sub(t.reportedAt) > ejectionBackoffBase
}

// beginTrial reports whether a request may be sent to the target now. At an
// ejected target, the request is the trial request, and no other one begins
// within ejectionBackoffBase, or until it ends once its attempt has begun.
func (l *TargetLoads) beginTrial(target string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(target)
	if t.consecutiveFailures < ejectionThreshold {
		return true
	}
	if t.trialInFlight || now.Before(t.ejectedUntil) {
		return false
	}
	t.ejectedUntil = now.Add(ejectionBackoffBase)
	return true
}

// beginAttempt records the start of an attempt and reports whether it is the
// trial request of an ejected target, which has one at a time.
func (l *TargetLoads) beginAttempt(target string, now time.Time) (trial bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(target)
	t.inFlight++
	t.lastUsedAt = now
	if t.trialInFlight || t.consecutiveFailures < ejectionThreshold {
		return false
	}
	t.trialInFlight = true
	return true
}

// ejectOnNextFailure raises the failure count so that the target is ejected if
// the current attempt ends as a failure.
func (l *TargetLoads) ejectOnNextFailure(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(target)
	t.consecutiveFailures = max(t.consecutiveFailures, ejectionThreshold-1)
}

// ejectionChange is the effect of an attempt on the ejection of its target.
type ejectionChange int

const (
	ejectionUnchanged ejectionChange = iota
	targetEjected
	targetReinstated
)

// attemptResult is what the end of an attempt shows about its target.
type attemptResult int

const (
	// resultInconclusive means that the request ended before any response.
	resultInconclusive attemptResult = iota
	resultSuccess
	resultFailure
)

// endAttempt records the end of an attempt, which is a trial request if
// beginAttempt said so, and returns whether it ejected or reinstated the target.
func (l *TargetLoads) endAttempt(target string, trial bool, result attemptResult, now time.Time) ejectionChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(target)
	t.inFlight--
	if trial {
		t.trialInFlight = false
	}
	wasEjected := t.consecutiveFailures >= ejectionThreshold
	switch result {
	case resultInconclusive:
		if trial {
			t.ejectedUntil = now.Add(ejectionBackoffBase)
		}
		return ejectionUnchanged
	case resultSuccess:
		t.consecutiveFailures = 0
		if wasEjected {
			return targetReinstated
		}
		return ejectionUnchanged
	case resultFailure:
		t.consecutiveFailures++
	}
	if t.consecutiveFailures < ejectionThreshold {
		return ejectionUnchanged
	}
	wait := ejectionBackoffBase/2 + retry.Backoff(ejectionBackoffBase, ejectionBackoffMax, t.consecutiveFailures-ejectionThreshold)
	t.ejectedUntil = now.Add(wait)
	if wasEjected {
		return ejectionUnchanged
	}
	return targetEjected
}

// expectedLoad returns the load of a target as expected by a request of the
// priority, and the age of the last report, 0 for none.
func (l *TargetLoads) expectedLoad(target string, priority int, now time.Time) (load vanillabarrow.Load, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.targets[target]
	if !ok || t.reportedAt.IsZero() {
		return vanillabarrow.Load{}, 0
	}
	load = t.load
	load.Queued, load.Wait = t.expectedQueue(priority, now)
	return load, now.Sub(t.reportedAt)
}

// callsShed reports whether the target's gate last reported that requests which the
// target sends are shed by others.
func (l *TargetLoads) callsShed(target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.targets[target]
	return ok && t.load.CallsShed
}

// expectedBytes returns the expected size of a request and its response
// together.
func (l *TargetLoads) expectedBytes(r *vanillabarrow.Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.responseSizes[r.Route]) + int(max(0, r.Size))
}

// recordResponseSize updates the moving average of the route's response size.
func (l *TargetLoads) recordResponseSize(r *vanillabarrow.Request, resp *vanillabarrow.Response) {
	n := float64(max(int64(len(resp.Body)), resp.Size))
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.responseSizes[r.Route]
	if !ok {
		old = n
	}
	l.responseSizes[r.Route] = old + responseSizeWeight*(n-old)
}

// Sweep removes targets that have not been used for idleTargetTTL. It returns
// the number of targets left.
func (l *TargetLoads) Sweep(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.responseSizes) > maxResponseSizes {
		clear(l.responseSizes)
	}
	if len(l.meanExecTimes) > maxResponseSizes {
		clear(l.meanExecTimes)
	}
	for name, t := range l.targets {
		if t.inFlight == 0 && now.Sub(t.lastUsedAt) > idleTargetTTL {
			delete(l.targets, name)
		}
	}
	return len(l.targets)
}

// LoadState is one row of the state dump.
type LoadState struct {
	// InFlight is the number of this node's attempts in flight at the target,
	// Load the last load that the target's gate reported.
	InFlight int                `json:"inFlight"`
	Load     vanillabarrow.Load `json:"load"`
	// Failures is the number of consecutive failures.
	Failures int `json:"failures"`
	// Ejected is set while the target is ejected and no trial request is due.
	Ejected bool `json:"aside"`
}

// State returns the rows of the state dump by target.
func (l *TargetLoads) State(now time.Time) map[string]LoadState {
	l.mu.Lock()
	defer l.mu.Unlock()
	rows := make(map[string]LoadState, len(l.targets))
	for name, t := range l.targets {
		rows[name] = LoadState{
			InFlight: t.inFlight,
			Load:     t.load,
			Failures: t.consecutiveFailures,
			Ejected:  t.consecutiveFailures >= ejectionThreshold && now.Before(t.ejectedUntil),
		}
	}
	return rows
}

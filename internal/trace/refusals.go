package trace

import (
	"cmp"
	"slices"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// Cause identifies refusals of one kind.
type Cause struct {
	Route   string `json:"route"`
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
}

// CauseCount is the number of requests that were refused for a cause.
type CauseCount struct {
	Cause
	Requests int `json:"requests"`
}

// Interval holds the refusals of a period that begins at Start.
type Interval struct {
	Start time.Time `json:"start"`
	// Requests is the number of requests that callers were refused, MayHaveRun
	// that of those whose outcome is unknown.
	Requests   int `json:"requests"`
	MayHaveRun int `json:"mayHaveRun"`
	// Attempts is the number of attempts that gates refused.
	Attempts int `json:"attempts"`
	// DroppedLines is the number of log lines that nodes dropped. If it is not
	// zero, the other counts are too low.
	DroppedLines int `json:"leftOut"`
	// Causes are ordered from the most frequent to the least.
	Causes []CauseCount `json:"causes"`
}

// RefusalSummary holds the refusals of all nodes.
type RefusalSummary struct {
	Intervals []Interval `json:"intervals"`
	// Causes are those of all intervals.
	Causes []CauseCount `json:"causes"`
}

// RefusalCounter counts refusals by time and cause.
type RefusalCounter struct {
	length    time.Duration
	intervals map[time.Time]*intervalCounts
}

type intervalCounts struct {
	Interval
	causes map[Cause]int
}

// NewRefusalCounter returns a counter for intervals of the given length.
func NewRefusalCounter(length time.Duration) *RefusalCounter {
	return &RefusalCounter{length: length, intervals: map[time.Time]*intervalCounts{}}
}

// Add counts a line. Lines that report no refusal are ignored.
func (c *RefusalCounter) Add(l *Line) {
	switch l.Event {
	case logging.EventRequestRefused:
		counts := c.at(l.Time)
		counts.Requests++
		if l.Get("verdict") == vanillabarrow.VerdictMayHaveRun.String() {
			counts.MayHaveRun++
		}
		counts.causes[Cause{Route: l.Get("route"), Verdict: l.Get("verdict"), Reason: l.Get("reason")}]++
	case logging.EventAttemptRefused:
		c.at(l.Time).Attempts++
	case logging.EventLinesDropped:
		c.at(l.Time).DroppedLines += droppedLines(l)
	}
}

func (c *RefusalCounter) at(t time.Time) *intervalCounts {
	start := t.Truncate(c.length)
	counts, ok := c.intervals[start]
	if !ok {
		counts = &intervalCounts{Interval: Interval{Start: start}, causes: map[Cause]int{}}
		c.intervals[start] = counts
	}
	return counts
}

// Summary returns the counts, with the intervals in the order of time.
func (c *RefusalCounter) Summary() *RefusalSummary {
	s := &RefusalSummary{Intervals: []Interval{}}
	total := map[Cause]int{}
	for _, counts := range c.intervals {
		interval := counts.Interval
		interval.Causes = sortedCauses(counts.causes)
		s.Intervals = append(s.Intervals, interval)
		for cause, n := range counts.causes {
			total[cause] += n
		}
	}
	slices.SortFunc(s.Intervals, func(a, b Interval) int { return a.Start.Compare(b.Start) })
	s.Causes = sortedCauses(total)
	return s
}

func sortedCauses(counts map[Cause]int) []CauseCount {
	causes := make([]CauseCount, 0, len(counts))
	for cause, n := range counts {
		causes = append(causes, CauseCount{cause, n})
	}
	slices.SortFunc(causes, func(a, b CauseCount) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Route, b.Route),
			cmp.Compare(a.Verdict, b.Verdict), cmp.Compare(a.Reason, b.Reason))
	})
	return causes
}

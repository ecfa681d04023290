package trace

import (
	"slices"
	"strconv"
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// Kinds of steps.
const (
	// KindRequest is a decision about the request itself.
	KindRequest = "request"
	// KindBelief is a change of what a node on the request's way believed.
	KindBelief = "belief"
)

// Step is one line of a story.
type Step struct {
	Kind string `json:"kind"`
	Line
}

// Story is what the logs tell about one request.
type Story struct {
	ID string `json:"id"`
	// Steps are in the order of time. Clocks of VMs may differ by some
	// milliseconds.
	Steps []Step `json:"steps"`
	// LeftOut counts the lines that the nodes on the request's way left out
	// around it: the story may have gaps.
	LeftOut int `json:"leftOut"`
}

// Found reports whether any line tells about the request itself.
func (s *Story) Found() bool {
	return slices.ContainsFunc(s.Steps, func(step Step) bool { return step.Kind == KindRequest })
}

// End returns the entry's refusal, nil when the logs have none.
func (s *Story) End() *Line {
	for i := len(s.Steps) - 1; i >= 0; i-- {
		if s.Steps[i].Event == logging.EventRequestRefused {
			return &s.Steps[i].Line
		}
	}
	return nil
}

// beliefs are the events that tell what a node believes.
var beliefs = map[string]bool{
	logging.EventTargetBreakerOpened: true, logging.EventTargetBreakerClosed: true,
	logging.EventDataCentreBreakerOpened: true, logging.EventDataCentreBreakerClosed: true,
	logging.EventRouteThrottled: true, logging.EventRouteUnthrottled: true,
	logging.EventHealthChecked: true, logging.EventHealthCheckFailed: true,
	logging.EventConfigApplied: true, logging.EventTargetAdded: true, logging.EventTargetRemoved: true,
	logging.EventTargetDraining: true, logging.EventTargetExpired: true, logging.EventExpiredTargetServed: true, logging.EventExpiredTargetNotServed: true,
	logging.EventDataCentreOutOfService: true, logging.EventDataCentreInService: true,
	logging.EventItemRejected: true, logging.EventPlatformUnavailable: true, logging.EventPlatformRecovered: true,
	logging.EventHistoryLost: true, logging.EventPlatformReadStarted: true, logging.EventPlatformReadStopped: true,
	logging.EventPeerConnected: true, logging.EventPeerDisconnected: true, logging.EventVersionApplied: true,
	logging.EventVersionNotApplied: true, logging.EventPaused: true, logging.EventSettingsReloaded: true,
	logging.EventStarting: true, logging.EventReady: true, logging.EventStopping: true, logging.EventStopped: true,
}

// reportSpan is the time that a report of lines left out tells about.
const reportSpan = time.Second

// count returns the number in a report of lines left out. One that can't be
// read counts as one line.
func count(l *Line) int {
	n, err := strconv.Atoi(l.Get("count"))
	if err != nil {
		return 1
	}
	return n
}

// Collector gathers the lines that belong to the story of one request.
type Collector struct {
	id      string
	around  time.Duration
	own     []Line
	beliefs []Line
	leftOut []Line
}

// New returns a collector for the request. Around is the time before the
// request's first line from which changes of belief are told.
func New(id string, around time.Duration) *Collector {
	return &Collector{id: id, around: around}
}

// Add takes a line.
func (c *Collector) Add(l *Line) {
	switch {
	case l.Get("id") == c.id:
		c.own = append(c.own, *l)
	case l.Event == logging.EventLinesDropped:
		c.leftOut = append(c.leftOut, *l)
	case beliefs[l.Event]:
		c.beliefs = append(c.beliefs, *l)
	}
}

// Story returns the story of the lines taken so far.
func (c *Collector) Story() *Story {
	s := &Story{ID: c.id, Steps: []Step{}}
	if len(c.own) == 0 {
		return s
	}
	vms := map[string]bool{}
	from, to := c.own[0].Time, c.own[0].Time
	for _, l := range c.own {
		vms[l.VM] = true
		if l.Time.Before(from) {
			from = l.Time
		}
		if l.Time.After(to) {
			to = l.Time
		}
		s.Steps = append(s.Steps, Step{Kind: KindRequest, Line: l})
	}
	from = from.Add(-c.around)
	near := func(l Line) bool { return vms[l.VM] && !l.Time.Before(from) && !l.Time.After(to) }
	for _, l := range c.beliefs {
		if near(l) {
			s.Steps = append(s.Steps, Step{Kind: KindBelief, Line: l})
		}
	}
	for _, l := range c.leftOut {
		if vms[l.VM] && !l.Time.Before(from) && !l.Time.Add(-reportSpan).After(to) {
			s.LeftOut += count(&l)
		}
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return a.Time.Compare(b.Time) })
	return s
}

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
	// KindStateChange is a change of what a node on the request's way believed.
	KindStateChange = "belief"
)

// Entry is one line of a story.
type Entry struct {
	Kind string `json:"kind"`
	Line
}

// Timeline is what the logs tell about one request.
type Timeline struct {
	ID string `json:"id"`
	// Entries are in the order of time. Clocks of VMs may differ by some
	// milliseconds.
	Entries []Entry `json:"steps"`
	// DroppedLines counts the lines that the nodes on the request's way left out
	// around it: the story may have gaps.
	DroppedLines int `json:"leftOut"`
}

// Found reports whether any line tells about the request itself.
func (s *Timeline) Found() bool {
	return slices.ContainsFunc(s.Entries, func(step Entry) bool { return step.Kind == KindRequest })
}

// Refusal returns the entry's refusal, nil when the logs have none.
func (s *Timeline) Refusal() *Line {
	for i := len(s.Entries) - 1; i >= 0; i-- {
		if s.Entries[i].Event == logging.EventRequestRefused {
			return &s.Entries[i].Line
		}
	}
	return nil
}

// beliefs are the events that tell what a node believes.
var beliefs = map[string]bool{
	logging.EventTargetEjected: true, logging.EventTargetReinstated: true,
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

// Timeline returns the story of the lines taken so far.
func (c *Collector) Timeline() *Timeline {
	s := &Timeline{ID: c.id, Entries: []Entry{}}
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
		s.Entries = append(s.Entries, Entry{Kind: KindRequest, Line: l})
	}
	from = from.Add(-c.around)
	near := func(l Line) bool { return vms[l.VM] && !l.Time.Before(from) && !l.Time.After(to) }
	for _, l := range c.beliefs {
		if near(l) {
			s.Entries = append(s.Entries, Entry{Kind: KindStateChange, Line: l})
		}
	}
	for _, l := range c.leftOut {
		if vms[l.VM] && !l.Time.Before(from) && !l.Time.Add(-reportSpan).After(to) {
			s.DroppedLines += count(&l)
		}
	}
	slices.SortStableFunc(s.Entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return s
}

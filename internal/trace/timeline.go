package trace

import (
	"slices"
	"strconv"
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// Kinds of entries.
const (
	// KindRequest is a decision about the request.
	KindRequest = "request"
	// KindStateChange is a change in the state or the configuration of a node
	// that handled the request.
	KindStateChange = "belief"
)

// Entry is one line of a timeline.
type Entry struct {
	Kind string `json:"kind"`
	Line
}

// Timeline holds the log lines that explain the outcome of one request.
type Timeline struct {
	ID string `json:"id"`
	// Entries are ordered by time. The clocks of VMs may differ by some
	// milliseconds.
	Entries []Entry `json:"steps"`
	// DroppedLines is the number of lines that the nodes that handled the
	// request dropped at that time. If it is not zero, entries may be missing.
	DroppedLines int `json:"leftOut"`
}

// Found reports whether any line is about the request itself.
func (t *Timeline) Found() bool {
	return slices.ContainsFunc(t.Entries, func(entry Entry) bool { return entry.Kind == KindRequest })
}

// Refusal returns the line of the final refusal that the caller received, or
// nil if there is none.
func (t *Timeline) Refusal() *Line {
	for i := len(t.Entries) - 1; i >= 0; i-- {
		if t.Entries[i].Event == logging.EventRequestRefused {
			return &t.Entries[i].Line
		}
	}
	return nil
}

// stateEvents holds the events that report a change in the state or the
// configuration of a node.
var stateEvents = map[string]bool{
	logging.EventTargetEjected: true, logging.EventTargetReinstated: true,
	logging.EventDataCentreBreakerOpened: true, logging.EventDataCentreBreakerClosed: true,
	logging.EventRouteThrottled: true, logging.EventRouteUnthrottled: true,
	logging.EventHealthChecked: true, logging.EventHealthCheckFailed: true,
	logging.EventOwnTargetLeaving: true, logging.EventOwnTargetServing: true,
	logging.EventConfigApplied: true, logging.EventTargetAdded: true, logging.EventTargetRemoved: true,
	logging.EventTargetDraining: true, logging.EventTargetExpired: true, logging.EventExpiredTargetServed: true, logging.EventExpiredTargetNotServed: true,
	logging.EventDataCentreOutOfService: true, logging.EventDataCentreInService: true,
	logging.EventItemRejected: true, logging.EventPlatformUnavailable: true, logging.EventPlatformRecovered: true,
	logging.EventHistoryLost: true, logging.EventListingChosen: true, logging.EventRevisionFell: true, logging.EventEraChanged: true, logging.EventResponseOutdated: true, logging.EventWatchUnanswered: true, logging.EventEraUnreadable: true, logging.EventPlatformReadStarted: true, logging.EventPlatformReadStopped: true,
	logging.EventPeerConnected: true, logging.EventPeerDisconnected: true, logging.EventVersionApplied: true,
	logging.EventVersionNotApplied: true, logging.EventPaused: true, logging.EventSettingsReloaded: true,
	logging.EventStarting: true, logging.EventReady: true, logging.EventStopping: true, logging.EventStopped: true,
}

// reportInterval is the time that a report of dropped lines covers. It is the
// interval at which package logging writes these reports.
const reportInterval = time.Second

// droppedLines returns the number in a report of dropped lines, or 1 if it is
// not valid.
func droppedLines(l *Line) int {
	n, err := strconv.Atoi(l.Get("count"))
	if err != nil {
		return 1
	}
	return n
}

// Collector collects the lines for the timeline of one request.
type Collector struct {
	id             string
	lookback       time.Duration
	requestLines   []Line
	stateLines     []Line
	droppedReports []Line
}

// New returns a collector for the request with the id. The timeline includes
// state changes from the time lookback before the first line of the request.
func New(id string, lookback time.Duration) *Collector {
	return &Collector{id: id, lookback: lookback}
}

// Add adds a line. Lines that are not relevant are ignored.
func (c *Collector) Add(l *Line) {
	switch {
	case l.Get("id") == c.id:
		c.requestLines = append(c.requestLines, *l)
	case l.Event == logging.EventLinesDropped:
		c.droppedReports = append(c.droppedReports, *l)
	case stateEvents[l.Event]:
		c.stateLines = append(c.stateLines, *l)
	}
}

// Timeline returns the timeline of the lines added so far. State changes and
// dropped lines are limited to the VMs of the request's own lines, and to their
// time span extended by the lookback. Lines about the configuration are limited
// by a configFilter too.
func (c *Collector) Timeline() *Timeline {
	t := &Timeline{ID: c.id, Entries: []Entry{}}
	if len(c.requestLines) == 0 {
		return t
	}
	vms := map[string]bool{}
	start, end := c.requestLines[0].Time, c.requestLines[0].Time
	for _, l := range c.requestLines {
		vms[l.VM] = true
		if l.Time.Before(start) {
			start = l.Time
		}
		if l.Time.After(end) {
			end = l.Time
		}
		t.Entries = append(t.Entries, Entry{Kind: KindRequest, Line: l})
	}
	start = start.Add(-c.lookback)
	inWindow := func(l Line) bool { return vms[l.VM] && !l.Time.Before(start) && !l.Time.After(end) }
	filter := newConfigFilter(c.requestLines)
	for _, l := range c.stateLines {
		if inWindow(l) && filter.allows(&l) {
			t.Entries = append(t.Entries, Entry{Kind: KindStateChange, Line: l})
		}
	}
	for _, l := range c.droppedReports {
		if vms[l.VM] && !l.Time.Before(start) && !l.Time.Add(-reportInterval).After(end) {
			t.DroppedLines += droppedLines(&l)
		}
	}
	slices.SortStableFunc(t.Entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return t
}

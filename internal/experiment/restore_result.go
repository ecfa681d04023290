package experiment

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/platform/standin"
)

// RestoreResult holds the figures of the play of one restore.
type RestoreResult struct {
	Nodes       int `json:"nodes"`
	DataCentres int `json:"dataCentres"`
	// CountedSeconds is the time in which calls were counted: from the beginning of
	// the disruption to the end of the play.
	CountedSeconds float64       `json:"countedSeconds"`
	Calls          standin.Calls `json:"calls"`
	// PeakCalls is the largest number of calls in a second.
	PeakCalls int `json:"peakCallsPerSecond"`
	// Era says when the nodes had the later era, from the restore on, and Route when
	// they served a new route, from its acknowledgement on. Route is nil if none was
	// added.
	Era      *Progress        `json:"era"`
	Route    *Progress        `json:"route,omitempty"`
	Departed []DepartedTarget `json:"departed"`
	Kept     []KeptItems      `json:"kept"`
}

// Progress says how many nodes have reached something, and how long the last of them
// took.
type Progress struct {
	Nodes   int     `json:"nodes"`
	Seconds float64 `json:"seconds"`
}

// progress returns the progress from a time on. The times of nodes that have not reached
// it are zero.
func progress(from time.Time, times []time.Time) *Progress {
	p := &Progress{}
	for _, at := range times {
		if !at.IsZero() {
			p.Nodes++
			p.Seconds = max(p.Seconds, at.Sub(from).Seconds())
		}
	}
	return p
}

// DepartedTarget is a target that left, or announced it, before the restore.
type DepartedTarget struct {
	Target string `json:"target"`
	What   string `json:"what"`
	// Late is the number of requests that reached it more than BoundSeconds after it
	// left, LastSeconds the time from then until the last one, 0 if there was none.
	BoundSeconds float64 `json:"boundSeconds"`
	Late         int     `json:"late"`
	LastSeconds  float64 `json:"lastSeconds"`
}

// KeptItems is what a node reports about its first change to a later era.
type KeptItems struct {
	Node string `json:"node"`
	// Version is the version in force at the end of the play.
	Version vanillabarrow.Version `json:"version"`
	// Changes is the number of changes to a later era.
	Changes int `json:"changes"`
	// Kept is the number of items of the earlier era that stayed in effect beside
	// those of the copy, Lost that of items that the copy lacked, KeptAtEnd that of
	// items that were kept at the end of the play.
	Kept      int `json:"kept"`
	Lost      int `json:"lost"`
	KeptAtEnd int `json:"keptAtEnd"`
}

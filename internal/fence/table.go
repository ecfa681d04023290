// Package fence remembers the attempts that reached a gate, so that questions
// about them have true answers. It does no I/O.
package fence

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// EpochLength is the period after which a gate changes its token.
	EpochLength = 15 * time.Second
	// RetainedEpochs is the number of epochs that a gate remembers. Together they
	// are longer than any request may take.
	RetainedEpochs = 8
	// MaxRecords bounds the records. A gate with a full table refuses work.
	MaxRecords = 50_000
	// MaxStoredBytes bounds the stored answers. The oldest go first.
	MaxStoredBytes = 4 << 20
	// MaxStoredBodyBytes is the largest body that is stored.
	MaxStoredBodyBytes = 64 << 10
)

type record struct {
	state    vanillabarrow.AttemptState
	response *vanillabarrow.Response
	// retain is set for attempts whose record outlives their end.
	retain bool
}

// Table holds the attempts of one gate since its start.
type Table struct {
	mu          *kernel.Mutex
	incarnation string
	start       time.Time
	records     map[string]*record
	// byEpoch lists the ids that expire with each epoch.
	byEpoch     map[uint64][]string
	oldestEpoch uint64
	storedIDs   []string
	storedBytes int
	maxRecords  int
}

// New returns an empty table for a gate that starts now.
func New(incarnation string, now time.Time) *Table {
	return NewSized(incarnation, now, MaxRecords)
}

// NewSized returns an empty table with a bound on its records.
func NewSized(incarnation string, now time.Time, maxRecords int) *Table {
	return &Table{
		mu:          kernel.NewMutex(kernel.RankFence),
		incarnation: incarnation,
		start:       now,
		records:     map[string]*record{},
		byEpoch:     map[uint64][]string{},
		maxRecords:  maxRecords,
	}
}

// Token returns the token that attempts sent now should carry.
func (t *Table) Token(now time.Time) vanillabarrow.Token {
	return vanillabarrow.Token{Incarnation: t.incarnation, Epoch: t.epoch(now)}
}

func (t *Table) epoch(now time.Time) uint64 {
	return uint64(now.Sub(t.start) / EpochLength)
}

// Begin records the arrival of an attempt. With keep set the record outlives
// the end of the attempt. A refusal with VerdictNotRun holds for every copy of
// the message, whenever it arrives.
func (t *Table) Begin(id string, token vanillabarrow.Token, retain bool, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if !t.retains(token) {
		r := vanillabarrow.NotRun(vanillabarrow.ReasonStaleToken, "")
		r.Token = t.Token(now)
		return r
	}
	if existing, ok := t.records[id]; ok {
		if existing.state == vanillabarrow.AttemptFenced {
			return vanillabarrow.NotRun(vanillabarrow.ReasonFenced, "")
		}
		// The first arrival has its own outcome, so nothing is said about it.
		return vanillabarrow.MayHaveRun(vanillabarrow.ReasonDuplicate, "attempt arrived twice")
	}
	if len(t.records) >= t.maxRecords {
		// Without a record, a second copy of the message may still run.
		return vanillabarrow.MayHaveRun(vanillabarrow.ReasonTableFull, "too many attempts are remembered")
	}
	t.add(id, &record{state: vanillabarrow.AttemptRunning, retain: retain}, now)
	return nil
}

func (t *Table) add(id string, r *record, now time.Time) {
	t.records[id] = r
	epoch := t.epoch(now)
	t.byEpoch[epoch] = append(t.byEpoch[epoch], id)
}

// retains reports whether every attempt with the token would be on record.
func (t *Table) retains(token vanillabarrow.Token) bool {
	return token.Incarnation == t.incarnation && token.Epoch >= t.oldestEpoch
}

// expire drops the records of epochs that no valid token names.
func (t *Table) expire(now time.Time) {
	currentEpoch := t.epoch(now)
	if currentEpoch < RetainedEpochs {
		return
	}
	for ; t.oldestEpoch <= currentEpoch-RetainedEpochs; t.oldestEpoch++ {
		for _, id := range t.byEpoch[t.oldestEpoch] {
			t.remove(id)
		}
		delete(t.byEpoch, t.oldestEpoch)
	}
}

func (t *Table) remove(id string) {
	r, ok := t.records[id]
	if !ok {
		return
	}
	if r.response != nil {
		t.storedBytes -= len(r.response.Body)
	}
	delete(t.records, id)
}

// Finish records the end of an attempt: its answer, or the refusal that ended
// it.
func (t *Table) Finish(id string, response *vanillabarrow.Response, refusal *vanillabarrow.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	if !ok {
		return
	}
	switch {
	case refusal != nil && refusal.Verdict == vanillabarrow.VerdictNotRun:
		// A second copy of the message must not make the refusal untrue.
		r.state = vanillabarrow.AttemptFenced
	case !r.retain:
		t.remove(id)
	case refusal == nil:
		r.state = vanillabarrow.AttemptFinished
		t.store(id, r, response)
	default:
		r.state = vanillabarrow.AttemptFailed
	}
}

// store keeps the answer when it is whole and small.
func (t *Table) store(id string, r *record, response *vanillabarrow.Response) {
	if response.Stream != nil || len(response.Body) > MaxStoredBodyBytes {
		return
	}
	r.response = response
	t.storedBytes += len(response.Body)
	t.storedIDs = append(t.storedIDs, id)
	for t.storedBytes > MaxStoredBytes || len(t.storedIDs) > t.maxRecords {
		t.evictResponse(t.storedIDs[0])
		t.storedIDs = t.storedIDs[1:]
	}
}

func (t *Table) evictResponse(id string) {
	if r, ok := t.records[id]; ok && r.response != nil {
		t.storedBytes -= len(r.response.Body)
		r.response = nil
	}
}

// Query reports on the attempt. An attempt that never arrived is fenced: it will
// be refused and never runs.
func (t *Table) Query(id string, token vanillabarrow.Token, now time.Time) *vanillabarrow.AttemptReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if r, ok := t.records[id]; ok {
		return &vanillabarrow.AttemptReport{State: r.state, Response: r.response}
	}
	if !t.retains(token) || len(t.records) >= t.maxRecords {
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptUnknown}
	}
	t.add(id, &record{state: vanillabarrow.AttemptFenced, retain: true}, now)
	return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptFenced}
}

// Stats describes the table for metrics and the state dump.
type Stats struct {
	Incarnation   string `json:"incarnation"`
	Epoch         uint64 `json:"epoch"`
	Records       int    `json:"records"`
	Responses     int    `json:"answers"`
	ResponseBytes int    `json:"answerBytes"`
}

// Stats returns the sizes.
func (t *Table) Stats(now time.Time) Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{
		Incarnation:   t.incarnation,
		Epoch:         t.epoch(now),
		Records:       len(t.records),
		Responses:     len(t.storedIDs),
		ResponseBytes: t.storedBytes,
	}
}

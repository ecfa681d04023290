// Package fence keeps the records of attempts at a gate. A sender that got no
// response can query what became of its attempt; an attempt that has not arrived
// is fenced by the query and will be refused. The package does no I/O.
package fence

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// EpochLength is the period after which the token of a gate changes.
	EpochLength = 15 * time.Second
	// RetainedEpochs is the number of epochs for which a gate keeps records.
	// Together, 2 minutes, they are longer than any request may take.
	RetainedEpochs = 8
	// MaxRecords is the maximum number of records. A full table refuses attempts.
	MaxRecords = 50_000
	// MaxStoredBytes limits the total size of stored responses. The responses
	// stored first are evicted first.
	MaxStoredBytes = 4 << 20
	// MaxStoredBodyBytes is the maximum size of one stored response body.
	MaxStoredBodyBytes = 64 << 10
)

// record is the record of one attempt.
type record struct {
	state    vanillabarrow.AttemptState
	response *vanillabarrow.Response
	// retain is set if the record is kept after the end of the attempt. The record
	// of an attempt that did not run is always kept.
	retain bool
	// mayHaveRun is set if an earlier copy of the message may have run.
	mayHaveRun bool
}

// Table holds the attempt records of one gate incarnation.
type Table struct {
	mu          *kernel.Mutex
	incarnation string
	start       time.Time
	records     map[string]*record
	// byEpoch holds the ids of attempts by the epoch in which they were recorded.
	byEpoch     map[uint64][]string
	oldestEpoch uint64
	// storedIDs holds the ids of attempts whose responses were stored, oldest
	// first. Some of the responses may have been evicted or have expired.
	storedIDs []string
	// storedResponses and storedBytes are the number and total size of the stored
	// responses.
	storedResponses int
	storedBytes     int
	maxRecords      int
	ended           *endedAttempts
}

// New returns an empty table for a gate that starts now.
func New(incarnation string, now time.Time) *Table {
	return NewSized(incarnation, now, MaxRecords)
}

// NewSized returns an empty table with the given maximum number of records.
func NewSized(incarnation string, now time.Time, maxRecords int) *Table {
	return &Table{
		mu:          kernel.NewMutex(kernel.RankFence),
		incarnation: incarnation,
		start:       now,
		records:     map[string]*record{},
		byEpoch:     map[uint64][]string{},
		maxRecords:  maxRecords,
		ended:       newEndedAttempts(),
	}
}

// Token returns the current token.
func (t *Table) Token(now time.Time) vanillabarrow.Token {
	return vanillabarrow.Token{Incarnation: t.incarnation, Epoch: t.epoch(now)}
}

func (t *Table) epoch(now time.Time) uint64 {
	return uint64(now.Sub(t.start) / EpochLength)
}

// Begin records the arrival of an attempt. With retain set, the record is kept
// after the attempt ends, even if it ran. The error is a *Refusal. If its verdict
// is VerdictNotRun, duplicates of the message that arrive later are refused too.
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
		// The first copy has its own outcome, which this refusal must not
		// contradict.
		return vanillabarrow.MayHaveRun(vanillabarrow.ReasonDuplicate, "duplicate of an attempt that arrived before")
	}
	if len(t.records) >= t.maxRecords {
		// Without a record, a duplicate of the message could still run later.
		return vanillabarrow.MayHaveRun(vanillabarrow.ReasonTableFull, "the table of attempts is full")
	}
	t.add(id, &record{state: vanillabarrow.AttemptRunning, retain: retain, mayHaveRun: t.ended.mayInclude(id, token.Epoch)}, now)
	return nil
}

func (t *Table) add(id string, r *record, now time.Time) {
	t.records[id] = r
	epoch := t.epoch(now)
	t.byEpoch[epoch] = append(t.byEpoch[epoch], id)
}

// retains reports whether the records of attempts with the token are still kept,
// so that a missing record proves that the attempt has not arrived.
func (t *Table) retains(token vanillabarrow.Token) bool {
	return token.Incarnation == t.incarnation && token.Epoch >= t.oldestEpoch
}

// expire removes the records of epochs whose tokens are no longer valid.
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
	t.ended.expire(t.oldestEpoch)
}

func (t *Table) remove(id string) {
	r, ok := t.records[id]
	if !ok {
		return
	}
	t.dropResponse(r)
	delete(t.records, id)
}

// Finish records the end of an attempt with its response or refusal.
func (t *Table) Finish(id string, response *vanillabarrow.Response, refusal *vanillabarrow.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[id]
	if !ok {
		return
	}
	switch {
	case refusal != nil && refusal.Verdict == vanillabarrow.VerdictNotRun:
		// A duplicate of the message must not run after this refusal.
		r.state = vanillabarrow.AttemptFenced
	case !r.retain:
		t.remove(id)
		t.ended.add(id, t.epoch(time.Now()))
	case refusal == nil:
		r.state = vanillabarrow.AttemptFinished
		t.store(id, r, response)
	default:
		r.state = vanillabarrow.AttemptFailed
	}
}

// store stores the response if it is completely buffered and not too large.
func (t *Table) store(id string, r *record, response *vanillabarrow.Response) {
	if response.Stream != nil || len(response.Body) > MaxStoredBodyBytes {
		return
	}
	r.response = response
	t.storedResponses++
	t.storedBytes += response.BufferedBytes()
	t.storedIDs = append(t.storedIDs, id)
	for t.storedBytes > MaxStoredBytes || len(t.storedIDs) > t.maxRecords {
		t.evictResponse(t.storedIDs[0])
		t.storedIDs = t.storedIDs[1:]
	}
}

func (t *Table) evictResponse(id string) {
	if r, ok := t.records[id]; ok {
		t.dropResponse(r)
	}
}

// dropResponse removes the stored response of the record, if there is one.
func (t *Table) dropResponse(r *record) {
	if r.response == nil {
		return
	}
	t.storedResponses--
	t.storedBytes -= r.response.BufferedBytes()
	r.response = nil
}

// Query returns the state of the attempt. An attempt that has not arrived is
// fenced: it will be refused if it arrives later.
func (t *Table) Query(id string, token vanillabarrow.Token, now time.Time) *vanillabarrow.AttemptReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if r, ok := t.records[id]; ok {
		return r.report()
	}
	if !t.retains(token) || len(t.records) >= t.maxRecords {
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptUnknown}
	}
	r := &record{state: vanillabarrow.AttemptFenced, retain: true, mayHaveRun: t.ended.mayInclude(id, token.Epoch)}
	t.add(id, r, now)
	return r.report()
}

func (r *record) report() *vanillabarrow.AttemptReport {
	return &vanillabarrow.AttemptReport{
		State:    r.state,
		NotRun:   r.state == vanillabarrow.AttemptFenced && !r.mayHaveRun,
		Response: r.response,
	}
}

// Stats describes the table for the state dump.
type Stats struct {
	Incarnation   string `json:"incarnation"`
	Epoch         uint64 `json:"epoch"`
	Records       int    `json:"records"`
	Responses     int    `json:"answers"`
	ResponseBytes int    `json:"answerBytes"`
}

// Stats returns the current sizes of the table.
func (t *Table) Stats(now time.Time) Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{
		Incarnation:   t.incarnation,
		Epoch:         t.epoch(now),
		Records:       len(t.records),
		Responses:     t.storedResponses,
		ResponseBytes: t.storedBytes,
	}
}

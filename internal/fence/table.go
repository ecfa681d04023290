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
	// EpochsKept is the number of epochs that a gate remembers. Together they
	// are longer than any request may take.
	EpochsKept = 8
	// MaxRecords bounds the records. A gate with a full table refuses work.
	MaxRecords = 50_000
	// MaxAnswerBytes bounds the stored answers. The oldest go first.
	MaxAnswerBytes = 4 << 20
	// MaxStoredAnswer is the largest body that is stored.
	MaxStoredAnswer = 64 << 10
)

type record struct {
	state  vanillabarrow.AttemptState
	answer *vanillabarrow.Response
	// keep is set for attempts whose record outlives their end.
	keep bool
}

// Table holds the attempts of one gate since its start.
type Table struct {
	mu          *kernel.Mutex
	incarnation string
	start       time.Time
	records     map[string]*record
	// byEpoch lists the ids that expire with each epoch.
	byEpoch map[uint64][]string
	oldest  uint64
	stored  []string
	bytes   int
	max     int
}

// New returns an empty table for a gate that starts now.
func New(incarnation string, now time.Time) *Table {
	return NewSized(incarnation, now, MaxRecords)
}

// NewSized returns an empty table with a bound on its records.
func NewSized(incarnation string, now time.Time, records int) *Table {
	return &Table{
		mu:          kernel.NewMutex(kernel.RankFence),
		incarnation: incarnation,
		start:       now,
		records:     map[string]*record{},
		byEpoch:     map[uint64][]string{},
		max:         records,
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
func (t *Table) Begin(id string, token vanillabarrow.Token, keep bool, now time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if !t.remembers(token) {
		r := vanillabarrow.NotRun(vanillabarrow.ReasonStaleToken, "")
		r.Token = t.Token(now)
		return r
	}
	if old, ok := t.records[id]; ok {
		if old.state == vanillabarrow.AttemptFenced {
			return vanillabarrow.NotRun(vanillabarrow.ReasonFenced, "")
		}
		// The first arrival has its own outcome, so nothing is said about it.
		return vanillabarrow.MayHaveRun(vanillabarrow.ReasonDuplicate, "attempt arrived twice")
	}
	if len(t.records) >= t.max {
		// Without a record, a second copy of the message may still run.
		return vanillabarrow.MayHaveRun(vanillabarrow.ReasonTableFull, "too many attempts are remembered")
	}
	t.put(id, &record{state: vanillabarrow.AttemptRunning, keep: keep}, now)
	return nil
}

func (t *Table) put(id string, r *record, now time.Time) {
	t.records[id] = r
	e := t.epoch(now)
	t.byEpoch[e] = append(t.byEpoch[e], id)
}

// remembers reports whether every attempt with the token would be on record.
func (t *Table) remembers(token vanillabarrow.Token) bool {
	return token.Incarnation == t.incarnation && token.Epoch >= t.oldest
}

// expire drops the records of epochs that no valid token names.
func (t *Table) expire(now time.Time) {
	current := t.epoch(now)
	if current < EpochsKept {
		return
	}
	for ; t.oldest <= current-EpochsKept; t.oldest++ {
		for _, id := range t.byEpoch[t.oldest] {
			t.drop(id)
		}
		delete(t.byEpoch, t.oldest)
	}
}

func (t *Table) drop(id string) {
	r, ok := t.records[id]
	if !ok {
		return
	}
	if r.answer != nil {
		t.bytes -= len(r.answer.Body)
	}
	delete(t.records, id)
}

// Finish records the end of an attempt: its answer, or the refusal that ended
// it.
func (t *Table) Finish(id string, answer *vanillabarrow.Response, refusal *vanillabarrow.Refusal) {
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
	case !r.keep:
		t.drop(id)
	case refusal == nil:
		r.state = vanillabarrow.AttemptFinished
		t.store(id, r, answer)
	default:
		r.state = vanillabarrow.AttemptFailed
	}
}

// store keeps the answer when it is whole and small.
func (t *Table) store(id string, r *record, answer *vanillabarrow.Response) {
	if answer.Stream != nil || len(answer.Body) > MaxStoredAnswer {
		return
	}
	r.answer = answer
	t.bytes += len(answer.Body)
	t.stored = append(t.stored, id)
	for t.bytes > MaxAnswerBytes || len(t.stored) > t.max {
		t.forgetAnswer(t.stored[0])
		t.stored = t.stored[1:]
	}
}

func (t *Table) forgetAnswer(id string) {
	if r, ok := t.records[id]; ok && r.answer != nil {
		t.bytes -= len(r.answer.Body)
		r.answer = nil
	}
}

// Ask reports on the attempt. An attempt that never arrived is fenced: it will
// be refused and never runs.
func (t *Table) Ask(id string, token vanillabarrow.Token, now time.Time) *vanillabarrow.AttemptReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if r, ok := t.records[id]; ok {
		return &vanillabarrow.AttemptReport{State: r.state, Response: r.answer}
	}
	if !t.remembers(token) || len(t.records) >= t.max {
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptUnknown}
	}
	t.put(id, &record{state: vanillabarrow.AttemptFenced, keep: true}, now)
	return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptFenced}
}

// Stats describes the table for metrics and the state dump.
type Stats struct {
	Incarnation string `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	Records     int    `json:"records"`
	Answers     int    `json:"answers"`
	AnswerBytes int    `json:"answerBytes"`
}

// Stats returns the sizes.
func (t *Table) Stats(now time.Time) Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{
		Incarnation: t.incarnation,
		Epoch:       t.epoch(now),
		Records:     len(t.records),
		Answers:     len(t.stored),
		AnswerBytes: t.bytes,
	}
}

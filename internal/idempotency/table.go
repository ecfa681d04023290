// Package idempotency remembers the idempotency keys that a gate has seen, so
// that a caller's resend gets the first answer and never a second run. It does
// no I/O.
package idempotency

import (
	"context"
	"time"

	"github.com/google/uuid"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// MaxClockSkew is the largest difference assumed between the clocks of a
	// caller and a gate.
	MaxClockSkew = time.Second
	// MaxKeys bounds the keys. A gate with a full table refuses new keys.
	MaxKeys = 20_000
	// MaxAnswerBytes bounds the stored answers. The oldest go first.
	MaxAnswerBytes = 4 << 20
	// MaxKeyLength bounds one key.
	MaxKeyLength = 255
)

type entry struct {
	fingerprint uint64
	done        chan struct{}
	finished    bool
	answer      *vanillabarrow.Response
	refusal     *vanillabarrow.Refusal
	expires     time.Time
	// movedTo is the configuration version by which another gate became home
	// to the key, 0 while this one is.
	movedTo vanillabarrow.Version
}

// Table holds the keys of one gate.
type Table struct {
	mu *kernel.Mutex
	// since is when the gate began to see every use of its keys.
	since   time.Time
	entries map[string]*entry
	order   []string
	stored  []string
	bytes   int
	max     int
}

// New returns an empty table for a gate that starts now.
func New(now time.Time) *Table { return NewSized(now, MaxKeys) }

// NewSized returns an empty table with a bound on its keys.
func NewSized(now time.Time, keys int) *Table {
	return &Table{
		mu:      kernel.NewMutex(kernel.RankIdempotency),
		since:   now,
		entries: map[string]*entry{},
		max:     keys,
	}
}

// Use names one use of a key.
type Use struct {
	Key string
	// Fingerprint is a hash of the request that must be the same for each use.
	Fingerprint uint64
	Window      time.Duration
	// Since is when the record of the key's homes begins, zero when it covers
	// the window.
	Since time.Time
}

// Begin records the use. It returns nil when the request is the first with
// its key and must run; End has to follow. Otherwise it waits for the first
// use to end and returns its answer, or a refusal.
func (t *Table) Begin(ctx context.Context, use Use, now time.Time) (*vanillabarrow.Response, error) {
	for {
		e, err := t.enter(use, now)
		if e == nil {
			return nil, err
		}
		select {
		case <-e.done:
		case <-ctx.Done():
			return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonKeyInUse, "the first use of the key still runs")
		}
		if answer, refusal, ended := t.outcome(e); ended {
			if refusal != nil {
				return nil, refusal
			}
			return answer, nil
		}
		// The first use did not run, so this one may.
	}
}

// enter returns the entry of an earlier use, or nil after recording the first.
func (t *Table) enter(use Use, now time.Time) (*entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if e, ok := t.entries[use.Key]; ok {
		if e.movedTo > 0 {
			return nil, vanillabarrow.NotRun(vanillabarrow.ReasonWrongTarget, "another gate is home to the key")
		}
		if e.fingerprint != use.Fingerprint {
			return nil, vanillabarrow.NotRun(vanillabarrow.ReasonDuplicate, "the key was used with another request")
		}
		return e, nil
	}
	if !t.knows(use.Key, use.Window, use.Since, now) {
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonKeyUnknown,
			"the key may have been used before this gate started")
	}
	if t.full() {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonTableFull, "too many keys are remembered")
	}
	t.entries[use.Key] = &entry{
		fingerprint: use.Fingerprint,
		done:        make(chan struct{}),
		expires:     now.Add(use.Window),
	}
	t.order = append(t.order, use.Key)
	return nil, nil
}

// knows reports whether a use of the key within the window, since this gate
// started or became home, would be on record. A key of the form UUIDv7 tells
// when it was made.
func (t *Table) knows(key string, window time.Duration, since, now time.Time) bool {
	if t.since.After(since) {
		since = t.since
	}
	if now.Sub(since) >= window {
		return true
	}
	made, ok := MadeAt(key)
	return ok && made.After(since.Add(MaxClockSkew)) && made.Before(now.Add(MaxClockSkew))
}

// full reports whether no key can be added. Keys that were freed count until
// their place in the order has passed.
func (t *Table) full() bool { return len(t.entries) >= t.max || len(t.order) >= 2*t.max }

// Surrender gives the key up to the gate that asks, which is its home by the
// given configuration version. It reports what is known of the key; from then
// on the key is refused here. A report of AttemptFenced proves that the key did
// not run here.
func (t *Table) Surrender(use Use, version vanillabarrow.Version, now time.Time) *vanillabarrow.AttemptReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	e, ok := t.entries[use.Key]
	switch {
	case ok && e.movedTo > 0:
		e.movedTo = max(e.movedTo, version)
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptFenced}
	case ok && !e.finished:
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptRunning}
	case ok && (e.refusal != nil || e.fingerprint != use.Fingerprint):
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptFailed}
	case ok:
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptFinished, Response: e.answer}
	case !t.knows(use.Key, use.Window, use.Since, now) || t.full():
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptUnknown}
	}
	t.entries[use.Key] = &entry{finished: true, movedTo: version, expires: now.Add(use.Window)}
	t.order = append(t.order, use.Key)
	return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptFenced}
}

// Regain takes a key back that was surrendered, once a later version makes
// this gate its home again and the gates in between have been asked. Two gates
// that hold different versions can't both regain a key.
func (t *Table) Regain(key string, version vanillabarrow.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[key]; ok && e.movedTo > 0 && e.movedTo < version {
		delete(t.entries, key)
	}
}

// MadeAt returns the time in a key of the form UUIDv7.
func MadeAt(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// End records how the first use of a key ended. A use that did not run frees
// the key.
func (t *Table) End(key string, answer *vanillabarrow.Response, refusal *vanillabarrow.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	if !ok || e.finished {
		return
	}
	defer close(e.done)
	if refusal != nil && refusal.Verdict == vanillabarrow.VerdictNotRun {
		delete(t.entries, key)
		return
	}
	e.finished = true
	e.refusal = refusal
	if refusal != nil {
		return
	}
	if answer.Stream != nil {
		e.refusal = lost()
		return
	}
	e.answer = answer
	t.bytes += len(answer.Body)
	t.stored = append(t.stored, key)
	for t.bytes > MaxAnswerBytes {
		t.forgetAnswer(t.stored[0])
		t.stored = t.stored[1:]
	}
}

func lost() *vanillabarrow.Refusal {
	return vanillabarrow.MayHaveRun(vanillabarrow.ReasonAnswerLost, "the key was used; its answer is no longer stored")
}

func (t *Table) forgetAnswer(key string) {
	e, ok := t.entries[key]
	if !ok || e.answer == nil {
		return
	}
	t.bytes -= len(e.answer.Body)
	e.answer = nil
	e.refusal = lost()
}

func (t *Table) outcome(e *entry) (*vanillabarrow.Response, *vanillabarrow.Refusal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.answer, e.refusal, e.finished
}

// expire drops keys whose window has passed and whose use has ended.
func (t *Table) expire(now time.Time) {
	kept := 0
	for kept < len(t.order) {
		key := t.order[kept]
		e, ok := t.entries[key]
		if ok && (!e.finished || now.Before(e.expires)) {
			break
		}
		t.forgetAnswer(key)
		delete(t.entries, key)
		kept++
	}
	t.order = t.order[kept:]
	for len(t.stored) > 0 {
		if _, ok := t.entries[t.stored[0]]; ok {
			break
		}
		t.stored = t.stored[1:]
	}
}

// Stats describes the table for metrics and the state dump.
type Stats struct {
	Keys        int       `json:"keys"`
	AnswerBytes int       `json:"answerBytes"`
	Since       time.Time `json:"since"`
}

// Stats returns the sizes.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Keys: len(t.entries), AnswerBytes: t.bytes, Since: t.since}
}

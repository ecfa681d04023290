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
	// MaxStoredBytes bounds the stored answers. The oldest go first.
	MaxStoredBytes = 4 << 20
	// MaxKeyLength bounds one key.
	MaxKeyLength = 255
)

type entry struct {
	fingerprint uint64
	done        chan struct{}
	finished    bool
	response    *vanillabarrow.Response
	refusal     *vanillabarrow.Refusal
	expires     time.Time
	// releaseVersion is the configuration version by which another gate became home
	// to the key, 0 while this one is.
	releaseVersion vanillabarrow.Version
}

// Table holds the keys of one gate.
type Table struct {
	mu *kernel.Mutex
	// recordedSince is when the gate began to see every use of its keys.
	recordedSince time.Time
	entries       map[string]*entry
	keysByAge     []string
	storedKeys    []string
	storedBytes   int
	maxKeys       int
}

// New returns an empty table for a gate that starts now.
func New(now time.Time) *Table { return NewSized(now, MaxKeys) }

// NewSized returns an empty table with a bound on its keys.
func NewSized(now time.Time, maxKeys int) *Table {
	return &Table{
		mu:            kernel.NewMutex(kernel.RankIdempotency),
		recordedSince: now,
		entries:       map[string]*entry{},
		maxKeys:       maxKeys,
	}
}

// KeyUse names one use of a key.
type KeyUse struct {
	Key string
	// Fingerprint is a hash of the request that must be the same for each use.
	Fingerprint uint64
	Window      time.Duration
	// HistoryStart is when the record of the key's homes begins, zero when it covers
	// the window.
	HistoryStart time.Time
}

// Begin records the use. It returns nil when the request is the first with
// its key and must run; End has to follow. Otherwise it waits for the first
// use to end and returns its answer, or a refusal.
func (t *Table) Begin(ctx context.Context, use KeyUse, now time.Time) (*vanillabarrow.Response, error) {
	for {
		e, err := t.lookupOrAdd(use, now)
		if e == nil {
			return nil, err
		}
		select {
		case <-e.done:
		case <-ctx.Done():
			return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonKeyInUse, "the first use of the key still runs")
		}
		if response, refusal, ended := t.outcome(e); ended {
			if refusal != nil {
				return nil, refusal
			}
			return response, nil
		}
		// The first use did not run, so this one may.
	}
}

// lookupOrAdd returns the entry of an earlier use, or nil after recording the first.
func (t *Table) lookupOrAdd(use KeyUse, now time.Time) (*entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if e, ok := t.entries[use.Key]; ok {
		if e.releaseVersion > 0 {
			return nil, vanillabarrow.NotRun(vanillabarrow.ReasonWrongTarget, "another gate is home to the key")
		}
		if e.fingerprint != use.Fingerprint {
			return nil, vanillabarrow.NotRun(vanillabarrow.ReasonDuplicate, "the key was used with another request")
		}
		return e, nil
	}
	if !t.coversWindow(use.Key, use.Window, use.HistoryStart, now) {
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonKeyUnknown,
			"the key may have been used before this gate started")
	}
	if t.isFull() {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonTableFull, "too many keys are remembered")
	}
	t.entries[use.Key] = &entry{
		fingerprint: use.Fingerprint,
		done:        make(chan struct{}),
		expires:     now.Add(use.Window),
	}
	t.keysByAge = append(t.keysByAge, use.Key)
	return nil, nil
}

// coversWindow reports whether a use of the key within the window, since this gate
// started or became home, would be on record. A key of the form UUIDv7 tells
// when it was made.
func (t *Table) coversWindow(key string, window time.Duration, since, now time.Time) bool {
	if t.recordedSince.After(since) {
		since = t.recordedSince
	}
	if now.Sub(since) >= window {
		return true
	}
	created, ok := UUIDv7Time(key)
	return ok && created.After(since.Add(MaxClockSkew)) && created.Before(now.Add(MaxClockSkew))
}

// isFull reports whether no key can be added. Keys that were freed count until
// their place in the order has passed.
func (t *Table) isFull() bool { return len(t.entries) >= t.maxKeys || len(t.keysByAge) >= 2*t.maxKeys }

// Release gives the key up to the gate that asks, which is its home by the
// given configuration version. It reports what is known of the key; from then
// on the key is refused here. A report of AttemptFenced proves that the key did
// not run here.
func (t *Table) Release(use KeyUse, version vanillabarrow.Version, now time.Time) *vanillabarrow.AttemptReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	e, ok := t.entries[use.Key]
	switch {
	case ok && e.releaseVersion > 0:
		e.releaseVersion = max(e.releaseVersion, version)
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptFenced}
	case ok && !e.finished:
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptRunning}
	case ok && (e.refusal != nil || e.fingerprint != use.Fingerprint):
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptFailed}
	case ok:
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptFinished, Response: e.response}
	case !t.coversWindow(use.Key, use.Window, use.HistoryStart, now) || t.isFull():
		return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptUnknown}
	}
	t.entries[use.Key] = &entry{finished: true, releaseVersion: version, expires: now.Add(use.Window)}
	t.keysByAge = append(t.keysByAge, use.Key)
	return &vanillabarrow.AttemptReport{State: vanillabarrow.AttemptFenced}
}

// Reclaim takes a key back that was surrendered, once a later version makes
// this gate its home again and the gates in between have been asked. Two gates
// that hold different versions can't both regain a key.
func (t *Table) Reclaim(key string, version vanillabarrow.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[key]; ok && e.releaseVersion > 0 && e.releaseVersion < version {
		delete(t.entries, key)
	}
}

// UUIDv7Time returns the time in a key of the form UUIDv7.
func UUIDv7Time(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// End records how the first use of a key ended. A use that did not run frees
// the key.
func (t *Table) End(key string, response *vanillabarrow.Response, refusal *vanillabarrow.Refusal) {
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
	if response.Stream != nil {
		e.refusal = responseLost()
		return
	}
	e.response = response
	t.storedBytes += len(response.Body)
	t.storedKeys = append(t.storedKeys, key)
	for t.storedBytes > MaxStoredBytes {
		t.evictResponse(t.storedKeys[0])
		t.storedKeys = t.storedKeys[1:]
	}
}

func responseLost() *vanillabarrow.Refusal {
	return vanillabarrow.MayHaveRun(vanillabarrow.ReasonAnswerLost, "the key was used; its answer is no longer stored")
}

func (t *Table) evictResponse(key string) {
	e, ok := t.entries[key]
	if !ok || e.response == nil {
		return
	}
	t.storedBytes -= len(e.response.Body)
	e.response = nil
	e.refusal = responseLost()
}

func (t *Table) outcome(e *entry) (*vanillabarrow.Response, *vanillabarrow.Refusal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.response, e.refusal, e.finished
}

// expire drops keys whose window has passed and whose use has ended.
func (t *Table) expire(now time.Time) {
	expired := 0
	for expired < len(t.keysByAge) {
		key := t.keysByAge[expired]
		e, ok := t.entries[key]
		if ok && (!e.finished || now.Before(e.expires)) {
			break
		}
		t.evictResponse(key)
		delete(t.entries, key)
		expired++
	}
	t.keysByAge = t.keysByAge[expired:]
	for len(t.storedKeys) > 0 {
		if _, ok := t.entries[t.storedKeys[0]]; ok {
			break
		}
		t.storedKeys = t.storedKeys[1:]
	}
}

// Stats describes the table for metrics and the state dump.
type Stats struct {
	Keys          int       `json:"keys"`
	ResponseBytes int       `json:"answerBytes"`
	Since         time.Time `json:"since"`
}

// Stats returns the sizes.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Keys: len(t.entries), ResponseBytes: t.storedBytes, Since: t.recordedSince}
}

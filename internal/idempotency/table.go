// Package idempotency keeps the records of idempotency keys at a gate. A repeated
// request with the same key gets the response to the first one and does not run
// again. The package does no I/O.
package idempotency

import (
	"context"
	"time"

	"github.com/google/uuid"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

const (
	// MaxClockSkew is the maximum difference between the clocks of a caller and a
	// gate that is allowed for.
	MaxClockSkew = time.Second
	// MaxKeys is the maximum number of keys. A full table refuses new keys.
	MaxKeys = 20_000
	// MaxStoredBytes limits the total size of stored responses. The responses
	// stored first are evicted first.
	MaxStoredBytes = 4 << 20
	// MaxKeyLength is the maximum length of a key in bytes.
	MaxKeyLength = 255
)

// entry is the idempotency record of one key.
type entry struct {
	fingerprint uint64
	// done is closed when the first request with the key has ended, and finished
	// is set then unless the request did not run.
	done     chan struct{}
	finished bool
	response *vanillabarrow.Response
	refusal  *vanillabarrow.Refusal
	expires  time.Time
	// releaseVersion is the configuration version for which the key was released
	// to another gate, 0 while this gate owns the key.
	releaseVersion vanillabarrow.Version
}

// Table holds the idempotency records of one gate.
type Table struct {
	mu *kernel.Mutex
	// recordsSince is the time from which on every use of a key is on record.
	recordsSince time.Time
	entries      map[string]*entry
	// keysByAge holds the keys in the order in which they were added.
	keysByAge []string
	// storedEntries holds the entries whose responses were stored, oldest response
	// first. Some of the responses may have been evicted. They are entries rather
	// than keys because a key can be used again after it has expired.
	storedEntries []*entry
	storedBytes   int
	maxKeys       int
}

// New returns an empty table for a gate that starts now.
func New(now time.Time) *Table { return NewSized(now, MaxKeys) }

// NewSized returns an empty table with the given maximum number of keys.
func NewSized(now time.Time, maxKeys int) *Table {
	return &Table{
		mu:           kernel.NewMutex(kernel.RankIdempotency),
		recordsSince: now,
		entries:      map[string]*entry{},
		maxKeys:      maxKeys,
	}
}

// KeyUse is one use of a key by a request.
type KeyUse struct {
	Key string
	// Fingerprint is a hash of the request. It has to be the same for each use.
	Fingerprint uint64
	// Window is the retention time of the key.
	Window time.Duration
	// HistoryStart is the start of the recorded history of the key's owners if it
	// does not cover the window, and zero otherwise.
	HistoryStart time.Time
}

// Begin records the use of a key. If the request is the first with its key it
// returns nil without an error; the caller has to run the request and call
// Finish. Otherwise Begin waits until the first request ends and returns its
// response. The error is a *Refusal.
func (t *Table) Begin(ctx context.Context, use KeyUse, now time.Time) (*vanillabarrow.Response, error) {
	for {
		e, err := t.lookupOrAdd(use, now)
		if e == nil {
			return nil, err
		}
		select {
		case <-e.done:
		case <-ctx.Done():
			return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonKeyInUse, "the first request with the idempotency key is still running")
		}
		if response, refusal, ended := t.outcome(e); ended {
			if refusal != nil {
				return nil, refusal
			}
			return response, nil
		}
		// The first request did not run, so this one may.
	}
}

// lookupOrAdd returns the entry of the key, or adds it and returns nil if this is
// the first use.
func (t *Table) lookupOrAdd(use KeyUse, now time.Time) (*entry, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if e, ok := t.entries[use.Key]; ok {
		if e.releaseVersion > 0 {
			return nil, vanillabarrow.NotRun(vanillabarrow.ReasonWrongTarget, "another gate owns the idempotency key")
		}
		if e.fingerprint != use.Fingerprint {
			return nil, vanillabarrow.NotRun(vanillabarrow.ReasonDuplicate, "the idempotency key was used with a different request")
		}
		return e, nil
	}
	if !t.coversWindow(use.Key, use.Window, use.HistoryStart, now) {
		return nil, vanillabarrow.MayHaveRun(vanillabarrow.ReasonKeyUnknown,
			"the idempotency key may have been used before the records of this gate began")
	}
	if t.isFull() {
		return nil, vanillabarrow.NotRun(vanillabarrow.ReasonTableFull, "the table of idempotency keys is full")
	}
	t.entries[use.Key] = &entry{
		fingerprint: use.Fingerprint,
		done:        make(chan struct{}),
		expires:     now.Add(use.Window),
	}
	t.keysByAge = append(t.keysByAge, use.Key)
	return nil, nil
}

// coversWindow reports whether any earlier use of the key within the window would
// be on record. This holds if the records are older than the window, or if the key
// is a UUIDv7, which contains its time of creation, and was created after the
// records began.
func (t *Table) coversWindow(key string, window time.Duration, since, now time.Time) bool {
	if t.recordsSince.After(since) {
		since = t.recordsSince
	}
	if now.Sub(since) >= window {
		return true
	}
	created, ok := UUIDv7Time(key)
	return ok && created.After(since.Add(MaxClockSkew)) && created.Before(now.Add(MaxClockSkew))
}

// isFull reports whether no key can be added. A key that was freed by a request
// that did not run still takes up a place in keysByAge until the keys before it
// have expired.
func (t *Table) isFull() bool { return len(t.entries) >= t.maxKeys || len(t.keysByAge) >= 2*t.maxKeys }

// Release releases the key to the gate that owns it by the given configuration
// version, and returns the state of the request that used the key. A key without a
// record is refused here from then on. AttemptFenced proves that no request with
// the key ran here.
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

// Reclaim makes a released key usable again. It is called when a later version
// makes this gate the owner again and the owners in between have released the key.
// As the version has to be later, two gates with different versions can't both
// reclaim the key.
func (t *Table) Reclaim(key string, version vanillabarrow.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[key]; ok && e.releaseVersion > 0 && e.releaseVersion < version {
		delete(t.entries, key)
	}
}

// UUIDv7Time returns the time of creation in a UUIDv7. It returns false for other
// keys.
func UUIDv7Time(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// Finish records the outcome of the first request with a key. If the request did not
// run, the key is free again.
func (t *Table) Finish(key string, response *vanillabarrow.Response, refusal *vanillabarrow.Refusal) {
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
	t.storedBytes += response.BufferedBytes()
	t.storedEntries = append(t.storedEntries, e)
	for t.storedBytes > MaxStoredBytes {
		t.evictResponse(t.storedEntries[0])
		t.storedEntries = t.storedEntries[1:]
	}
}

// responseLost returns the refusal for a key whose response can't be repeated.
func responseLost() *vanillabarrow.Refusal {
	return vanillabarrow.MayHaveRun(vanillabarrow.ReasonAnswerLost, "the idempotency key was used, but the response is not stored")
}

func (t *Table) evictResponse(e *entry) {
	if e.response == nil {
		return
	}
	t.storedBytes -= e.response.BufferedBytes()
	e.response = nil
	e.refusal = responseLost()
}

// outcome returns the response or refusal of the entry, and whether its request
// has finished.
func (t *Table) outcome(e *entry) (*vanillabarrow.Response, *vanillabarrow.Refusal, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.response, e.refusal, e.finished
}

// expire removes keys whose window has passed and whose request has finished, and
// freed keys at the front of keysByAge.
func (t *Table) expire(now time.Time) {
	expired := 0
	for expired < len(t.keysByAge) {
		key := t.keysByAge[expired]
		e, ok := t.entries[key]
		if ok && (!e.finished || now.Before(e.expires)) {
			break
		}
		if ok {
			t.evictResponse(e)
			delete(t.entries, key)
		}
		expired++
	}
	t.keysByAge = t.keysByAge[expired:]
	for len(t.storedEntries) > 0 && t.storedEntries[0].response == nil {
		t.storedEntries = t.storedEntries[1:]
	}
}

// Stats describes the table for the state dump.
type Stats struct {
	Keys          int       `json:"keys"`
	ResponseBytes int       `json:"answerBytes"`
	Since         time.Time `json:"since"`
}

// Stats returns the current sizes of the table.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Keys: len(t.entries), ResponseBytes: t.storedBytes, Since: t.recordsSince}
}

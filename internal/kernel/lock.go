package kernel

import "sync"

// LockRank is the place of a lock in the lock order. A goroutine that holds a lock
// takes only locks of a higher rank.
type LockRank int

// The lock order of all shared tables, first to last.
const (
	RankRollout LockRank = iota + 1
	RankDiscovery
	RankMembership
	RankRelay
	RankFence
	RankIdempotency
	RankLimiter
	RankTargetLoads
	RankGateTokens
	RankRetryBudget
	RankRouteSplits
	RankThrottle
	RankDataCentres
	RankRefusals
	RankExpiredTargets
	RankTargetPool
	RankWorkerPool
)

// Mutex is a mutex with a rank. Builds with the race detector or the debug tag
// panic when a goroutine takes mutexes out of order.
type Mutex struct {
	mu   sync.Mutex
	rank LockRank
}

// NewMutex returns an unlocked mutex of the given rank.
func NewMutex(rank LockRank) *Mutex {
	return &Mutex{rank: rank}
}

// Lock locks the mutex.
func (m *Mutex) Lock() {
	checkLock(m.rank)
	m.mu.Lock()
	noteLock(m.rank)
}

// Unlock unlocks the mutex.
func (m *Mutex) Unlock() {
	noteUnlock(m.rank)
	m.mu.Unlock()
}

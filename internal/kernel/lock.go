package kernel

import "sync"

// LockRank is the position of a lock in the lock order. A goroutine that holds
// a lock may acquire only locks of a higher rank.
type LockRank int

// Lock ranks of all shared tables, in the order of acquisition.
const (
	RankRollout LockRank = iota + 1
	RankDiscovery
	RankMembership
	RankRelay
	RankSuspension
	RankFence
	RankIdempotency
	RankLimiter
	RankTransfers
	RankWaits
	RankSubsets
	RankTargetLoads
	RankGateTokens
	RankRetryBudget
	RankRouteSplits
	RankThrottle
	RankCallOutcomes
	RankDataCentreBreakers
	RankRefusalCache
	RankExpiredTargets
	RankAllowances
	RankHedging
	RankRegionLinks
	RankServerConns
	RankPipeline
	RankConnections
	RankTargetPool
	RankSharedConn
	RankPatchCache
	RankWorkerPool
)

// Mutex is a mutex with a lock rank. In builds with the race detector or the
// debug tag, Lock panics when a goroutine acquires mutexes out of order.
type Mutex struct {
	mu   sync.Mutex
	rank LockRank
}

// NewMutex returns an unlocked mutex of the given rank.
func NewMutex(rank LockRank) *Mutex {
	return &Mutex{rank: rank}
}

// Lock locks the mutex, like sync.Mutex.Lock.
func (m *Mutex) Lock() {
	checkLock(m.rank)
	m.mu.Lock()
	recordLock(m.rank)
}

// Unlock unlocks the mutex, like sync.Mutex.Unlock.
func (m *Mutex) Unlock() {
	recordUnlock(m.rank)
	m.mu.Unlock()
}

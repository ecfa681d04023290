package tenant

import "sync"

const (
	// maxLabels is the number of tenants with metrics of their own.
	maxLabels = 20
	// otherLabel is the label of all other tenants.
	otherLabel = "other"
)

// labels bounds the number of tenants in metrics. A tenant gets a label of its own with
// its first request after minLabelRequests others, so that rare ones leave the labels
// to the busiest.
type labels struct {
	mu     sync.Mutex
	counts map[string]int
	own    map[string]bool
}

// minLabelRequests is the number of requests after which a tenant counts as busy.
const minLabelRequests = 50

// maxCounts bounds the tenants whose requests are counted at a time.
const maxCounts = 1024

func newLabels() *labels { return &labels{counts: map[string]int{}, own: map[string]bool{}} }

// of returns the label of a tenant.
func (l *labels) of(tenant string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own[tenant] {
		return tenant
	}
	if len(l.own) == maxLabels {
		return otherLabel
	}
	if len(l.counts) == maxCounts {
		clear(l.counts)
	}
	l.counts[tenant]++
	if l.counts[tenant] <= minLabelRequests {
		return otherLabel
	}
	l.own[tenant] = true
	return tenant
}

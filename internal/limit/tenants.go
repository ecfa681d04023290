package limit

const (
	// tenantShareWeight is the weight of a new request in the moving averages of
	// tenants' shares. An average covers about 100 requests.
	tenantShareWeight = 0.01
	// minTenantShare is the share below which a tenant is forgotten. It bounds the
	// number of tenants.
	minTenantShare = 0.001
)

// tenantShares holds the share of each tenant among the requests that recently
// got a slot. Requests without a tenant don't count.
type tenantShares map[string]float64

// record adds a request that got a slot.
func (s tenantShares) record(tenant string) {
	if tenant == "" {
		return
	}
	for other := range s {
		s[other] *= 1 - tenantShareWeight
		if s[other] < minTenantShare {
			delete(s, other)
		}
	}
	s[tenant] += tenantShareWeight
}

// exceeds reports whether the tenant got more slots than the mean of all tenants.
func (s tenantShares) exceeds(tenant string) bool {
	if tenant == "" || len(s) < 2 {
		return false
	}
	sum := 0.0
	for _, share := range s {
		sum += share
	}
	return s[tenant] > sum/float64(len(s))
}

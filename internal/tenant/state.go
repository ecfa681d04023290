package tenant

// Holding is what a node has of an allowance, with rates per second.
type Holding struct {
	Owner      string  `json:"owner"`
	Tokens     int     `json:"tokens"`
	DemandRate float64 `json:"demandRate"`
	ServedRate float64 `json:"servedRate"`
}

// State returns the holdings by tenant.
func (h *Holder) State() map[string]Holding {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := make(map[string]Holding, len(h.accounts))
	for name, a := range h.accounts {
		state[name] = Holding{Owner: h.groups[a.group].vm, Tokens: a.held, DemandRate: round(a.demand), ServedRate: round(a.served)}
	}
	return state
}

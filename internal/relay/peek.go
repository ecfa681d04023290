package relay

import (
	"context"
	"slices"

	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// peeker compares versions with the readers of other data centres, one data
// centre per period in turn, so that a data centre that is partitioned from
// the platform still converges. Peekers that start at different data centres
// run independently, so that one that waits does not delay the other.
type peeker struct {
	follower *Follower
	// nextGroup is the index of the data centre to query next, modulo their
	// number.
	nextGroup int
}

func (p *peeker) peek(ctx context.Context) {
	view := p.follower.Members.View()
	if !view.Reader || len(view.RemoteReaders) == 0 {
		return
	}
	groups := byDataCentre(view.RemoteReaders)
	group := groups[p.nextGroup%len(groups)]
	p.nextGroup++
	peer := membership.Sample(group, 1)[0]
	if err := p.follower.syncFrom(ctx, peer.Address); err != nil {
		p.follower.Scope.Counter("peekErrors").Inc(1)
		p.follower.Logger.Debug(logging.EventRemoteReaderUnreachable, "peer", peer.Address, "error", err)
	}
}

// byDataCentre groups peers by data centre. The groups are sorted by the name
// of the data centre.
func byDataCentre(peers []membership.Peer) [][]membership.Peer {
	groups := map[string][]membership.Peer{}
	for _, p := range peers {
		groups[p.DataCentre] = append(groups[p.DataCentre], p)
	}
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	slices.Sort(names)
	ordered := make([][]membership.Peer, len(names))
	for i, name := range names {
		ordered[i] = groups[name]
	}
	return ordered
}

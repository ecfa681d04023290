package relay

import (
	"context"
	"slices"

	"github.com/vanillabarrow/vanillabarrow/internal/logging"
	"github.com/vanillabarrow/vanillabarrow/internal/membership"
)

// peeker compares versions with a reader of one other data centre after the
// other, so that a data centre cut off from the platform still converges. Two
// peekers that begin at different data centres don't wait for each other.
type peeker struct {
	follower *Follower
	// next is the place of the data centre to ask next.
	next int
}

func (p *peeker) peek(ctx context.Context) {
	view := p.follower.Members.View()
	if !view.Reader || len(view.RemoteReaders) == 0 {
		return
	}
	groups := byDataCentre(view.RemoteReaders)
	group := groups[p.next%len(groups)]
	p.next++
	peer := membership.Sample(group, 1)[0]
	if err := p.follower.catchUp(ctx, peer.Address); err != nil {
		p.follower.Scope.Counter("peekErrors").Inc(1)
		p.follower.Logger.Debug(logging.EventReaderNotReached, "peer", peer.Address, "error", err)
	}
}

// byDataCentre groups peers, ordered by the name of their data centre.
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

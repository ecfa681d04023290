package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// maxTimerDelay is how late the timeout of a dial may end on a node that gets processor
// time. It is a fifth of dialTimeout.
const maxTimerDelay = dialTimeout / 5

// errNodeDelayed means that a dial timed out later than it should have. The connection
// may have been established long before.
var errNodeDelayed = errors.New("the node was short of processor time")

// detectDelay wraps a dial function that times out after dialTimeout. The error is
// errNodeDelayed if the timeout ended too late.
func detectDelay(dial kernel.DialFunc) kernel.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		start := time.Now()
		conn, err := dial(ctx, network, address)
		if err == nil || !isTimeout(err) {
			return conn, err
		}
		if took := time.Since(start); took > dialTimeout+maxTimerDelay {
			return nil, fmt.Errorf("dial %s timed out after %s: %w", address, took, errNodeDelayed)
		}
		return nil, err
	}
}

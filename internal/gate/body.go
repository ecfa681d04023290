package gate

import (
	"context"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
)

// maxBufferedBody is the maximum number of body bytes that are read before the
// request is sent to the target.
const maxBufferedBody = 64 << 10

// receiveBody reads the body when it is the attempt's turn.
func (g *Gate) receiveBody(ctx context.Context, attempt *vanillabarrow.Attempt) error {
	wait := g.waits.begin(ctx, attempt.ID)
	turn, err := g.transfers.acquire(wait.ctx, attempt.Request, admissionOf(attempt))
	if err := wait.endedBy(err); err != nil {
		if turn != nil {
			turn.end()
		}
		return err
	}
	if err := readBody(attempt.Request, turn); err != nil {
		turn.end()
		return err
	}
	return nil
}

// readBody reads up to maxBufferedBody of a body that the sender holds back until
// it is read (Expect: 100-continue), and ends the turn with the body. If this fails the request has certainly not
// run, as the target has received no byte of it.
func readBody(r *vanillabarrow.Request, turn *transferTurn) error {
	if r.Stream == nil || len(r.Body) > 0 {
		return nil
	}
	start, rest, err := message.SplitBody(&transferBody{r.Stream, turn}, maxBufferedBody)
	if err != nil {
		return kernel.BodyRefusal(err)
	}
	r.Body, r.Stream = start, rest
	if rest == nil {
		r.Size = int64(len(start))
	}
	return nil
}

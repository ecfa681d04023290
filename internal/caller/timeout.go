package caller

import (
	"errors"
	"io"
	"net/http"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// lateAnswer is the time past its timeout from which on an answered request is logged.
const lateAnswer = 100 * time.Millisecond

// unreadBodyTimeout is how long a refusal waits for the rest of a body, so that the
// connection can be used again.
const unreadBodyTimeout = time.Second

// setDeadline notes the time at which a request ends: the end of the timeout of its
// route, or else of its service, or of the time that the caller is willing to wait,
// whichever is sooner, counted from the arrival of the request.
func (i *requestInfo) setDeadline(matched *vanillabarrow.Route, service *vanillabarrow.Service, budget time.Duration) {
	timeout := matched.Timeout
	if timeout == 0 {
		timeout = service.Timeout
	}
	if budget > 0 && (timeout <= 0 || budget < timeout) {
		timeout = budget
	}
	if timeout > 0 {
		i.deadline = i.arrived.Add(timeout)
	}
}

// limitBody makes reads of a request's body fail at the deadline, unless that is zero.
// net/http also reads the rest of a body before it sends a response, so the deadline
// stays until the end of the body.
func limitBody(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	if deadline.IsZero() || r.ContentLength == 0 {
		return
	}
	conn := http.NewResponseController(w)
	// Only requests started ahead don't support this, and their bodies have arrived.
	if conn.SetReadDeadline(deadline) == nil {
		r.Body = &limitedBody{ReadCloser: r.Body, conn: conn}
	}
}

// limitUnreadBody limits the time for which net/http reads the rest of a body before it
// sends a refusal, if no deadline of the request does.
func limitUnreadBody(w http.ResponseWriter, info *requestInfo) {
	if !info.hasBody || !info.deadline.IsZero() {
		return
	}
	// Only requests started ahead don't support this, and their bodies have arrived.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}

// limitedBody is a body whose connection has a read deadline until its end.
type limitedBody struct {
	io.ReadCloser
	conn *http.ResponseController
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		// net/http goes on to read, to notice that the caller disconnects. An error means
		// that it has.
		_ = b.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// bodyRefusal returns the refusal of a request whose body could not be read, which is
// that of the deadline if it has passed. net/http closes the connection then, as the
// rest of the body may still arrive.
func (i *requestInfo) bodyRefusal(err error) error {
	refusal := vanillabarrow.AsRefusal(err)
	if refusal.Reason != vanillabarrow.ReasonBodyIncomplete || i.deadline.IsZero() || time.Now().Before(i.deadline) {
		return err
	}
	return vanillabarrow.NotRun(vanillabarrow.ReasonDeadline, "the body did not arrive before the timeout")
}

// observeAnswer records how long after its deadline a request was answered.
func (s *Server) observeAnswer(info *requestInfo) {
	if info.deadline.IsZero() {
		return
	}
	late := time.Since(info.deadline)
	if late <= 0 {
		return
	}
	s.Scope.Histogram("answeredLate", kernel.LatencyBuckets()).RecordDuration(late)
	if late > lateAnswer {
		s.Logger.Warn(logging.EventAnsweredLate, "id", info.id, "route", info.route, "late", late, "body", info.bodyTime, "took", time.Since(info.arrived))
	}
}

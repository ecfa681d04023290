package caller

import (
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
	"github.com/vanillabarrow/vanillabarrow/internal/logging"
)

// lateAnswer is the time past its timeout from which on an answered request is logged.
const lateAnswer = 100 * time.Millisecond

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

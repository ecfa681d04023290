// Package peer implements the communication between nodes. It forwards attempts
// over HTTP/1.1 and exchanges control messages over connect.
package peer

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
)

// Header fields of forwarded attempts and their responses. docs/PROTOCOL.md
// describes them.
const (
	headerAttempt    = "Vb-Attempt"
	headerTarget     = "Vb-Target"
	headerRequest    = "Vb-Request"
	headerService    = "Vb-Service"
	headerBudget     = "Vb-Budget"
	headerDepth      = "Vb-Depth"
	headerRetries    = "Vb-Retries"
	headerVersion    = "Vb-Version"
	headerToken      = "Vb-Token"
	headerKey        = "Vb-Key"
	headerIdempotent = "Vb-Idempotent"
	headerFrom       = "Vb-From"
	headerRoute      = "Vb-Route"
	headerPriority   = "Vb-Priority"
	headerObjective  = "Vb-Objective"
	headerLate       = "Vb-Late"
	headerTenant     = "Vb-Tenant"
	headerProof      = "Vb-Credential-Proof"
	headerHedge      = "Vb-Hedge"
	headerLoad       = "Vb-Load"
	headerExecTime   = "Vb-Exec-Time"
	headerCallsShed  = "Vb-Calls-Shed"
	headerNotRun     = "Vb-Not-Run"
	headerVerdict    = "Vb-Verdict"
	headerReason     = "Vb-Reason"
	headerDetail     = "Vb-Detail"
	headerRetryAfter = "Vb-Retry-After"
)

// maxExecTime is the longest execution time that is accepted from another node.
const maxExecTime = time.Hour

// formatToken returns "incarnation.epoch", or an empty string for no token.
func formatToken(t vanillabarrow.Token) string {
	if t.Incarnation == "" {
		return ""
	}
	return t.Incarnation + "." + strconv.FormatUint(t.Epoch, 10)
}

func parseToken(s string) vanillabarrow.Token {
	incarnation, epoch, ok := strings.Cut(s, ".")
	n, err := strconv.ParseUint(epoch, 10, 64)
	if !ok || err != nil {
		return vanillabarrow.Token{}
	}
	return vanillabarrow.Token{Incarnation: incarnation, Epoch: n}
}

// formatLoad returns "inFlight/queued/limit/draining/wait/failurePercent", with
// draining as 0 or 1 and wait in milliseconds. The priority is not sent, because
// it is that of the request.
func formatLoad(l vanillabarrow.Load) string {
	unavailable := 0
	if l.Unavailable {
		unavailable = 1
	}
	return fmt.Sprintf("%d/%d/%d/%d/%d/%d", l.InFlight, l.Queued, l.Limit, unavailable, l.Wait.Milliseconds(), l.FailurePercent)
}

func parseLoad(s string) (vanillabarrow.Load, bool) {
	fields := strings.Split(s, "/")
	if len(fields) != 6 {
		return vanillabarrow.Load{}, false
	}
	var n [6]int
	for i, field := range fields {
		var err error
		if n[i], err = strconv.Atoi(field); err != nil || n[i] < 0 {
			return vanillabarrow.Load{}, false
		}
	}
	return vanillabarrow.Load{
		InFlight:       n[0],
		Queued:         n[1],
		Limit:          n[2],
		Unavailable:    n[3] != 0,
		Wait:           time.Duration(n[4]) * time.Millisecond,
		FailurePercent: n[5],
	}, true
}

// loadFor returns the load that the gate reports to the sender of a request.
func loadFor(gate vanillabarrow.Gate, r *vanillabarrow.Request) vanillabarrow.Load {
	load := gate.Load(r.Priority)
	if reporter, ok := gate.(vanillabarrow.ExecTimeReporter); ok {
		load.ExecTime, load.Class = reporter.ExecTime(r.Route), r.Route
	}
	return load
}

// writeLoad adds the load to a response's header. The execution time, in
// microseconds, has a field of its own, because nodes of earlier versions accept
// only the fields of formatLoad.
func writeLoad(h http.Header, l vanillabarrow.Load) {
	h.Set(headerLoad, formatLoad(l))
	if l.ExecTime > 0 {
		h.Set(headerExecTime, strconv.FormatInt(l.ExecTime.Microseconds(), 10))
	}
	if l.CallsShed {
		h.Set(headerCallsShed, "1")
	}
}

// readLoad returns the load in the header of the response to a request, and
// whether there is one. An invalid execution time is ignored.
func readLoad(h http.Header, r *vanillabarrow.Request) (vanillabarrow.Load, bool) {
	load, ok := parseLoad(h.Get(headerLoad))
	load.Priority = r.Priority
	load.CallsShed = h.Get(headerCallsShed) == "1"
	if n, err := strconv.ParseInt(h.Get(headerExecTime), 10, 64); err == nil && n > 0 && n <= maxExecTime.Microseconds() {
		load.ExecTime, load.Class = time.Duration(n)*time.Microsecond, r.Route
	}
	return load, ok
}

// parseVersion returns 0, which is older than all versions, for a text that is not a
// version.
func parseVersion(s string) vanillabarrow.Version {
	version, err := vanillabarrow.ParseVersion(s)
	if err != nil {
		return 0
	}
	return version
}

// writeAttempt adds the fields of an attempt to a request's header. The deadline
// and the objective are sent as microseconds from now, so that the clocks of the
// two nodes need not agree.
func writeAttempt(h http.Header, a *vanillabarrow.Attempt, from string, now time.Time) {
	h.Set(headerAttempt, a.ID)
	h.Set(headerTarget, a.Target.Name)
	h.Set(headerRequest, a.Request.ID)
	h.Set(headerService, a.Request.Service)
	h.Set(headerBudget, strconv.FormatInt(a.Deadline.Sub(now).Microseconds(), 10))
	h.Set(headerDepth, strconv.Itoa(a.Request.Depth))
	h.Set(headerRetries, strconv.Itoa(a.RetriesLeft))
	h.Set(headerVersion, a.Version.String())
	h.Set(headerFrom, from)
	h.Set(headerRoute, a.Request.Route)
	h.Set(headerPriority, strconv.Itoa(a.Request.Priority))
	if !a.Request.Objective.IsZero() {
		h.Set(headerObjective, strconv.FormatInt(a.Request.Objective.Sub(now).Microseconds(), 10))
	}
	if a.Token.Incarnation != "" {
		h.Set(headerToken, formatToken(a.Token))
	}
	if a.Request.Key != "" {
		h.Set(headerKey, a.Request.Key)
	}
	if a.Request.Idempotent {
		h.Set(headerIdempotent, "1")
	}
	if a.Late {
		h.Set(headerLate, "1")
	}
	if a.Request.Tenant != "" {
		h.Set(headerTenant, a.Request.Tenant)
		h.Set(headerProof, a.CredentialProof)
	}
	if a.Hedge {
		h.Set(headerHedge, "1")
	}
}

// errMissingFields is the error for a request that is not a forwarded attempt.
var errMissingFields = errors.New("request lacks the header fields of a forwarded attempt")

// readAttempt returns the attempt that a request's header describes, without the
// request's header and body.
func readAttempt(r *http.Request, now time.Time) (*vanillabarrow.Attempt, error) {
	h := r.Header
	if h.Get(headerAttempt) == "" || h.Get(headerTarget) == "" {
		return nil, errMissingFields
	}
	var numbers [3]int
	for i, name := range []string{headerBudget, headerDepth, headerRetries} {
		n, err := strconv.Atoi(h.Get(name))
		if err != nil {
			return nil, fmt.Errorf("header field %s is not a number", name)
		}
		numbers[i] = n
	}
	a := &vanillabarrow.Attempt{
		ID:          h.Get(headerAttempt),
		Target:      &vanillabarrow.Target{Name: h.Get(headerTarget)},
		Version:     parseVersion(h.Get(headerVersion)),
		Token:       parseToken(h.Get(headerToken)),
		Deadline:    now.Add(time.Duration(numbers[0]) * time.Microsecond),
		RetriesLeft: numbers[2],
		Late:        h.Get(headerLate) == "1",
		Hedge:       h.Get(headerHedge) == "1",
		Request: &vanillabarrow.Request{
			ID:          h.Get(headerRequest),
			Service:     h.Get(headerService),
			Method:      r.Method,
			Host:        r.Host,
			Path:        message.RequestTarget(r),
			Key:         h.Get(headerKey),
			Idempotent:  h.Get(headerIdempotent) == "1",
			Depth:       numbers[1],
			RetriesLeft: numbers[2],
			Size:        r.ContentLength,
			Route:       h.Get(headerRoute),
			Tenant:      h.Get(headerTenant),
		},
		CredentialProof: h.Get(headerProof),
	}
	return a, readQueueFields(h, a.Request, now)
}

// readQueueFields reads the fields that determine the position in the gate's
// queue. Older nodes do not send them.
func readQueueFields(h http.Header, r *vanillabarrow.Request, now time.Time) error {
	if value := h.Get(headerPriority); value != "" {
		n, err := strconv.Atoi(value)
		if err != nil {
			return fmt.Errorf("header field %s is not a number", headerPriority)
		}
		r.Priority = n
	}
	if value := h.Get(headerObjective); value != "" {
		n, err := strconv.Atoi(value)
		if err != nil {
			return fmt.Errorf("header field %s is not a number", headerObjective)
		}
		r.Objective = now.Add(time.Duration(n) * time.Microsecond)
	}
	return nil
}

// writeRefusal adds the fields of a refusal to a response's header. RetryAfter is
// sent in milliseconds.
func writeRefusal(h http.Header, r *vanillabarrow.Refusal) {
	h.Set(headerVerdict, r.Verdict.String())
	h.Set(headerReason, string(r.Reason))
	h.Set(headerRetries, strconv.Itoa(r.Retries))
	if r.Detail != "" {
		h.Set(headerDetail, strings.Map(replaceNonPrintable, r.Detail))
	}
	if r.RetryAfter > 0 {
		h.Set(headerRetryAfter, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
}

// replaceNonPrintable returns a space for a character that a header field can't
// carry.
func replaceNonPrintable(r rune) rune {
	if r < ' ' || r > '~' {
		return ' '
	}
	return r
}

// readRefusal reads the fields of a refusal. An absent or unknown verdict becomes
// VerdictMayHaveRun, an invalid number 0.
func readRefusal(h http.Header) *vanillabarrow.Refusal {
	retries, _ := strconv.Atoi(h.Get(headerRetries))
	retryAfter, _ := strconv.Atoi(h.Get(headerRetryAfter))
	return &vanillabarrow.Refusal{
		Verdict:    vanillabarrow.ParseVerdict(h.Get(headerVerdict)),
		Reason:     vanillabarrow.Reason(h.Get(headerReason)),
		Detail:     h.Get(headerDetail),
		RetryAfter: time.Duration(retryAfter) * time.Millisecond,
		Retries:    retries,
		Token:      parseToken(h.Get(headerToken)),
	}
}

// digestBytes returns nil for a digest that is not hexadecimal.
func digestBytes(digest string) []byte {
	b, err := hex.DecodeString(digest)
	if err != nil {
		return nil
	}
	return b
}

func digestString(b []byte) string { return hex.EncodeToString(b) }

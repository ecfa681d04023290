package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/idempotency"
	"github.com/vanillabarrow/vanillabarrow/internal/message"
)

// Header fields that callers see. docs/PROTOCOL.md describes them.
const (
	VerdictHeader  = "Vb-Verdict"
	ReasonHeader   = "Vb-Reason"
	AttemptsHeader = "Vb-Attempts"
	RetriesHeader  = "Vb-Retries"
	TargetHeader   = "Vb-Target"
	keyHeader      = "Idempotency-Key"
)

// errKeyTooLong is the error for an idempotency key over its bound.
var errKeyTooLong = errors.New(keyHeader + " is too long")

// Protocol implements vanillabarrow.CallerProtocol with the product's own
// header fields.
type Protocol struct{}

// NewProtocol returns the protocol.
func NewProtocol() Protocol { return Protocol{} }

// ID implements vanillabarrow.CallerProtocol. Callers give no ids.
func (Protocol) ID(vanillabarrow.Header) string { return "" }

// DecodeRequest implements vanillabarrow.CallerProtocol.
func (Protocol) DecodeRequest(h vanillabarrow.Header, request *vanillabarrow.Request, service *vanillabarrow.Service) (time.Duration, error) {
	fields := http.Header(h)
	request.Key = fields.Get(keyHeader)
	if len(request.Key) > idempotency.MaxKeyLength {
		return 0, errKeyTooLong
	}
	inherited := message.Context{Retries: service.Retries}
	if text := fields.Get(message.ContextHeader); text != "" {
		var err error
		if inherited, err = message.ParseContext(text); err != nil {
			return 0, err
		}
	}
	request.Depth, request.RetriesLeft = inherited.Depth, inherited.Retries
	return inherited.Budget, nil
}

// EncodeResponse implements vanillabarrow.CallerProtocol.
func (Protocol) EncodeResponse(h vanillabarrow.Header, a *vanillabarrow.Response) {
	fields := http.Header(h)
	fields.Set(VerdictHeader, vanillabarrow.VerdictFinished.String())
	fields.Set(AttemptsHeader, strconv.Itoa(a.Attempts))
	fields.Set(TargetHeader, a.Target)
}

// EncodeRefusal implements vanillabarrow.CallerProtocol.
func (Protocol) EncodeRefusal(h vanillabarrow.Header, r *vanillabarrow.Refusal) (int, []byte) {
	fields := http.Header(h)
	fields.Set(VerdictHeader, r.Verdict.String())
	fields.Set(ReasonHeader, string(r.Reason))
	fields.Set(RetriesHeader, strconv.Itoa(r.Retries))
	fields.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 && r.Verdict == vanillabarrow.VerdictNotRun {
		fields.Set("Retry-After", strconv.Itoa(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	body, err := json.Marshal(refusalBody{Verdict: r.Verdict.String(), Reason: string(r.Reason), Detail: r.Detail})
	if err != nil {
		// Three strings can always be encoded; the header says it all anyway.
		return Status(r), nil
	}
	return Status(r), append(body, '\n')
}

// statuses maps reasons to HTTP statuses, for refusals that are proven not to
// have run. Others are 503.
var statuses = map[vanillabarrow.Reason]int{
	vanillabarrow.ReasonNoRoute:        http.StatusNotFound,
	vanillabarrow.ReasonBadRequest:     http.StatusBadRequest,
	vanillabarrow.ReasonBodyIncomplete: http.StatusBadRequest,
	vanillabarrow.ReasonTooLarge:       http.StatusRequestEntityTooLarge,
	vanillabarrow.ReasonDuplicate:      http.StatusUnprocessableEntity,
	vanillabarrow.ReasonTooDeep:        http.StatusLoopDetected,
	vanillabarrow.ReasonDeadline:       http.StatusGatewayTimeout,
}

// Status returns the HTTP status for a refusal.
func Status(r *vanillabarrow.Refusal) int {
	if r.Verdict != vanillabarrow.VerdictNotRun {
		switch r.Reason {
		case vanillabarrow.ReasonDeadline:
			return http.StatusGatewayTimeout
		case vanillabarrow.ReasonKeyInUse, vanillabarrow.ReasonKeyUnknown:
			return http.StatusConflict
		default:
			return http.StatusBadGateway
		}
	}
	if status, ok := statuses[r.Reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Verdict string `json:"verdict"`
	Reason  string `json:"reason"`
	Detail  string `json:"detail,omitempty"`
}

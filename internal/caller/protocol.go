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

// Header fields that callers send and receive. docs/PROTOCOL.md describes them.
const (
	VerdictHeader  = "Vb-Verdict"
	ReasonHeader   = "Vb-Reason"
	AttemptsHeader = "Vb-Attempts"
	RetriesHeader  = "Vb-Retries"
	TargetHeader   = "Vb-Target"
	keyHeader      = "Idempotency-Key"
)

// errKeyTooLong is the error for a key longer than idempotency.MaxKeyLength.
var errKeyTooLong = errors.New(keyHeader + " exceeds the maximum length")

// Protocol implements vanillabarrow.CallerProtocol with the header fields of the
// inventory profile.
type Protocol struct{}

// NewProtocol returns the protocol.
func NewProtocol() Protocol { return Protocol{} }

// ID implements vanillabarrow.CallerProtocol. Callers set no request ids.
func (Protocol) ID(vanillabarrow.Header) string { return "" }

// Credential implements vanillabarrow.CallerProtocol. Inventories have no tenants.
func (Protocol) Credential(vanillabarrow.Header) string { return "" }

// DecodeRequest implements vanillabarrow.CallerProtocol.
func (Protocol) DecodeRequest(h vanillabarrow.Header, request *vanillabarrow.Request, service *vanillabarrow.Service) (time.Duration, error) {
	fields := http.Header(h)
	request.Key = fields.Get(keyHeader)
	if len(request.Key) > idempotency.MaxKeyLength {
		return 0, errKeyTooLong
	}
	inherited := message.Context{Retries: service.Retries}
	if value := fields.Get(message.ContextHeader); value != "" {
		var err error
		if inherited, err = message.ParseContext(value); err != nil {
			return 0, err
		}
	}
	request.Depth, request.RetriesLeft = inherited.Depth, inherited.Retries
	return inherited.Budget, nil
}

// EncodeResponse implements vanillabarrow.CallerProtocol.
func (Protocol) EncodeResponse(h vanillabarrow.Header, response *vanillabarrow.Response) {
	fields := http.Header(h)
	fields.Set(VerdictHeader, vanillabarrow.VerdictFinished.String())
	fields.Set(AttemptsHeader, strconv.Itoa(response.Attempts))
	fields.Set(TargetHeader, response.Target)
}

// EncodeRefusal implements vanillabarrow.CallerProtocol. Retry-After is in whole
// seconds, rounded up.
func (Protocol) EncodeRefusal(h vanillabarrow.Header, refusal *vanillabarrow.Refusal) (int, []byte) {
	fields := http.Header(h)
	fields.Set(VerdictHeader, refusal.Verdict.String())
	fields.Set(ReasonHeader, string(refusal.Reason))
	fields.Set(RetriesHeader, strconv.Itoa(refusal.Retries))
	fields.Set("Content-Type", "application/json")
	if refusal.RetryAfter > 0 && refusal.Verdict == vanillabarrow.VerdictNotRun {
		fields.Set("Retry-After", strconv.Itoa(int((refusal.RetryAfter+time.Second-1)/time.Second)))
	}
	body, err := json.Marshal(refusalBody{Verdict: refusal.Verdict.String(), Reason: string(refusal.Reason), Detail: refusal.Detail})
	if err != nil {
		// Encoding three strings can't fail, and the header has the verdict and the
		// reason anyway.
		return Status(refusal), nil
	}
	return Status(refusal), append(body, '\n')
}

// statusByReason maps the reasons of refusals with VerdictNotRun to HTTP
// statuses. The status for all other reasons is 503.
var statusByReason = map[vanillabarrow.Reason]int{
	vanillabarrow.ReasonNoRoute:        http.StatusNotFound,
	vanillabarrow.ReasonBadRequest:     http.StatusBadRequest,
	vanillabarrow.ReasonBodyIncomplete: http.StatusBadRequest,
	vanillabarrow.ReasonTooLarge:       http.StatusRequestEntityTooLarge,
	vanillabarrow.ReasonUnauthorized:   http.StatusUnauthorized,
	vanillabarrow.ReasonAllowance:      http.StatusTooManyRequests,
	vanillabarrow.ReasonDuplicate:      http.StatusUnprocessableEntity,
	vanillabarrow.ReasonTooDeep:        http.StatusLoopDetected,
	vanillabarrow.ReasonDeadline:       http.StatusGatewayTimeout,
}

// Status returns the HTTP status for a refusal.
func Status(refusal *vanillabarrow.Refusal) int {
	if refusal.Verdict != vanillabarrow.VerdictNotRun {
		switch refusal.Reason {
		case vanillabarrow.ReasonDeadline:
			return http.StatusGatewayTimeout
		case vanillabarrow.ReasonKeyInUse, vanillabarrow.ReasonKeyUnknown:
			return http.StatusConflict
		default:
			return http.StatusBadGateway
		}
	}
	if status, ok := statusByReason[refusal.Reason]; ok {
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

package caller

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/dispatch"
	"github.com/vanillabarrow/vanillabarrow/internal/route"
	"github.com/vanillabarrow/vanillabarrow/internal/tenant"
)

// Explainer says where a request would go.
type Explainer interface {
	Explain(request *vanillabarrow.Request) *dispatch.Explanation
}

// Question describes a request without sending it.
type Question struct {
	Method string
	Host   string
	// Path is the path with the query.
	Path string
	// Tenant is the name of the tenant, empty for none, and Key the idempotency key.
	Tenant string
	Key    string
}

// Explain says where a request would go now and why. It changes no state. The error
// says what is wrong with the question.
func (s *Server) Explain(q Question) (*dispatch.Explanation, error) {
	if q.Method == "" || q.Method == http.MethodConnect {
		return nil, errors.New("the method of a request is required, and it can't be CONNECT")
	}
	target, err := url.ParseRequestURI(q.Path)
	if err != nil || !strings.HasPrefix(q.Path, "/") {
		return nil, fmt.Errorf("path %q does not begin with a slash or is not valid", q.Path)
	}
	snapshot := s.Configuration.Snapshot()
	if snapshot == nil {
		refusal := vanillabarrow.NotRun(vanillabarrow.ReasonNoConfig, "no configuration is in force yet")
		refusal.RetryAfter = time.Second
		return dispatch.ExplainRefusal(0, refusal), nil
	}
	holder := snapshot.Tenants[q.Tenant]
	if q.Tenant != "" && holder == nil {
		return nil, fmt.Errorf("the configuration has no tenant %q", q.Tenant)
	}
	matched := route.Match(snapshot, q.Host, q.Path, q.Method)
	if matched == nil {
		return dispatch.ExplainRefusal(snapshot.Version, vanillabarrow.NotRun(vanillabarrow.ReasonNoRoute, "no route matches the request")), nil
	}
	service := snapshot.Services[s.Splits.PeekService(matched)]
	r := &http.Request{Method: q.Method, Host: q.Host, URL: target, RequestURI: q.Path, Header: http.Header{}}
	request := s.newRequest(r, &requestInfo{id: "explain"}, matched, service)
	request.Key = q.Key
	if holder != nil {
		tenant.Apply(request, holder)
	}
	explanation := s.Explainer.Explain(request)
	explanation.Tenant = holder
	return explanation, nil
}

package caller

import (
	"context"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
)

// admit takes a request from its tenant's allowance. It is called once for each
// request, however often the node retries it. A tenant that was removed meanwhile is
// left to the check of the credential.
func (s *Server) admit(ctx context.Context, request *vanillabarrow.Request) error {
	if request.Tenant == "" {
		return nil
	}
	t := s.Configuration.Snapshot().Tenants[request.Tenant]
	if t == nil {
		return nil
	}
	return s.Allowances.Admit(ctx, t)
}

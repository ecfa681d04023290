// Package tenant decides on whose behalf a request is sent, and whether the tenant's
// allowance over all nodes together admits it. The package does no I/O of its own.
package tenant

// Package limit holds customers to their contracts over the whole fleet.
package limit

import (
	"context"

	"fulmarhinge/internal/result"
)

// Admitter decides whether a request of a customer may go on.
type Admitter interface {
	// Admit returns once the request may go on, or says why it may not. It
	// waits no longer than the contract and ctx allow. The caller calls done
	// once when the request has ended.
	Admit(ctx context.Context, customer, service string) (done func(), refusal *result.Error)
}

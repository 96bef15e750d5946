package proxy

import "context"

// Limiter enforces the limits of organisations.
type Limiter interface {
	// Admit takes one operation from the limit of an organisation. It fails with
	// result.OrganisationLimit and a retry-after if the limit is reached. It may wait a
	// short time for a permit, until ctx ends at the latest.
	Admit(ctx context.Context, organisation string) error
	// Return gives back an operation that was admitted and of which nothing was sent to a
	// database.
	Return(organisation string)
}

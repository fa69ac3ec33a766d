// Package limit enforces customers' contracts across the whole fleet. For each
// customer one node, the allocator, leases shares of the contract to the nodes
// that request them. A node admits requests from its own share, so the request
// path needs no round trip. Shares expire, so the share of a lost node becomes
// available again and nodes can move to a new allocator if the old one is lost.
//
// All decisions take the time as an argument and do no I/O.
package limit

import (
	"context"
	"time"

	"fulmarhinge/internal/result"
)

// Admitter decides whether a customer's request is admitted.
type Admitter interface {
	// Admit returns once the request is admitted or refused. It waits no longer
	// than the contract and ctx allow. The caller calls done exactly once, when
	// the admitted request has ended.
	Admit(ctx context.Context, customer, service string) (done func(), refusal *result.Error)
}

// Timing of shares.
const (
	// shareTTL is how long a share is valid. It is longer than the eviction of a
	// lost allocator takes, so that nodes keep serving until there is a new one.
	shareTTL = 8 * time.Second
	// shareExpiryMargin is how much longer than the node itself the allocator
	// counts a share as held. It covers clock drift and the time that a
	// membership change takes to reach all nodes.
	shareExpiryMargin = time.Second
	// renewInterval is the time between two renewals of a share.
	renewInterval = 2 * time.Second
	// growRequestInterval is the minimum time between two requests for a larger
	// share.
	growRequestInterval = 250 * time.Millisecond
	// unmetRequestInterval replaces growRequestInterval while the allocator has
	// no more to grant.
	unmetRequestInterval = time.Second
	// grantTimeout is how long a node waits for the answer to a share request or
	// a share query before it sends another one. Requests may queue for the same
	// time before the first share arrives.
	grantTimeout = 500 * time.Millisecond
	// firstShareEstimate is the time that a first share is expected to take: one
	// round trip to the allocator.
	firstShareEstimate = 20 * time.Millisecond
	// idleTimeout is the time without arrivals after which a share is returned.
	idleTimeout = 4 * time.Second
	// estimateInterval is the time between two estimates of the demand.
	estimateInterval = 200 * time.Millisecond
	// riseTimeConstant and fallTimeConstant are the time constants of the moving
	// average of the demand. The estimate rises faster than it falls, so that a
	// node whose load rises gets its share in time.
	riseTimeConstant = 200 * time.Millisecond
	fallTimeConstant = 500 * time.Millisecond
	// recallInterval is the minimum time between two recalls of the same lease.
	recallInterval = 250 * time.Millisecond
	// timerSlack is the timer delay that a bucket makes up for: while requests
	// wait it keeps the tokens of this time, so that a late timer costs no
	// throughput.
	timerSlack = 10 * time.Millisecond
)

// Fractions and factors of a contract.
const (
	// reserveFraction is the fraction of the rate that is never leased. It is
	// divided evenly among the members. A node without a share admits requests
	// up to its part of this reserve, so that a node that cannot reach the
	// allocator still admits some and the fleet stays within the contract.
	reserveFraction = 0.02
	// demandFactor is the ratio of the requested rate to the estimated demand.
	demandFactor = 1.2
	// spareFraction is the fraction of the unrequested rate that is leased
	// beyond the demand. The rest stays available for nodes that start to
	// request.
	spareFraction = 0.5
	// growUtilization is the fraction of a share in use above which a node
	// requests a larger one. The same fraction of a target or of a contract
	// counts as reaching it.
	growUtilization = 0.9
)

// leasableRate returns the part of a rate that may be leased.
func leasableRate(rate float64) float64 { return rate * (1 - reserveFraction) }

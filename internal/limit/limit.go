// Package limit holds customers to their contracts over the whole fleet. One
// node for each customer, the holder, leases shares of the contract to the
// nodes that want them; a node admits requests out of its own share, so the
// request path needs no round trip. Shares lapse by time, so that a lost node
// or a lost holder frees what it had.
//
// All decisions take the time as an argument and do no I/O.
package limit

import (
	"context"
	"time"

	"fulmarhinge/internal/result"
)

// Admitter decides whether a request of a customer may go on.
type Admitter interface {
	// Admit returns once the request may go on, or says why it may not. It
	// waits no longer than the contract and ctx allow. The caller calls done
	// once when the request has ended.
	Admit(ctx context.Context, customer, service string) (done func(), refusal *result.Error)
}

// Timing of shares.
const (
	// shareTTL is how long a share holds. It outlasts the eviction of a lost
	// holder, so that nodes keep serving until there is a new one.
	shareTTL = 8 * time.Second
	// shareGuard is added by the holder before it counts a share as lapsed; it
	// covers the drift of clocks and the spread of a change of members.
	shareGuard = time.Second
	// renewInterval is how often a share is renewed.
	renewInterval = 2 * time.Second
	// growInterval is the least time between asking for more and asking again.
	growInterval = 250 * time.Millisecond
	// unmetInterval replaces growInterval while the holder has no more to give.
	unmetInterval = time.Second
	// answerTimeout is how long a grant is waited for.
	answerTimeout = 500 * time.Millisecond
	// firstShareWait is the estimate of how long a first share takes.
	firstShareWait = 20 * time.Millisecond
	// idleTimeout is how long without arrivals until a share is given back.
	idleTimeout = 4 * time.Second
	// estimateInterval is how often the demand is estimated.
	estimateInterval = 200 * time.Millisecond
	// growWindow and shrinkWindow are the time constants of the estimate; a
	// node that becomes hot must be quicker than one that cools down.
	growWindow   = 200 * time.Millisecond
	shrinkWindow = 500 * time.Millisecond
	// recallInterval is the least time between two recalls of one share.
	recallInterval = 250 * time.Millisecond
	// timerSlack is how late a timer may release a waiting request without
	// loss of rate.
	timerSlack = 10 * time.Millisecond
)

// Proportions of a contract.
const (
	// reserve is the part of the rate that is never leased: nodes without a
	// share split it evenly, so that a node that is cut off admits a little and
	// the fleet still keeps the contract.
	reserve = 0.02
	// demandMargin is what a node asks for above its demand.
	demandMargin = 1.2
	// spareShare is the part of the rate nobody wants that is leased out
	// beyond the demand; the rest is at hand for newcomers.
	spareShare = 0.5
	// growThreshold is the use of a share above which more is asked for.
	growThreshold = 0.9
)

// leasable is the part of a rate that is leased.
func leasable(rate float64) float64 { return rate * (1 - reserve) }

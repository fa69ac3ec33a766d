package platform

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Limits that the platform sets for the whole fleet.
const (
	FleetReadsPerSecond  = 2000
	FleetWritesPerSecond = 300
)

// Division of the fleet's limits. One half is split evenly among all nodes. The
// other half is reserved for the few nodes that act as controllers, because they
// write the changes that follow the loss of a node.
const (
	// maxControllers is the number of controllers that share the reserved half.
	maxControllers = 4
	// nodeReadBurst lets a starting node read a whole configuration.
	nodeReadBurst = 128
	// nodeWriteBurst lets a node join and change its witnesses a few times.
	nodeWriteBurst = 8
	// controllerWriteBurst lets a controller place all the units that a lost
	// availability zone owned.
	controllerWriteBurst = 256
)

// Rate is a rate limit in calls per second, with a burst.
type Rate struct {
	// PerSecond is the sustained rate; 0 means no limit.
	PerSecond float64
	Burst     int
}

// Budget holds the rate limits of one client.
type Budget struct {
	Reads  Rate
	Writes Rate
}

// NodeBudget returns the budget of one of n nodes. Over time, n nodes of which at
// most four are controllers stay within the limits of the platform, but all of them
// may use their bursts at the same time.
func NodeBudget(n int, controller bool) Budget {
	share := 1 / float64(2*max(n, 1))
	b := Budget{
		Reads:  Rate{PerSecond: FleetReadsPerSecond * share, Burst: nodeReadBurst},
		Writes: Rate{PerSecond: FleetWritesPerSecond * share, Burst: nodeWriteBurst},
	}
	if controller {
		b.Reads.PerSecond += FleetReadsPerSecond / (2.0 * maxControllers)
		b.Writes.PerSecond += FleetWritesPerSecond / (2.0 * maxControllers)
		b.Writes.Burst = controllerWriteBurst
	}
	return b
}

// limiters enforce the budget of a client.
type limiters struct {
	reads  *rate.Limiter
	writes *rate.Limiter
}

// newLimiters returns the limiters of a budget.
func newLimiters(b Budget) *limiters {
	l := &limiters{reads: rate.NewLimiter(rate.Inf, 1), writes: rate.NewLimiter(rate.Inf, 1)}
	l.set(b)
	return l
}

// set changes the budget.
func (l *limiters) set(b Budget) {
	setLimiter(l.reads, b.Reads)
	setLimiter(l.writes, b.Writes)
}

// setLimiter changes one limiter; a rate of 0 removes the limit.
func setLimiter(l *rate.Limiter, r Rate) {
	limit := rate.Limit(r.PerSecond)
	if r.PerSecond <= 0 {
		limit = rate.Inf
	}
	l.SetBurst(max(r.Burst, 1))
	l.SetLimit(limit)
}

// waitForBudget waits until a call is within the budget. It returns
// ErrUnavailable if that would take longer than the timeout, and the call is then
// not made: a long queue would send changes that were decided long ago.
func waitForBudget(ctx context.Context, l *rate.Limiter, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return ErrUnavailable.Wrap(l.Wait(ctx))
}

// SetBudget changes the budget, for example when the fleet grows.
func (c *Client) SetBudget(b Budget) { c.limiters.set(b) }

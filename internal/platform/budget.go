package platform

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the platform for the whole fleet, in calls a second.
const (
	FleetReads  = 2000
	FleetWrites = 300
)

// How the fleet's limits are divided. One half is split evenly; the other half
// is for the few nodes that act as controllers, since what follows a loss is
// written by them.
const (
	// maxControllers is how many controllers the other half is enough for.
	maxControllers = 4
	// nodeReadBurst lets a node that starts read a whole configuration.
	nodeReadBurst = 128
	// nodeWriteBurst lets a node join, and change its witnesses a few times.
	nodeWriteBurst = 8
	// controllerWriteBurst lets a controller place what an availability zone
	// owned.
	controllerWriteBurst = 256
)

// Rate is a number of calls a second, and how many may come at once.
type Rate struct {
	// PerSecond is 0 for no limit.
	PerSecond float64
	Burst     int
}

// Budget is how many calls one client may make.
type Budget struct {
	Reads  Rate
	Writes Rate
}

// Share returns the budget of one of n nodes. Over time, n nodes of which at
// most four are controllers stay within the limits of the platform; at once
// they may make up to their bursts.
func Share(n int, controller bool) Budget {
	share := 1 / float64(2*max(n, 1))
	b := Budget{
		Reads:  Rate{PerSecond: FleetReads * share, Burst: nodeReadBurst},
		Writes: Rate{PerSecond: FleetWrites * share, Burst: nodeWriteBurst},
	}
	if controller {
		b.Reads.PerSecond += FleetReads / (2.0 * maxControllers)
		b.Writes.PerSecond += FleetWrites / (2.0 * maxControllers)
		b.Writes.Burst = controllerWriteBurst
	}
	return b
}

// limiters hold a client to its budget.
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

// setLimiter changes one limiter; a rate of 0 takes the limit off.
func setLimiter(l *rate.Limiter, r Rate) {
	limit := rate.Limit(r.PerSecond)
	if r.PerSecond <= 0 {
		limit = rate.Inf
	}
	l.SetBurst(max(r.Burst, 1))
	l.SetLimit(limit)
}

// wait returns once a call is within the budget, or ErrUnavailable if that
// would take longer than the timeout: the call is not made then. A long queue
// would send what was decided long ago.
func wait(ctx context.Context, l *rate.Limiter, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return ErrUnavailable.Wrap(l.Wait(ctx))
}

// SetBudget changes the budget, as when the fleet grows.
func (c *Client) SetBudget(b Budget) { c.budget.set(b) }

package platform

import (
	"context"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Limits of the platform for the whole fleet, in calls a second.
const (
	FleetReads  = 2000
	FleetWrites = 300
)

// minimumBurst lets a node of a large fleet make the calls that follow a loss
// at once; the rate still bounds what it makes over time.
const minimumBurst = 32

// Budget is how many calls a second one client may make. A rate of 0 is no
// limit.
type Budget struct {
	Reads  float64
	Writes float64
	// Burst is how many calls of a kind may come at once.
	Burst int
}

// Share returns the budget of one of n nodes: together they stay within the
// limits of the platform.
func Share(n int) Budget {
	n = max(n, 1)
	return Budget{
		Reads:  FleetReads / float64(n),
		Writes: FleetWrites / float64(n),
		Burst:  max(minimumBurst, FleetWrites/n),
	}
}

// limiters hold a client to its budget.
type limiters struct {
	reads  *rate.Limiter
	writes *rate.Limiter
}

// newLimiters returns the limiters of a budget.
func newLimiters(b Budget) *limiters {
	l := &limiters{reads: rate.NewLimiter(rate.Inf, 0), writes: rate.NewLimiter(rate.Inf, 0)}
	l.set(b)
	return l
}

// set changes the budget.
func (l *limiters) set(b Budget) {
	setLimiter(l.reads, b.Reads, b.Burst)
	setLimiter(l.writes, b.Writes, b.Burst)
}

// setLimiter changes one limiter; a rate of 0 takes the limit off.
func setLimiter(l *rate.Limiter, perSecond float64, burst int) {
	limit := rate.Limit(perSecond)
	if perSecond <= 0 {
		limit = rate.Inf
	}
	l.SetBurst(max(burst, 1))
	l.SetLimit(limit)
}

// wait returns once a call is within the budget, or ErrUnavailable if the
// context ends first: the call is not made then.
func wait(ctx context.Context, l *rate.Limiter) error {
	return ErrUnavailable.Wrap(l.Wait(ctx))
}

// SetBudget changes the budget, as when the fleet grows.
func (c *Client) SetBudget(b Budget) { c.budget.set(b) }

// callCounts count the calls of a client by kind.
type callCounts struct {
	get, list, put, delete, watch atomic.Uint64
}

// Counts returns the calls that this client has made. The waiting time of
// watches is counted by the platform only.
func (c *Client) Counts() Counts {
	return Counts{
		Get:         c.calls.get.Load(),
		List:        c.calls.list.Load(),
		Put:         c.calls.put.Load(),
		Delete:      c.calls.delete.Load(),
		WatchOpened: c.calls.watch.Load(),
	}
}

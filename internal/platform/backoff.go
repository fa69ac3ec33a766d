package platform

import (
	"context"
	"math/rand/v2"
	"time"
)

// Bounds of the default backoff.
const (
	backoffBase = 50 * time.Millisecond
	backoffMax  = 5 * time.Second
)

// Backoff says how long to wait before trying again: a random time up to a
// bound that doubles with each failure, so that many nodes don't come back
// together after an outage.
type Backoff struct {
	// Base is the bound of the first wait.
	Base time.Duration
	// Max is the largest bound.
	Max time.Duration
	// Random returns a number in [0,1).
	Random func() float64
}

// DefaultBackoff is the policy of every caller of the platform.
func DefaultBackoff() Backoff {
	return Backoff{Base: backoffBase, Max: backoffMax, Random: rand.Float64}
}

// Wait returns the wait after the given number of failures in a row, counted
// from 1. It is never below half of the bound, so that a run of small random
// numbers does not turn into a busy loop.
func (b Backoff) Wait(failures int) time.Duration {
	bound := b.Base
	for i := 1; i < failures && bound < b.Max; i++ {
		bound *= 2
	}
	bound = min(bound, b.Max)
	half := bound / 2
	return half + time.Duration(b.Random()*float64(half))
}

// Sleep waits for the time that follows the given number of failures, or until
// the context ends.
func (b Backoff) Sleep(ctx context.Context, failures int) error {
	t := time.NewTimer(b.Wait(failures))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

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

// Backoff computes the delay before a retry. The delay is random, below a bound
// that doubles with each failure, so that the nodes do not all reconnect at the
// same time after an outage.
type Backoff struct {
	// Base bounds the first delay.
	Base time.Duration
	// Max bounds every delay.
	Max time.Duration
	// Random returns a number in [0,1).
	Random func() float64
}

// DefaultBackoff returns the backoff that all callers of the platform use.
func DefaultBackoff() Backoff {
	return Backoff{Base: backoffBase, Max: backoffMax, Random: rand.Float64}
}

// Wait returns the delay after the given number of consecutive failures, counted
// from 1. The delay is at least half of the bound, so that a series of small
// random numbers does not turn into a busy loop.
func (b Backoff) Wait(failures int) time.Duration {
	bound := b.Base
	for i := 1; i < failures && bound < b.Max; i++ {
		bound *= 2
	}
	bound = min(bound, b.Max)
	half := bound / 2
	return half + time.Duration(b.Random()*float64(half))
}

// Sleep waits for the delay after the given number of consecutive failures, or
// until the context ends.
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

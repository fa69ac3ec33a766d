package ingress

import (
	"sync/atomic"
	"time"

	"fulmarhinge/internal/clock"
)

const (
	// stoodStill is the time without a sign of life after which the process
	// counts as having stood still. Signs come every 40 ms.
	stoodStill = 300 * time.Millisecond
	// wakingFor is how long requests may still be ones that waited meanwhile.
	wakingFor = 30 * time.Millisecond
)

// awake tells requests that waited while the process stood still: their callers
// may have left since, and the word of that comes right behind them.
type awake struct {
	last, woke atomic.Int64
}

// sign takes a sign of life and reports whether the process woke just now.
func (a *awake) sign(now clock.Mono) bool {
	last := clock.Mono(a.last.Swap(int64(now)))
	if last > 0 && now.Sub(last) > stoodStill {
		a.woke.Store(int64(now))
	}
	woke := clock.Mono(a.woke.Load())
	return woke > 0 && now.Sub(woke) < wakingFor
}

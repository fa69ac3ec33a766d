package limit

import (
	"math"
	"time"

	"fulmarhinge/internal/clock"
)

// tokenEpsilon absorbs the rounding errors of sums of fractional tokens.
const tokenEpsilon = 1e-9

// bucket is a token bucket. One token admits one request.
type bucket struct {
	// rate is in tokens per second.
	rate float64
	// burst is the maximum number of tokens while no request waits.
	burst    float64
	tokens   float64
	lastFill clock.Mono
}

// fill adds the tokens for the time since the last call. While a request waits
// the capacity is at least one token, because the burst of a share can be less
// than one.
func (b *bucket) fill(now clock.Mono, waiting bool) {
	if now > b.lastFill {
		b.tokens += b.rate * now.Sub(b.lastFill).Seconds()
		b.lastFill = now
	}
	b.tokens = min(b.tokens, b.capacity(waiting))
}

// capacity returns the maximum number of tokens.
func (b *bucket) capacity(waiting bool) float64 {
	if !waiting {
		return b.burst
	}
	return max(b.burst, 1+b.rate*timerSlack.Seconds())
}

// hasToken reports whether a request may be admitted.
func (b *bucket) hasToken() bool { return b.tokens >= 1-tokenEpsilon }

// take removes one token.
func (b *bucket) take() { b.tokens = max(0, b.tokens-1) }

// timeUntil returns how long it takes until the bucket has n tokens;
// math.MaxInt64 if it never does.
func (b *bucket) timeUntil(n float64) time.Duration {
	missing := n - b.tokens
	switch {
	case missing <= tokenEpsilon:
		return 0
	case b.rate <= 0:
		return math.MaxInt64
	}
	seconds := missing / b.rate
	if seconds > math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

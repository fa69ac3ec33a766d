package limit

import (
	"math"
	"time"

	"fulmarhinge/internal/clock"
)

// tokenEpsilon hides rounding errors of sums of small parts.
const tokenEpsilon = 1e-9

// bucket is a token bucket. One token admits one request.
type bucket struct {
	// rate is in tokens a second.
	rate float64
	// burst is the most tokens that are kept while nobody waits.
	burst  float64
	tokens float64
	last   clock.Mono
}

// fill adds the tokens of the time since the last call. While a request waits
// the bucket may hold a whole token, whatever its burst: a share's burst can
// be less than one.
func (b *bucket) fill(now clock.Mono, waiting bool) {
	if now > b.last {
		b.tokens += b.rate * now.Sub(b.last).Seconds()
		b.last = now
	}
	b.tokens = min(b.tokens, b.limit(waiting))
}

func (b *bucket) limit(waiting bool) float64 {
	if !waiting {
		return b.burst
	}
	return max(b.burst, 1+b.rate*timerSlack.Seconds())
}

// has reports whether a request may be admitted.
func (b *bucket) has() bool { return b.tokens >= 1-tokenEpsilon }

// take uses one token.
func (b *bucket) take() { b.tokens = max(0, b.tokens-1) }

// wait returns how long it takes until n more tokens than now have come; the
// longest duration if they never do.
func (b *bucket) wait(n float64) time.Duration {
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

package caller

import (
	"sync/atomic"
	"time"
)

// The retry budget: each request adds a tenth of a retry, and 10 more retries are
// added each second. Retries thus work at low traffic, while no fault can raise
// the load by more than about a tenth. Amounts are in thousandths of a retry.
const (
	milliTokensPerRetry   = 1000
	milliTokensPerRequest = 100
	milliTokensPerSecond  = 10 * milliTokensPerRetry
	maxMilliTokens        = 100 * milliTokensPerRetry
)

type retryBudget struct {
	milliTokens atomic.Int64
	// lastRefillSecond is the Unix time in seconds of the last per-second
	// refill.
	lastRefillSecond atomic.Int64
}

func newRetryBudget() *retryBudget {
	b := &retryBudget{}
	b.milliTokens.Store(milliTokensPerSecond)
	return b
}

// deposit adds the share of one request, and the per-second refill if it is
// due.
func (b *retryBudget) deposit(now time.Time) {
	amount := int64(milliTokensPerRequest)
	last := b.lastRefillSecond.Load()
	if s := now.Unix(); s != last && b.lastRefillSecond.CompareAndSwap(last, s) {
		amount += milliTokensPerSecond
	}
	if b.milliTokens.Add(amount) > maxMilliTokens {
		b.milliTokens.Store(maxMilliTokens)
	}
}

// tryWithdraw takes one retry from the budget and reports whether it was
// available.
func (b *retryBudget) tryWithdraw() bool {
	if b.milliTokens.Add(-milliTokensPerRetry) >= 0 {
		return true
	}
	b.milliTokens.Add(milliTokensPerRetry)
	return false
}

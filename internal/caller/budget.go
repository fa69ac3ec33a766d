package caller

import (
	"sync/atomic"
	"time"
)

// The retry budget: each request earns a tenth of a retry, and a small number
// is granted each second besides, so that retries work at low traffic while no
// fault can multiply the load by more than about a tenth. Amounts are in
// thousandths of a retry.
const (
	milliTokensPerRetry   = 1000
	milliTokensPerRequest = 100
	milliTokensPerSecond  = 10 * milliTokensPerRetry
	maxMilliTokens        = 100 * milliTokensPerRetry
)

type retryBudget struct {
	milliTokens atomic.Int64
	// lastRefillSecond is the last lastRefillSecond for which the floor was granted.
	lastRefillSecond atomic.Int64
}

func newRetryBudget() *retryBudget {
	b := &retryBudget{}
	b.milliTokens.Store(milliTokensPerSecond)
	return b
}

// deposit counts one request.
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

// tryWithdraw reports whether one more retry is allowed.
func (b *retryBudget) tryWithdraw() bool {
	if b.milliTokens.Add(-milliTokensPerRetry) >= 0 {
		return true
	}
	b.milliTokens.Add(milliTokensPerRetry)
	return false
}

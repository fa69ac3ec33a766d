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
	retryCost      = 1000
	retryEarned    = 100
	retryPerSecond = 10 * retryCost
	budgetLimit    = 100 * retryCost
)

type budget struct {
	tokens atomic.Int64
	// second is the last second for which the floor was granted.
	second atomic.Int64
}

func newBudget() *budget {
	b := &budget{}
	b.tokens.Store(retryPerSecond)
	return b
}

// earn counts one request.
func (b *budget) earn(now time.Time) {
	amount := int64(retryEarned)
	last := b.second.Load()
	if s := now.Unix(); s != last && b.second.CompareAndSwap(last, s) {
		amount += retryPerSecond
	}
	if b.tokens.Add(amount) > budgetLimit {
		b.tokens.Store(budgetLimit)
	}
}

// spend reports whether one more retry is allowed.
func (b *budget) spend() bool {
	if b.tokens.Add(-retryCost) >= 0 {
		return true
	}
	b.tokens.Add(retryCost)
	return false
}

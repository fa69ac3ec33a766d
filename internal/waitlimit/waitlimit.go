// Package waitlimit limits the number of requests that wait on a node for each
// customer.
package waitlimit

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// stripeCount is the number of locks that the customers are spread over, to
// reduce contention.
const stripeCount = 32

// stripe counts the waiting requests of the customers that share a lock.
type stripe struct {
	mu      sync.Mutex
	waiting map[string]int
}

// Limiter limits the number of waiting requests of each customer. It is safe for
// concurrent use.
type Limiter struct {
	stripes [stripeCount]stripe
}

// New returns a Limiter without waiting requests.
func New() *Limiter {
	l := &Limiter{}
	for i := range l.stripes {
		l.stripes[i].waiting = map[string]int{}
	}
	return l
}

func (l *Limiter) stripe(customer string) *stripe {
	return &l.stripes[xxhash.Sum64String(customer)%stripeCount]
}

// TryAcquire counts one more waiting request of the customer and returns true. If
// limit requests of the customer wait already, it returns false instead.
func (l *Limiter) TryAcquire(customer string, limit int) bool {
	s := l.stripe(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[customer] >= limit {
		return false
	}
	s.waiting[customer]++
	return true
}

// Release removes a waiting request that TryAcquire has counted.
func (l *Limiter) Release(customer string) {
	s := l.stripe(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[customer]--
	if s.waiting[customer] <= 0 {
		delete(s.waiting, customer)
	}
}

// Waiting returns the number of waiting requests of the customer.
func (l *Limiter) Waiting(customer string) int {
	s := l.stripe(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting[customer]
}

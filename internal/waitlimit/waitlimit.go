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
	mu    sync.Mutex
	count map[string]int
}

// Limiter limits the number of waiting requests of each customer. It is safe for
// concurrent use.
type Limiter struct {
	stripes [stripeCount]stripe
}

// New returns a Limiter without waiting requests.
func New() *Limiter {
	r := &Limiter{}
	for i := range r.stripes {
		r.stripes[i].count = map[string]int{}
	}
	return r
}

func (r *Limiter) stripe(customer string) *stripe {
	return &r.stripes[xxhash.Sum64String(customer)%stripeCount]
}

// TryAcquire counts one more waiting request of the customer and returns true. If
// limit requests of the customer wait already, it returns false instead.
func (r *Limiter) TryAcquire(customer string, limit int) bool {
	s := r.stripe(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count[customer] >= limit {
		return false
	}
	s.count[customer]++
	return true
}

// Release removes a waiting request that TryAcquire has counted.
func (r *Limiter) Release(customer string) {
	s := r.stripe(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count[customer]--
	if s.count[customer] <= 0 {
		delete(s.count, customer)
	}
}

// Waiting returns the number of waiting requests of the customer.
func (r *Limiter) Waiting(customer string) int {
	s := r.stripe(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[customer]
}

package backend

import (
	"context"
	"sync"
	"sync/atomic"
)

// Bounds of the queue for slots, for one customer and in total.
const (
	queuePerCustomerFactor = 4
	queuePerCustomerFloor  = 16
	queueTotalFactor       = 64
	queueTotalFloor        = 256
)

// waiter is one request in the queue; granted is closed when it has a slot.
type waiter struct {
	granted chan struct{}
}

// customerQueue holds the waiters of one customer in order of arrival.
type customerQueue struct {
	customer string
	waiters  []*waiter
}

// slots bounds how many requests run on the backend server. A free slot is
// taken without a lock; who must wait is served in turn by customer, so that a
// customer with a long queue does not delay the others.
type slots struct {
	limit   atomic.Int64
	used    atomic.Int64
	waiting atomic.Int64

	mu     sync.Mutex
	queues map[string]*customerQueue
	// ring holds the customers with waiters; the first one is next.
	ring []*customerQueue
}

func newSlots(limit int) *slots {
	s := &slots{queues: map[string]*customerQueue{}}
	s.limit.Store(int64(limit))
	return s
}

// resize changes the number of slots; requests that run are not disturbed.
func (s *slots) resize(limit int) {
	s.limit.Store(int64(limit))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant()
}

// acquire takes a slot, waiting until ctx ends. It reports false if none became
// free in time or the queue is full.
func (s *slots) acquire(ctx context.Context, customer string) bool {
	if s.waiting.Load() == 0 && s.take() {
		return true
	}
	w := s.enqueue(customer)
	if w == nil {
		return false
	}
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	s.abandon(customer, w)
	return false
}

// release gives a slot back.
func (s *slots) release() {
	s.used.Add(-1)
	if s.waiting.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant()
}

func (s *slots) take() bool {
	for {
		used := s.used.Load()
		if used >= s.limit.Load() {
			return false
		}
		if s.used.CompareAndSwap(used, used+1) {
			return true
		}
	}
}

func (s *slots) enqueue(customer string) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.limit.Load()
	if s.waiting.Load() >= queueTotalFactor*limit+queueTotalFloor {
		return nil
	}
	q := s.queues[customer]
	if q == nil {
		q = &customerQueue{customer: customer}
		s.queues[customer] = q
		s.ring = append(s.ring, q)
	}
	if int64(len(q.waiters)) >= queuePerCustomerFactor*limit+queuePerCustomerFloor {
		return nil
	}
	w := &waiter{granted: make(chan struct{})}
	q.waiters = append(q.waiters, w)
	s.waiting.Add(1)
	// A slot may have become free between the attempt without the lock and
	// the count of the waiter.
	s.grant()
	return w
}

// grant hands free slots to waiters, one customer after the other. The lock
// is held.
func (s *slots) grant() {
	for len(s.ring) > 0 && s.take() {
		q := s.ring[0]
		s.ring = s.ring[1:]
		w := q.waiters[0]
		q.waiters = q.waiters[1:]
		s.waiting.Add(-1)
		close(w.granted)
		if len(q.waiters) > 0 {
			s.ring = append(s.ring, q)
		} else {
			delete(s.queues, q.customer)
		}
	}
}

// abandon removes a waiter that gave up, or returns the slot that it got at
// the same moment.
func (s *slots) abandon(customer string, w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-w.granted:
		s.used.Add(-1)
		s.grant()
		return
	default:
	}
	q := s.queues[customer]
	for i, other := range q.waiters {
		if other == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			break
		}
	}
	s.waiting.Add(-1)
	if len(q.waiters) > 0 {
		return
	}
	delete(s.queues, customer)
	for i, other := range s.ring {
		if other == q {
			s.ring = append(s.ring[:i], s.ring[i+1:]...)
			return
		}
	}
}

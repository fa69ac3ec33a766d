package backend

import (
	"context"
	"sync"
	"sync/atomic"
)

// Limits of the queue for slots, per customer and in total. Each limit is the
// number of slots times the PerSlot value, plus the Base value, in requests.
const (
	customerQueuePerSlot = 4
	customerQueueBase    = 16
	totalQueuePerSlot    = 64
	totalQueueBase       = 256
)

// waiter is one queued request. granted is closed when it receives a slot.
type waiter struct {
	granted chan struct{}
}

// customerQueue holds the waiters of one customer in order of arrival.
type customerQueue struct {
	customer string
	waiters  []*waiter
}

// slots limits how many requests run concurrently on the backend server. A free
// slot is taken without a lock. Queued requests receive slots round-robin by
// customer, so that a customer with a long queue does not delay the others.
type slots struct {
	limit   atomic.Int64
	used    atomic.Int64
	waiting atomic.Int64

	mu     sync.Mutex
	queues map[string]*customerQueue
	// roundRobin holds the customers with queued requests; the first is next.
	roundRobin []*customerQueue
}

func newSlots(limit int) *slots {
	s := &slots{queues: map[string]*customerQueue{}}
	s.limit.Store(int64(limit))
	return s
}

// resize changes the number of slots. Running requests are not affected.
func (s *slots) resize(limit int) {
	s.limit.Store(int64(limit))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant()
}

// acquire takes a slot, waiting for one until ctx ends. It returns false if no
// slot became free in time or the queue is full.
func (s *slots) acquire(ctx context.Context, customer string) bool {
	if s.waiting.Load() == 0 && s.tryTake() {
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
	s.cancelWait(customer, w)
	return false
}

// release returns a slot.
func (s *slots) release() {
	s.used.Add(-1)
	if s.waiting.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant()
}

func (s *slots) tryTake() bool {
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
	if s.waiting.Load() >= totalQueuePerSlot*limit+totalQueueBase {
		return nil
	}
	q := s.queues[customer]
	if q == nil {
		q = &customerQueue{customer: customer}
		s.queues[customer] = q
		s.roundRobin = append(s.roundRobin, q)
	}
	if int64(len(q.waiters)) >= customerQueuePerSlot*limit+customerQueueBase {
		return nil
	}
	w := &waiter{granted: make(chan struct{})}
	q.waiters = append(q.waiters, w)
	s.waiting.Add(1)
	// A slot may have become free after the attempt without the lock and
	// before the waiter was counted.
	s.grant()
	return w
}

// grant assigns free slots to queued requests, round-robin by customer. The
// caller holds the lock.
func (s *slots) grant() {
	for len(s.roundRobin) > 0 && s.tryTake() {
		q := s.roundRobin[0]
		s.roundRobin = s.roundRobin[1:]
		w := q.waiters[0]
		q.waiters = q.waiters[1:]
		s.waiting.Add(-1)
		close(w.granted)
		if len(q.waiters) > 0 {
			s.roundRobin = append(s.roundRobin, q)
		} else {
			delete(s.queues, q.customer)
		}
	}
}

// cancelWait removes a waiter whose context ended, or releases the slot that the
// waiter was granted at the same time.
func (s *slots) cancelWait(customer string, w *waiter) {
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
	for i, other := range s.roundRobin {
		if other == q {
			s.roundRobin = append(s.roundRobin[:i], s.roundRobin[i+1:]...)
			return
		}
	}
}

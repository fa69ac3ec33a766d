// Package waitroom bounds how many requests of each customer wait on a node.
package waitroom

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// stripes keeps customers from sharing one lock.
const stripes = 32

type stripe struct {
	mu    sync.Mutex
	count map[string]int
}

// Room counts the waiting requests of each customer.
type Room struct {
	stripes [stripes]stripe
}

// New returns an empty room.
func New() *Room {
	r := &Room{}
	for i := range r.stripes {
		r.stripes[i].count = map[string]int{}
	}
	return r
}

func (r *Room) stripe(customer string) *stripe {
	return &r.stripes[xxhash.Sum64String(customer)%stripes]
}

// Enter counts one more waiting request, unless limit requests of the customer
// wait already.
func (r *Room) Enter(customer string, limit int) bool {
	s := r.stripe(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count[customer] >= limit {
		return false
	}
	s.count[customer]++
	return true
}

// Leave undoes one Enter.
func (r *Room) Leave(customer string) {
	s := r.stripe(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count[customer]--
	if s.count[customer] <= 0 {
		delete(s.count, customer)
	}
}

// Waiting returns how many requests of the customer wait.
func (r *Room) Waiting(customer string) int {
	s := r.stripe(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[customer]
}

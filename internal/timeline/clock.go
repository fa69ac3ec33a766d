package timeline

import (
	"sync"
	"time"
)

// maxOffset is how far a remote stamp may be ahead of the local wall clock. It
// keeps one peer with a wrong wall clock from advancing the clocks of the whole
// fleet.
const maxOffset = time.Minute

// Less reports whether s is before o.
func (s Stamp) Less(o Stamp) bool {
	if s.Wall != o.Wall {
		return s.Wall < o.Wall
	}
	return s.Logical < o.Logical
}

// Time returns the wall clock part of s.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall) }

// Clock is a hybrid logical clock. Its stamps are strictly increasing, stay close
// to the wall clock and are after every remote stamp that was observed. It is
// safe for concurrent use.
type Clock struct {
	wall func() time.Time

	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock based on the given wall clock, which may go backwards.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns the next stamp.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wall := c.wall().UnixNano(); wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe makes all later stamps come after the remote one. It reports false and
// changes nothing if the remote stamp is more than maxOffset in the future.
func (c *Clock) Observe(remote Stamp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote.Wall > c.wall().Add(maxOffset).UnixNano() {
		return false
	}
	if c.last.Less(remote) {
		c.last = remote
	}
	return true
}

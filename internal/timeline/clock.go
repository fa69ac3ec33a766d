package timeline

import (
	"sync"
	"time"
)

// maxAhead is how far the clock lets a peer move it past the wall clock. A
// peer whose wall clock is wrong by more must not drag the whole fleet along.
const maxAhead = time.Minute

// Less reports whether s comes before o.
func (s Stamp) Less(o Stamp) bool {
	if s.Wall != o.Wall {
		return s.Wall < o.Wall
	}
	return s.Logical < o.Logical
}

// Time returns the wall part.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall) }

// Clock is a hybrid logical clock. Its readings grow strictly, stay close to
// the wall clock, and come after every remote reading that was observed. It is
// safe for concurrent use.
type Clock struct {
	wall func() time.Time

	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock over the given wall clock, which may go backwards.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns the next reading.
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

// Observe makes every later reading come after the remote one. It reports
// false, and changes nothing, if the remote one is too far in the future.
func (c *Clock) Observe(remote Stamp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote.Wall > c.wall().Add(maxAhead).UnixNano() {
		return false
	}
	if c.last.Less(remote) {
		c.last = remote
	}
	return true
}

package gate

import (
	"sync"
	"time"

	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/upstream"
)

// slownessFresh is how long a stated slowness is passed on. It changes within some 400 ms.
const slownessFresh = 400 * time.Millisecond

// slowness is the momentary slowness that the server last stated.
type slowness struct {
	mu       sync.Mutex
	instance fleet.Instance
	stated   int
	statedAt time.Time
}

// percent returns the slowness of the instance in percent of its usual service time, 0
// if it is not known.
func (s *slowness) percent(now time.Time, instance fleet.Instance) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance != instance || now.Sub(s.statedAt) >= slownessFresh {
		return 0
	}
	return uint32(s.stated)
}

func (s *slowness) record(now time.Time, instance fleet.Instance, percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instance, s.stated, s.statedAt = instance, percent, now
}

// recordSlowness records the slowness in a response of the instance. A malformed one is
// ignored.
func (g *Gate) recordSlowness(instance fleet.Instance, resp *upstream.Response) {
	if resp.SlownessErr != nil {
		g.log.Warn("load of the backend server ignored", "server", instance.ID, "error", resp.SlownessErr)
		return
	}
	if resp.Slowness > 0 {
		g.slowness.record(time.Now(), instance, resp.Slowness)
	}
}

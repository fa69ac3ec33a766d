package ingress

import (
	"sync"
	"time"
)

const (
	// timeoutWindow is the length of the windows over which the longest timeout
	// stated by a route's callers is determined. That timeout is assumed to be the
	// one that callers state on a first attempt.
	timeoutWindow = 10 * time.Second
	// maxTrackedRoutes is the number of routes at which all estimates are reset.
	maxTrackedRoutes = 4096
)

// ageEstimator estimates how long ago a caller first sent a request, from the
// remaining time that the caller states: a caller that retries after a refusal
// has less time left than other callers of the same route.
type ageEstimator struct {
	mu     sync.Mutex
	routes map[string]*maxTimeout
}

// maxTimeout holds the longest timeout stated in the current and the previous
// window.
type maxTimeout struct {
	windowStart       time.Time
	current, previous time.Duration
}

// estimate returns the age of a request whose caller states this remaining time.
func (a *ageEstimator) estimate(now time.Time, route string, timeLeft time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.routes == nil || len(a.routes) >= maxTrackedRoutes {
		a.routes = map[string]*maxTimeout{}
	}
	m := a.routes[route]
	if m == nil {
		m = &maxTimeout{windowStart: now}
		a.routes[route] = m
	}
	if now.Sub(m.windowStart) > timeoutWindow {
		m.previous, m.current, m.windowStart = m.current, 0, now
	}
	m.current = max(m.current, timeLeft)
	return max(m.current, m.previous) - timeLeft
}

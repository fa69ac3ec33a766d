package ingress

import (
	"sync"
	"time"
)

const (
	// timeoutWindow is the length of a window in which the longest timeout stated
	// by a route's callers is taken as the timeout of a first attempt.
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
	l := a.routes[route]
	if l == nil {
		l = &maxTimeout{windowStart: now}
		a.routes[route] = l
	}
	if now.Sub(l.windowStart) > timeoutWindow {
		l.previous, l.current, l.windowStart = l.current, 0, now
	}
	l.current = max(l.current, timeLeft)
	return max(l.current, l.previous) - timeLeft
}

package slowstart

import (
	"math"
	"time"
)

// clockDrift is the part by which the server's clock may run slower than this node's, the
// same that grants leave for it.
const clockDrift = 0.02

// Config holds the slow start of the server's service and the bounds of the settings. The
// zero value means that nothing is limited.
type Config struct {
	// Duration is how long a server is cold after its start.
	Duration time.Duration
	// PerSecond is the number of requests per second that a cold server tolerates.
	PerSecond float64
	// A cold server receives at most Ratio x PerSecond + Extra requests in any second.
	Ratio, Extra float64
	// Unknown is true while the service's slow start is not known: a server that states
	// that it is cold receives Extra requests in any second.
	Unknown bool
}

func (c Config) enabled() bool {
	return c.Unknown || c.Duration > 0 && c.PerSecond > 0 && c.Ratio+c.Extra > 0
}

// lateReads is the number of places that are left free. A server that reads the first
// requests of a window late and the next ones at once has received more than were written in
// any second: 27 with 26 places, once in a soak.
const lateReads = 1

// places returns how many requests a cold server is sent in any second: those that it may
// receive less lateReads, but for a bound so low that hardly any would be left.
func (c Config) places() int {
	const rounding = 1e-9
	n := int(math.Floor(min(c.PerSecond*c.Ratio+c.Extra, 1e6) + rounding))
	if n < 4*lateReads {
		return n
	}
	return n - lateReads
}

// Limiter tracks whether a server is cold, and the requests that it received lately. All
// times passed to it are those of one clock.
type Limiter struct {
	config Config
	// fullUntil is until when the window counts as full, because requests that are not
	// known may have been written.
	fullUntil time.Time
	// coldUntil is when the server is expected to be warm. The newest statement about that
	// was current at statedAt; before the first one, the server is expected to be cold since
	// coldSince.
	coldUntil, coldSince, statedAt time.Time
	stated                         bool
	instance                       string
	window                         window
}

// NewLimiter returns the limiter of a process that has just started: what an earlier process
// has written is not known.
func NewLimiter(now time.Time) *Limiter {
	return &Limiter{fullUntil: now.Add(windowLength + maxDeliveryMargin), coldSince: now, coldUntil: now}
}

// Configure changes the configuration. What was written while nothing was limited is not known.
func (l *Limiter) Configure(now time.Time, c Config) {
	if c == l.config {
		return
	}
	was := l.config.enabled()
	l.config = c
	if !l.stated {
		l.coldUntil = l.coldSince.Add(withDrift(c.Duration))
	}
	switch {
	case !c.enabled():
		l.window.written = nil
	case !was:
		if full := now.Add(spacing(c.places())); full.After(l.fullUntil) {
			l.fullUntil = full
		}
	}
}

// SetInstance sets the instance of the server. A new one is cold until it states otherwise.
func (l *Limiter) SetInstance(now time.Time, instance string) {
	if l.instance == instance {
		return
	}
	l.instance = instance
	l.statedAt = time.Time{}
	l.ExpectCold(now)
}

// ExpectCold makes the server count as cold for the whole slow start, until a later
// statement says otherwise.
func (l *Limiter) ExpectCold(now time.Time) {
	if now.After(l.statedAt) {
		l.statedAt = now
	}
	l.stated, l.coldSince = false, now
	l.coldUntil = now.Add(withDrift(l.config.Duration))
}

// State records that the server stated how much longer it is cold, 0 if it is warm. The
// statement was made at asOf or later and received now. One that may be older than the newest
// one can prolong the slow start, but not end it.
func (l *Limiter) State(now, asOf time.Time, left time.Duration) {
	until := now
	if left > 0 {
		until = now.Add(withDrift(left))
	}
	if asOf.Before(l.statedAt) && until.Before(l.coldUntil) {
		return
	}
	l.coldUntil, l.statedAt, l.stated = until, now, true
}

func withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + clockDrift))
}

// Enabled reports whether a cold server is limited.
func (l *Limiter) Enabled() bool { return l.config.enabled() }

// ColdLeft returns how much longer the server is limited as cold, 0 if it is not.
func (l *Limiter) ColdLeft(now time.Time) time.Duration {
	if !l.config.enabled() {
		return 0
	}
	return max(0, l.coldUntil.Sub(now))
}

// Rate returns how many requests per second the server is sent while it is cold, 0 if it
// is not limited.
func (l *Limiter) Rate(now time.Time) float64 {
	if l.ColdLeft(now) == 0 {
		return 0
	}
	return float64(l.config.places()) / spacing(l.config.places()).Seconds()
}

// Wait returns how long a request must wait for a place if n others are given one before it.
func (l *Limiter) Wait(now time.Time, n int) time.Duration {
	left := l.ColdLeft(now)
	if left == 0 {
		return 0
	}
	places := l.config.places()
	if places < 1 {
		return left
	}
	wait := l.window.wait(now, places, n)
	if full := l.fullUntil.Sub(now); full > 0 {
		wait = max(wait, full+time.Duration(n/places)*spacing(places))
	}
	return min(wait, left)
}

// Take takes a place for a request that is about to be written. The place is held until
// Drop, or one window after Written. It returns nil if nothing is recorded.
func (l *Limiter) Take(now time.Time) *Place {
	if !l.config.enabled() {
		return nil
	}
	l.window.prune(now, windowLength+maxDeliveryMargin)
	return l.window.take()
}

// Written records when the request of a place had been written.
func (l *Limiter) Written(p *Place, at time.Time) {
	if p != nil {
		l.window.write(p, at)
	}
}

// Drop frees the place of a request that does not count: one that was not written or, if
// written is true, also one that was. It reports whether it has freed it.
func (l *Limiter) Drop(p *Place, written bool) bool {
	if p == nil || p.dropped || !written && !p.writtenAt.IsZero() {
		return false
	}
	l.window.drop(p)
	return true
}

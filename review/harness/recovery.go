//go:build review

package harness

import (
	"sync"
	"time"
)

// RecoverySeconds is recoveryS of the site.
const RecoverySeconds = 15

// Recovery keeps when requests were sent and whether they were served, before and after a
// final fault.
type Recovery struct {
	mu       sync.Mutex
	attempts []*attempt
}

type attempt struct {
	sentAt time.Duration
	served bool
}

// Sent records a request that is sent now, and returns what records that it was served.
func (r *Recovery) Sent(now time.Duration) (served func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &attempt{sentAt: now}
	r.attempts = append(r.attempts, a)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		a.served = true
	}
}

// Judge applies RECOVER: of the requests sent later than recoveryS after the machines are back, a
// quarter at least is served, if a quarter was before the final fault. It returns the exit code.
func (r *Recovery) Judge(rec *Record, faultAt, backAt time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	for _, a := range r.attempts {
		switch {
		case a.sentAt < faultAt:
			before++
			if a.served {
				servedBefore++
			}
		case a.sentAt > backAt+RecoverySeconds*time.Second:
			after++
			if a.served {
				servedAfter++
			}
		}
	}
	rec.Say("served before the final fault: %d of %d; later than %d s after the machines were back: %d of %d",
		servedBefore, before, RecoverySeconds, servedAfter, after)
	switch {
	case before == 0 || after == 0 || 4*servedBefore < before:
		return NotRun
	case 4*servedAfter < after:
		rec.Say("RECOVER broken")
		return Broken
	}
	return Held
}

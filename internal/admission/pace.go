package admission

import "time"

const (
	// paceBurst is the time for which starts may be ahead of the rate, so that
	// requests that arrive at random intervals are hardly delayed.
	paceBurst = 100 * time.Millisecond
	// MinRate is the lowest rate in requests per second. Only the response to a
	// request shows whether the server still names its limit, so that some must
	// be sent even at a limit of 0.
	MinRate = 0.25
)

// pace spaces the starts of requests at a server that names a rate. The zero value
// does not limit them.
type pace struct {
	// interval is the time between two starts, 0 without a limit.
	interval time.Duration
	// next is when the next request is due to start; it may start paceBurst
	// earlier.
	next time.Time
}

// set changes the rate in requests per second. Starts that were ahead of the earlier
// rate count for the new one.
func (p *pace) set(now time.Time, perSecond float64) {
	if p.interval == 0 {
		p.next = now
	}
	p.interval = time.Duration(float64(time.Second) / max(perSecond, MinRate))
	if latest := now.Add(p.interval + paceBurst); p.next.After(latest) {
		p.next = latest
	}
}

func (p *pace) started(now time.Time) {
	if p.interval == 0 {
		return
	}
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(p.interval)
}

// undo takes back a start that does not count.
func (p *pace) undo() { p.next = p.next.Add(-p.interval) }

// wait returns how long a request must wait for its start if n others start before it.
func (p *pace) wait(now time.Time, n int) time.Duration {
	if p.interval == 0 {
		return 0
	}
	return max(0, p.next.Add(-paceBurst).Sub(now)+time.Duration(n)*p.interval)
}

// SetRate limits the rate at which requests are given slots to perSecond. It returns
// the waiting requests that cannot be given one in time any more; they are removed.
func (s *Scheduler) SetRate(now time.Time, perSecond float64) (refused []*Request) {
	s.pace.set(now, perSecond)
	return s.refuseTooLate(now)
}

// refuseTooLate removes and returns the waiting requests that cannot be given a slot in
// time at the present rate.
func (s *Scheduler) refuseTooLate(now time.Time) (refused []*Request) {
	for i := 0; i < len(s.waiting); {
		if r := s.waiting[i]; s.startsTooLate(now, r) {
			s.removeAt(i)
			r.refusal = Expired
			refused = append(refused, r)
			continue
		}
		i++
	}
	return refused
}

// ClearRate ends the limit of SetRate.
func (s *Scheduler) ClearRate() { s.pace = pace{} }

// NextStart returns when a waiting request may be given one of the free slots, and
// false if none is waiting for the rate alone.
func (s *Scheduler) NextStart(now time.Time) (time.Time, bool) {
	if !s.limited(now) || len(s.waiting) == 0 || s.running >= s.slots {
		return time.Time{}, false
	}
	return now.Add(s.rateWait(now, 0)), true
}

// PaceWait returns how long another request would wait for the rate that the server names
// alone.
func (s *Scheduler) PaceWait(now time.Time) time.Duration { return s.pace.wait(now, len(s.waiting)) }

// limited reports whether anything but slots delays the start of requests.
func (s *Scheduler) limited(now time.Time) bool {
	return s.pace.interval > 0 || s.cold(now)
}

// cold reports whether the server is limited as cold.
func (s *Scheduler) cold(now time.Time) bool {
	return s.slowStart != nil && s.slowStart.ColdLeft(now) > 0
}

// rateWait returns how long a request must wait for its start, without regard to slots, if n
// others start before it.
func (s *Scheduler) rateWait(now time.Time, n int) time.Duration {
	wait := s.pace.wait(now, n)
	if s.slowStart == nil {
		return wait
	}
	return max(wait, s.slowStart.Wait(now, n), min(s.coldPace.wait(now, n), s.slowStart.ColdLeft(now)))
}

// startsTooLate reports whether the rate alone keeps a request from being given a slot
// in time.
func (s *Scheduler) startsTooLate(now time.Time, r *Request) bool {
	if !s.limited(now) {
		return false
	}
	return now.Add(s.rateWait(now, s.countBefore(now, r))).After(s.LatestStart(r))
}

// countBefore returns how many waiting requests are given a slot before r.
func (s *Scheduler) countBefore(now time.Time, r *Request) int {
	n := 0
	for _, w := range s.waiting {
		if w != r && s.before(now, w, r) {
			n++
		}
	}
	return n
}

package admission

import "time"

// maxReturn bounds how far ahead refused callers are told to return, unless a rate keeps
// the server from taking them sooner. Capacity is not predicted further than some bursts.
const maxReturn = 2 * time.Second

// RetryAfter returns when a caller whose request was refused is expected to find a free
// slot, as the time from now. Callers that are refused together get different times: each
// one counts as the work of its request for the next one of its rank.
func (s *Scheduler) RetryAfter(now time.Time, r *Request) time.Duration {
	rate := float64(s.slots) * s.shares.capacityShare(now, r.rank, s.slots)
	ahead := s.runningWork(r)
	n := 0
	for _, w := range s.waiting {
		if w.rank <= r.rank {
			ahead += s.slotTime(now, w)
			n++
		}
	}
	rateWait := s.rateWait(now, n)
	at := now.Add(max(time.Duration(ahead/rate), rateWait))
	if f := s.failures[r.Class]; f != nil && f.failing {
		at = later(at, now.Add(probeInterval))
	}
	at = later(at, s.returns[r.rank])
	if latest := now.Add(max(maxReturn, rateWait)); at.After(latest) {
		at = latest
	}
	step := time.Duration(s.slotTime(now, r) / rate)
	s.returns[r.rank] = at.Add(step)
	return at.Sub(now)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

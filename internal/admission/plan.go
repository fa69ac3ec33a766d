package admission

import (
	"sort"
	"time"
)

// insert adds a request to those that wait, which are ordered by rank and target.
func (s *Scheduler) insert(r *Request) {
	i := sort.Search(len(s.waiting), func(i int) bool { return ordered(r, s.waiting[i]) })
	s.waiting = append(s.waiting, nil)
	copy(s.waiting[i+1:], s.waiting[i:])
	s.waiting[i] = r
}

// ordered reports whether a is before b by rank, target and arrival.
func ordered(a, b *Request) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if !a.Target.Equal(b.Target) {
		return a.Target.Before(b.Target)
	}
	return a.seq < b.seq
}

// displaced returns the requests that must give way so that as many as possible of r's
// rank are answered by their targets, with r among the waiting ones. As in the rule of
// Moore and Hodgson for the fewest late jobs, the request with the most work gives way
// wherever one would be late. Requests of a starved class do not give way to others.
func (s *Scheduler) displaced(now time.Time, r *Request) (out []*Request) {
	ahead := s.runningWork(r)
	var same []*Request
	for _, w := range s.waiting {
		switch {
		case w.rank < r.rank:
			ahead += s.slotTime(now, w)
		case w.rank == r.rank && !s.late(now, w):
			same = append(same, w)
		}
	}
	rate := float64(s.slots) * s.shares.capacityShare(now, r.rank, s.slots)
	starved := map[string]bool{}
	for _, w := range same {
		if _, known := starved[w.Class]; !known {
			starved[w.Class] = s.shares.starved(now, w.Class)
		}
	}
	for {
		i := s.firstToGive(now, r, same, starved, ahead, rate)
		if i < 0 {
			return out
		}
		out = append(out, same[i])
		if same[i] == r {
			return out
		}
		same = append(same[:i], same[i+1:]...)
	}
}

// firstToGive returns the index of the request that gives way to the first one, from r on,
// that would miss its target; -1 if none would.
func (s *Scheduler) firstToGive(
	now time.Time, r *Request, same []*Request, starved map[string]bool, ahead, rate float64,
) int {
	largest, afterR := -1, false
	largestWork := time.Duration(0)
	for i, w := range same {
		work := s.ServiceTime(w.Class)
		if !starved[w.Class] && work >= largestWork {
			largest, largestWork = i, work
		}
		afterR = afterR || w == r
		if afterR && now.Add(time.Duration(ahead/rate)).After(w.Target.Add(-work)) {
			if largest < 0 {
				return i
			}
			return largest
		}
		ahead += s.slotTime(now, w)
	}
	return -1
}

// runningWork returns the work in ns that the running requests have left for all slots
// beyond one free slot.
func (s *Scheduler) runningWork(r *Request) float64 {
	return max(0, float64(s.running-s.slots+1)*float64(s.ServiceTime(r.Class))/2)
}

// slotTime returns the time in ns for which a request keeps others from one of the slots:
// its work, or longer if a rate delays the next start.
func (s *Scheduler) slotTime(now time.Time, r *Request) float64 {
	interval := s.pace.interval
	if s.cold(now) {
		interval = max(interval, s.coldPace.interval)
	}
	return float64(max(s.ServiceTime(r.Class), interval*time.Duration(s.slots)))
}

// Package admission decides which requests run at a backend server, in which
// order the others wait, and which are refused immediately. When all slots of
// the server are taken, requests that can still be answered in time are given
// slots first, and requests that cannot be answered at all are shed instead of
// being queued.
package admission

import (
	"slices"
	"time"

	"fulmarhinge/internal/slowstart"
)

const (
	// defaultServiceTime is assumed for a class until its first request has
	// completed.
	defaultServiceTime = 80 * time.Millisecond
	// serviceTimeWeight is the weight of the newest sample in the moving
	// averages of the service time.
	serviceTimeWeight = 0.05
	// minTargetServiceTimes is the time before its target, in mean service
	// times, that a request needs to count as one that will be answered by
	// then.
	minTargetServiceTimes = 1.3
	// minDeadlineServiceTimes is the time before its deadline, in mean service
	// times, that a request needs to be given a slot.
	minDeadlineServiceTimes = 0.6
	// maxLateWaitShare is the share of its remaining time that a request may be
	// predicted to wait once it can no longer meet its target.
	maxLateWaitShare = 0.6
	// lateWindow is the window over which slots given to late requests are
	// counted. Late requests get a slot only after the others, so their wait
	// can be predicted only from this rate.
	lateWindow = time.Second
)

// Request holds the properties of a request that admission depends on.
type Request struct {
	// Class groups requests of similar service time.
	Class string
	// Priority is the rank of the class; 0 is the highest.
	Priority int
	// Target is the time after which an answer is worth less; after Deadline it
	// is worth nothing.
	Target   time.Time
	Deadline time.Time
	seq      uint64
	admitted bool
	// rank is the priority that the request is scheduled with: its own, or the highest
	// if its class has starved for long.
	rank int
	// probe is true for a running request of a class that mostly fails.
	probe bool
	// refusal is the reason why the scheduler refused the request.
	refusal Refusal
	// place is the request's place in the window of a slow start.
	place *slowstart.Place
}

// Scheduler holds the running and waiting requests of one backend server. It
// reads no clock and is not safe for concurrent use.
type Scheduler struct {
	slots   int
	running int
	waiting []*Request
	// serviceTimes holds the moving average of the service time of each class,
	// and meanServiceTime that of all classes, in ns.
	serviceTimes    map[string]float64
	meanServiceTime float64
	seq             uint64
	// lateStarts counts the slots given to late requests in the current window,
	// which began at windowStart; prevLateStarts counts those of the window
	// before.
	windowStart                time.Time
	lateStarts, prevLateStarts int
	pace                       pace
	// shares and lasting hold the served shares of the classes over a short and a long
	// time.
	shares, lasting shares
	// returns is, by priority, when the next refused caller is told to return.
	returns map[int]time.Time
	// failures holds the classes of which a run has failed.
	failures map[string]*failures
	// slowStart limits the requests to a cold server; nil if there is no such limit.
	slowStart *slowstart.Limiter
	// coldPace spaces the starts of requests at a cold server. Without it, all places of a
	// window would be taken at its begin, and an urgent request that comes later would wait
	// for the next one.
	coldPace pace
}

// NewScheduler returns a scheduler with the given number of slots.
func NewScheduler(slots int) *Scheduler {
	return &Scheduler{
		slots: max(1, slots), serviceTimes: map[string]float64{}, shares: newShares(shareMemory), lasting: newShares(lastingMemory),
		returns: map[int]time.Time{}, failures: map[string]*failures{},
	}
}

// SetSlots changes the number of slots. Running requests are not affected.
func (s *Scheduler) SetSlots(n int) { s.slots = max(1, n) }

// Counts returns the number of running and waiting requests.
func (s *Scheduler) Counts() (running, waiting int) { return s.running, len(s.waiting) }

// ServiceTime returns the expected service time of a class.
func (s *Scheduler) ServiceTime(class string) time.Duration {
	if w := s.serviceTimes[class]; w > 0 {
		return time.Duration(w)
	}
	if s.meanServiceTime > 0 {
		return time.Duration(s.meanServiceTime)
	}
	return defaultServiceTime
}

// LatestStart returns the latest time at which it is worth giving the request a
// slot.
func (s *Scheduler) LatestStart(r *Request) time.Time {
	return r.Deadline.Add(-time.Duration(minDeadlineServiceTimes * float64(s.ServiceTime(r.Class))))
}

// Offer takes a new request and admits it, queues it or refuses it. It also returns the
// requests that are refused now: r itself, or waiting ones that give way to it. A request
// is queued only if it is predicted to be answered by its target: in a lasting overload,
// a longer queue would only make the requests behind it late as well. A request that can
// no longer meet its target is queued only if it is expected to get a slot soon that the
// other requests leave free.
func (s *Scheduler) Offer(now time.Time, r *Request) (admitted bool, refused []*Request) {
	s.seq++
	r.seq = s.seq
	r.rank = r.Priority
	if s.lasting.starved(now, r.Class) {
		r.rank = 0
	}
	s.shares.offer(now, r)
	s.lasting.offer(now, r)
	if !s.mayRun(now, r) {
		r.refusal = Failing
		return false, []*Request{r}
	}
	r.refusal = Overloaded
	if s.mayStart(now) && len(s.waiting) == 0 && now.Before(s.LatestStart(r)) {
		s.start(now, r)
		return true, nil
	}
	if s.late(now, r) {
		if !s.WorthWaiting(now, r) {
			return false, []*Request{r}
		}
		s.insert(r)
		return false, nil
	}
	if now.Add(s.rateWait(now, s.countBefore(now, r))).After(r.Target.Add(-s.ServiceTime(r.Class))) {
		return false, []*Request{r}
	}
	s.insert(r)
	refused = s.displaced(now, r)
	for _, w := range refused {
		s.Remove(w)
		if w != r {
			w.refusal = Displaced
		}
	}
	return false, refused
}

// mayStart reports whether a request may be given a slot now.
func (s *Scheduler) mayStart(now time.Time) bool {
	return s.running < s.slots && s.rateWait(now, 0) == 0
}

// start gives a slot to a request.
func (s *Scheduler) start(now time.Time, r *Request) {
	s.running++
	s.pace.started(now)
	if s.slowStart != nil {
		s.takePlace(now, r)
	}
	r.admitted = true
	s.startProbe(now, r)
	s.shares.start(now, r, s.ServiceTime(r.Class))
	s.lasting.start(now, r, s.ServiceTime(r.Class))
	s.rotateWindow(now)
	if s.late(now, r) {
		s.lateStarts++
	}
}

// rotateWindow begins a new window for counting late requests once the current
// one is over.
func (s *Scheduler) rotateWindow(now time.Time) {
	if d := now.Sub(s.windowStart); d >= lateWindow {
		s.prevLateStarts = s.lateStarts
		if d >= 2*lateWindow {
			s.prevLateStarts = 0
		}
		s.lateStarts, s.windowStart = 0, now
	}
}

// LateAt returns the time after which a request is no longer expected to meet
// its target.
func (s *Scheduler) LateAt(r *Request) time.Time {
	return r.Target.Add(-time.Duration(minTargetServiceTimes * float64(s.ServiceTime(r.Class))))
}

// WorthWaiting reports whether a late request should keep waiting: whether it
// is predicted to get a slot soon enough at the recent rate of slots given to
// late requests.
func (s *Scheduler) WorthWaiting(now time.Time, r *Request) bool {
	if s.startsTooLate(now, r) {
		return false
	}
	s.rotateWindow(now)
	ahead := 1
	for _, w := range s.waiting {
		if w != r && s.late(now, w) && s.before(now, w, r) {
			ahead++
		}
	}
	elapsed := now.Sub(s.windowStart)
	if s.prevLateStarts > 0 {
		elapsed += lateWindow
	}
	if !s.cold(now) && (elapsed < lateWindow/4 || len(s.waiting) < s.slots) {
		// The window is too short to estimate a rate, or there is hardly any
		// overload: at a cold server, few requests wait although most are refused.
		return s.LatestStart(r).After(now)
	}
	rate := float64(s.lateStarts+s.prevLateStarts) / max(elapsed, lateWindow/4).Seconds()
	wait := time.Duration(float64(ahead) / max(rate, 0.1) * float64(time.Second))
	return wait < time.Duration(maxLateWaitShare*float64(s.LatestStart(r).Sub(now)))
}

// PredictedWait returns how long a request is expected to wait for a slot,
// given the requests that are scheduled before it and the server's rate.
func (s *Scheduler) PredictedWait(now time.Time, r *Request) time.Duration {
	total, ahead := s.runningWork(r), 0
	for _, w := range s.waiting {
		if s.before(now, w, r) {
			total += float64(s.ServiceTime(w.Class))
			ahead++
		}
	}
	rate := float64(s.slots) * s.shares.capacityShare(now, r.rank, s.slots)
	return max(time.Duration(total/rate), s.rateWait(now, ahead))
}

// before reports whether a gets a slot before b. Requests are ordered by
// priority, then those that are not late precede the late ones, then by target;
// late requests are ordered by deadline.
func (s *Scheduler) before(now time.Time, a, b *Request) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	lateA, lateB := s.late(now, a), s.late(now, b)
	if lateA != lateB {
		return lateB
	}
	if lateA {
		if !a.Deadline.Equal(b.Deadline) {
			return a.Deadline.Before(b.Deadline)
		}
		return a.seq < b.seq
	}
	if !a.Target.Equal(b.Target) {
		return a.Target.Before(b.Target)
	}
	return a.seq < b.seq
}

func (s *Scheduler) late(now time.Time, r *Request) bool {
	return now.After(s.LateAt(r))
}

// Done records that a request with a slot has ended. serviceTime is 0 if it is
// not representative of the class. Done returns the request that gets the slot,
// if any, and the waiting requests that are refused now.
func (s *Scheduler) Done(now time.Time, r *Request, serviceTime time.Duration) (next *Request, refused []*Request) {
	if serviceTime > 0 {
		s.recordServiceTime(r.Class, float64(serviceTime))
	}
	s.running--
	s.endProbe(r)
	s.dropPlace(r, false)
	return s.StartNext(now)
}

func (s *Scheduler) recordServiceTime(class string, serviceTime float64) {
	mean, known := s.serviceTimes[class]
	if !known {
		s.serviceTimes[class] = serviceTime
	} else {
		s.serviceTimes[class] = mean + serviceTimeWeight*(serviceTime-mean)
	}
	if s.meanServiceTime == 0 {
		s.meanServiceTime = serviceTime
	}
	s.meanServiceTime += serviceTimeWeight * (serviceTime - s.meanServiceTime)
}

// StartNext gives a free slot to the first waiting request that can still use
// it, and refuses those before it.
func (s *Scheduler) StartNext(now time.Time) (next *Request, refused []*Request) {
	for s.mayStart(now) && len(s.waiting) > 0 {
		first := 0
		for i := range s.waiting {
			if s.before(now, s.waiting[i], s.waiting[first]) {
				first = i
			}
		}
		r := s.waiting[first]
		s.removeAt(first)
		if !s.mayRun(now, r) {
			r.refusal = Failing
			refused = append(refused, r)
			continue
		}
		if now.After(s.LatestStart(r)) {
			r.refusal = Expired
			refused = append(refused, r)
			continue
		}
		s.start(now, r)
		return r, refused
	}
	return nil, refused
}

// Remove removes a waiting request. It returns false if the request already has
// a slot.
func (s *Scheduler) Remove(r *Request) bool {
	for i := range s.waiting {
		if s.waiting[i] == r {
			s.removeAt(i)
			return true
		}
	}
	return false
}

func (s *Scheduler) removeAt(i int) { s.waiting = slices.Delete(s.waiting, i, i+1) }

package admission

import (
	"context"
	"time"

	"fulmarhinge/internal/slowstart"
)

// SetSlowStart makes the limiter of a slow start decide, with the slots and the rate, when
// requests start. Nil ends that.
func (s *Scheduler) SetSlowStart(l *slowstart.Limiter) { s.slowStart = l }

// SlowStartChanged spaces the starts of requests by the present rate of the limiter.
func (s *Scheduler) SlowStartChanged(now time.Time) {
	rate := s.slowStart.Rate(now)
	if rate == 0 {
		s.coldPace = pace{}
		return
	}
	s.coldPace.set(now, rate)
}

// takePlace takes a place of the window for a request that starts.
func (s *Scheduler) takePlace(now time.Time, r *Request) {
	r.place = s.slowStart.Take(now)
	s.coldPace.started(now)
}

// dropPlace frees the place of a request that the server does not count: one that was not
// written or, if written is true, also one that was.
func (s *Scheduler) dropPlace(r *Request, written bool) {
	if s.slowStart != nil && r.place != nil && s.slowStart.Drop(r.place, written) {
		s.coldPace.undo()
	}
}

// SlowStartLimit is the state of the limit of a slow start.
type SlowStartLimit struct {
	// Enabled is true if a cold server is limited.
	Enabled bool
	// ColdLeft is how much longer the server is limited as cold, 0 if it is not.
	ColdLeft time.Duration
	// Rate is the number of requests per second that it is sent meanwhile, 0 if it is not
	// limited.
	Rate float64
}

// EnableSlowStart limits the requests to a cold server from now on. The process is taken
// for one that has just started.
func (q *Queue) EnableSlowStart() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.SetSlowStart(slowstart.NewLimiter(time.Now()))
}

// UpdateSlowStart calls f, which may change the limiter. Waiting requests are given the
// places that become free, and those that cannot be given one in time any more are refused.
// It does nothing if the slow start is not enabled.
func (q *Queue) UpdateSlowStart(f func(now time.Time, l *slowstart.Limiter)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.scheduler.slowStart
	if l == nil {
		return
	}
	now := time.Now()
	f(now, l)
	q.scheduler.SlowStartChanged(now)
	q.refuse(q.scheduler.refuseTooLate(now))
	q.startWaiting(now)
}

// SlowStart returns the state of the limit.
func (q *Queue) SlowStart() SlowStartLimit {
	q.mu.Lock()
	defer q.mu.Unlock()
	l, now := q.scheduler.slowStart, time.Now()
	if l == nil {
		return SlowStartLimit{}
	}
	return SlowStartLimit{Enabled: l.Enabled(), ColdLeft: l.ColdLeft(now), Rate: l.Rate(now)}
}

// RateWaitOf returns how long another request of the priority would wait, without regard to
// slots: for the slow start and for the rate that the server names.
func (q *Queue) RateWaitOf(priority int) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, n := q.scheduler, 0
	for _, w := range s.waiting {
		if w.Priority <= priority {
			n++
		}
	}
	return s.rateWait(time.Now(), n)
}

// Written records that the request has just been written to the server, at least in part.
func (q *Queue) Written(r *Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l := q.scheduler.slowStart; l != nil {
		l.Written(r.place, time.Now())
		// What waits for a place starts later than was predicted before the write.
		q.awaitRate(time.Now())
	}
}

// NotCounted frees the place of a request that the server does not count.
func (q *Queue) NotCounted(r *Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.dropPlace(r, true)
	q.startWaiting(time.Now())
}

// AcquirePlace waits for a place of the slow start without a slot, for a health check. The
// result reports that the check was written; it is nil if ctx ends before there is a place.
func (q *Queue) AcquirePlace(ctx context.Context) (written func(sent bool)) {
	for {
		q.mu.Lock()
		l, now := q.scheduler.slowStart, time.Now()
		if l == nil {
			q.mu.Unlock()
			return func(bool) {}
		}
		wait := l.Wait(now, 0)
		if wait == 0 {
			p := l.Take(now)
			q.mu.Unlock()
			return func(sent bool) { q.settlePlace(p, sent) }
		}
		q.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}

// settlePlace records the write of a health check, or frees its place.
func (q *Queue) settlePlace(p *slowstart.Place, sent bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, l := time.Now(), q.scheduler.slowStart
	if sent {
		l.Written(p, now)
		return
	}
	l.Drop(p, false)
	q.startWaiting(now)
}

package admission

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Refusal is the reason why a request got no slot. The zero value means that it
// got one.
type Refusal int

// Reasons for a refusal.
const (
	// Overloaded means that the request would not get a slot in time when it arrived.
	Overloaded Refusal = iota + 1
	// Displaced means that it gave way to other requests of its priority.
	Displaced
	// Expired means that it waited until it could not be answered in time any more.
	Expired
	// Failing means that most runs of its class end with a failure of the server, and
	// that enough of them run already.
	Failing
	// Cancelled means that the caller cancelled the request while it waited.
	Cancelled
)

// Queue makes a Scheduler safe for concurrent use and blocks callers until they
// get a slot.
type Queue struct {
	mu        sync.Mutex
	scheduler *Scheduler
	waiters   map[*Request]chan Refusal
	// paceTimer starts the next waiting request once the server's rate allows it;
	// nil until the first one has to wait for it.
	paceTimer *time.Timer
}

// NewQueue returns a queue with the given number of slots.
func NewQueue(slots int) *Queue {
	return &Queue{scheduler: NewScheduler(slots), waiters: map[*Request]chan Refusal{}}
}

// SetSlots changes the number of slots.
func (q *Queue) SetSlots(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.SetSlots(n)
	q.startWaiting(time.Now())
}

// SetRate limits the rate at which requests are given slots, in requests per second.
// Waiting requests that cannot be given one in time any more are refused.
func (q *Queue) SetRate(perSecond float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.refuse(q.scheduler.SetRate(now, perSecond))
	q.startWaiting(now)
}

// ClearRate ends the limit of SetRate.
func (q *Queue) ClearRate() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.ClearRate()
	q.startWaiting(time.Now())
}

// RateWait returns how long another request would wait for the rate that the server names
// alone.
func (q *Queue) RateWait() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.PaceWait(time.Now())
}

func (q *Queue) advance() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.startWaiting(time.Now())
}

// startWaiting gives the free slots to waiting requests, as far as the server's rate
// allows, and sets the timer for the next one that has to wait for it.
func (q *Queue) startWaiting(now time.Time) {
	for {
		next, refused := q.scheduler.StartNext(now)
		q.refuse(refused)
		if next == nil {
			break
		}
		q.notify(next, 0)
	}
	q.awaitRate(now)
}

// awaitRate sets the timer if a waiting request needs nothing but the server's rate.
func (q *Queue) awaitRate(now time.Time) {
	at, waiting := q.scheduler.NextStart(now)
	switch {
	case !waiting:
	case q.paceTimer == nil:
		q.paceTimer = time.AfterFunc(at.Sub(now), q.advance)
	default:
		q.paceTimer.Reset(at.Sub(now))
	}
}

func (q *Queue) refuse(refused []*Request) {
	for _, r := range refused {
		q.notify(r, r.refusal)
	}
}

// Counts returns the number of running and waiting requests.
func (q *Queue) Counts() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.Counts()
}

// ServiceTime returns the expected service time of a class.
func (q *Queue) ServiceTime(class string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.ServiceTime(class)
}

// Acquire waits for a slot. If the request gets none, it returns the reason and
// the time after which a retry is worthwhile.
func (q *Queue) Acquire(ctx context.Context, r *Request) (Refusal, time.Duration) {
	q.mu.Lock()
	now := time.Now()
	admitted, refused := q.scheduler.Offer(now, r)
	q.refuse(refused)
	if admitted {
		q.mu.Unlock()
		return 0, 0
	}
	if slices.Contains(refused, r) {
		retryAfter := q.scheduler.RetryAfter(now, r)
		q.mu.Unlock()
		return r.refusal, retryAfter
	}
	ch := make(chan Refusal, 1)
	q.waiters[r] = ch
	q.awaitRate(now)
	latestStart, nextCheck := q.scheduler.LatestStart(r), q.scheduler.LateAt(r)
	q.mu.Unlock()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if earliest := time.Now().Add(minCheckInterval); nextCheck.Before(earliest) {
			nextCheck = earliest
		}
		if latestStart.Before(nextCheck) {
			nextCheck = latestStart
		}
		timer.Reset(time.Until(nextCheck))
		select {
		case reason := <-ch:
			if reason == 0 {
				return 0, 0
			}
			return reason, q.retryAfter(r)
		case <-timer.C:
			if now := time.Now(); !now.Before(latestStart) || !q.worthWaiting(now, r) {
				return q.abandon(r, ch, Expired)
			}
		case <-ctx.Done():
			return q.abandon(r, ch, Cancelled)
		}
	}
}

func (q *Queue) retryAfter(r *Request) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.RetryAfter(time.Now(), r)
}

// minCheckInterval is the minimum interval between two checks whether a waiting
// request should keep waiting.
const minCheckInterval = 50 * time.Millisecond

// worthWaiting reports whether a waiting request should keep waiting.
func (q *Queue) worthWaiting(now time.Time, r *Request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.scheduler.late(now, r) || q.scheduler.WorthWaiting(now, r)
}

// abandon removes a request from the queue. If the request was given a slot in
// the meantime, it keeps the slot.
func (q *Queue) abandon(r *Request, ch chan Refusal, reason Refusal) (Refusal, time.Duration) {
	q.mu.Lock()
	removed := q.scheduler.Remove(r)
	delete(q.waiters, r)
	retryAfter := q.scheduler.RetryAfter(time.Now(), r)
	q.mu.Unlock()
	if !removed && <-ch == 0 {
		return 0, 0
	}
	return reason, retryAfter
}

// Release returns a slot. serviceTime is 0 if it is not representative of the
// class.
func (q *Queue) Release(r *Request, serviceTime time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	next, refused := q.scheduler.Done(now, r, serviceTime)
	q.refuse(refused)
	if next != nil {
		q.notify(next, 0)
	}
	q.awaitRate(now)
}

// Ended records whether the server answered a run of the class with a failure of its own.
// It returns whether the class has become one that mostly fails, or no longer is, and
// which of both.
func (q *Queue) Ended(class string, failed bool) (changed, failing bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.Ended(class, failed)
}

func (q *Queue) notify(r *Request, reason Refusal) {
	if ch := q.waiters[r]; ch != nil {
		delete(q.waiters, r)
		ch <- reason
	}
}

// Package admission decides which requests run at a backend server, in which
// order the others wait, and which are refused at once. It answers the load of
// a server whose slots are all taken: what can still be answered in time goes
// first, and what cannot be answered at all is not kept waiting.
package admission

import (
	"time"
)

const (
	// defaultWork is the service time that is assumed of a class before the
	// first request of it has ended.
	defaultWork = 80 * time.Millisecond
	// weight is that of the newest service time in the running mean.
	weight = 0.05
	// inTime is how many mean service times must be left for a request to
	// count as one that will be answered within its target.
	inTime = 1.3
	// hopeless is how many mean service times must be left before the deadline
	// for a request to be worth a slot.
	hopeless = 0.6
	// latePart is the part of its time left that a request may be predicted to
	// wait once it is too late for its target.
	latePart = 0.6
	// lateWindow is the time over which the slots are counted that go to late
	// requests: the others go first, so only that tells how long they wait.
	lateWindow = time.Second
)

// Request is what a decision depends on.
type Request struct {
	// Class names requests of about the same service time.
	Class string
	// Priority is the rank of the class, 0 the highest.
	Priority int
	// Target is when an answer begins to be worth less, Deadline when it is
	// worth nothing.
	Target   time.Time
	Deadline time.Time
	seq      uint64
	admitted bool
}

// Line holds the requests at one backend server. It reads no clock and is not
// safe for concurrent use.
type Line struct {
	slots   int
	running int
	waiting []*Request
	work    map[string]float64
	mean    float64
	seq     uint64
	// lateSince, lateNow and lateBefore count the slots that went to late
	// requests in this window and the one before it.
	lateSince           time.Time
	lateNow, lateBefore int
}

// NewLine returns a line in front of a number of slots.
func NewLine(slots int) *Line {
	return &Line{slots: max(1, slots), work: map[string]float64{}}
}

// SetSlots changes the number of slots; what runs goes on.
func (l *Line) SetSlots(n int) { l.slots = max(1, n) }

// Counts returns how many requests run and wait.
func (l *Line) Counts() (running, waiting int) { return l.running, len(l.waiting) }

// Work returns the expected service time of a class.
func (l *Line) Work(class string) time.Duration {
	if w := l.work[class]; w > 0 {
		return time.Duration(w)
	}
	if l.mean > 0 {
		return time.Duration(l.mean)
	}
	return defaultWork
}

// LastStart is when a request must have a slot to be worth one.
func (l *Line) LastStart(r *Request) time.Time {
	return r.Deadline.Add(-time.Duration(hopeless * float64(l.Work(r.Class))))
}

// Offer takes a new request. It is admitted, or waits (then neither result is
// set), or is refused. A request waits only if it is predicted to be answered
// within its target: in an overload that lasts, what waits longer would only
// make those behind it late as well. One that comes too late for its target
// takes what the others leave, if that is soon.
func (l *Line) Offer(now time.Time, r *Request) (admitted, refused bool) {
	l.seq++
	r.seq = l.seq
	if l.running < l.slots && len(l.waiting) == 0 && now.Before(l.LastStart(r)) {
		l.start(now, r)
		return true, false
	}
	if l.late(now, r) {
		if !l.Worth(now, r) {
			return false, true
		}
	} else if now.Add(l.Wait(now, r)).After(r.Target.Add(-l.Work(r.Class))) {
		return false, true
	}
	l.waiting = append(l.waiting, r)
	return false, false
}

// start gives a slot to a request.
func (l *Line) start(now time.Time, r *Request) {
	l.running++
	r.admitted = true
	l.turn(now)
	if l.late(now, r) {
		l.lateNow++
	}
}

// turn begins a new window of late requests once the present one is over.
func (l *Line) turn(now time.Time) {
	if d := now.Sub(l.lateSince); d >= lateWindow {
		l.lateBefore = l.lateNow
		if d >= 2*lateWindow {
			l.lateBefore = 0
		}
		l.lateNow, l.lateSince = 0, now
	}
}

// LateAt is when a request can no longer be expected to meet its target.
func (l *Line) LateAt(r *Request) time.Time {
	return r.Target.Add(-time.Duration(inTime * float64(l.Work(r.Class))))
}

// Worth reports whether a request that is late should wait on: whether the
// slots that went to late ones lately would reach it before long.
func (l *Line) Worth(now time.Time, r *Request) bool {
	l.turn(now)
	ahead := 1
	for _, w := range l.waiting {
		if w != r && l.late(now, w) && l.before(now, w, r) {
			ahead++
		}
	}
	elapsed := now.Sub(l.lateSince)
	if l.lateBefore > 0 {
		elapsed += lateWindow
	}
	if elapsed < lateWindow/4 || len(l.waiting) < l.slots {
		// Nothing is known of the overload yet, or there is hardly any.
		return l.LastStart(r).After(now)
	}
	rate := float64(l.lateNow+l.lateBefore) / elapsed.Seconds()
	wait := time.Duration(float64(ahead) / max(rate, 0.1) * float64(time.Second))
	return wait < time.Duration(latePart*float64(l.LastStart(r).Sub(now)))
}

// Wait predicts how long a request would wait behind those that go before it.
func (l *Line) Wait(now time.Time, r *Request) time.Duration {
	ahead := float64(l.running-l.slots+1) * float64(l.Work(r.Class)) / 2
	for _, w := range l.waiting {
		if l.before(now, w, r) {
			ahead += float64(l.Work(w.Class))
		}
	}
	return time.Duration(max(0, ahead) / float64(l.slots))
}

// Backlog predicts when the line will have taken up all that waits.
func (l *Line) Backlog() time.Duration {
	total := 0.0
	for _, w := range l.waiting {
		total += float64(l.Work(w.Class))
	}
	return time.Duration(total / float64(l.slots))
}

// before reports whether a gets a slot before b: the higher rank first, then
// what can be answered in time, the earliest target first.
func (l *Line) before(now time.Time, a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	lateA, lateB := l.late(now, a), l.late(now, b)
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

func (l *Line) late(now time.Time, r *Request) bool {
	return now.After(l.LateAt(r))
}

// Done takes the end of a request that had a slot, and the time that it took;
// 0 if that says nothing of its class. It returns the request that gets the
// slot, if any, and those that are refused now.
func (l *Line) Done(now time.Time, r *Request, took time.Duration) (next *Request, refused []*Request) {
	if took > 0 {
		l.learn(r.Class, float64(took))
	}
	l.running--
	return l.fill(now)
}

func (l *Line) learn(class string, took float64) {
	old, known := l.work[class]
	if !known {
		l.work[class] = took
	} else {
		l.work[class] = old + weight*(took-old)
	}
	if l.mean == 0 {
		l.mean = took
	}
	l.mean += weight * (took - l.mean)
}

// fill gives a free slot to the first request that is worth it.
func (l *Line) fill(now time.Time) (next *Request, refused []*Request) {
	for l.running < l.slots && len(l.waiting) > 0 {
		first := 0
		for i := range l.waiting {
			if l.before(now, l.waiting[i], l.waiting[first]) {
				first = i
			}
		}
		r := l.waiting[first]
		l.remove(first)
		if now.After(l.LastStart(r)) {
			refused = append(refused, r)
			continue
		}
		l.start(now, r)
		return r, refused
	}
	return nil, refused
}

// Leave takes a waiting request out of the line. It reports false if the
// request has a slot already.
func (l *Line) Leave(r *Request) bool {
	for i := range l.waiting {
		if l.waiting[i] == r {
			l.remove(i)
			return true
		}
	}
	return false
}

func (l *Line) remove(i int) {
	last := len(l.waiting) - 1
	l.waiting[i] = l.waiting[last]
	l.waiting[last] = nil
	l.waiting = l.waiting[:last]
}

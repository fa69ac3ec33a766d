package admission

import (
	"container/heap"
	"context"
	"math/rand"
	"testing"
	"time"
)

// load is a stream of requests of one class.
type load struct {
	class    string
	priority int
	perSec   float64
	work     time.Duration
	target   time.Duration
	deadline time.Duration
}

// served is what became of the requests of a class.
type served struct {
	asked, inTime, late, refused int
	// held is the longest time that a refused request was kept.
	held time.Duration
}

type end struct {
	at  time.Time
	req *Request
	t   time.Duration
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// playLine offers loads to a line for a while on a fake clock.
func playLine(seed int64, slots int, loads []load, lasts time.Duration) map[string]*served {
	rng := rand.New(rand.NewSource(seed))
	now := time.Unix(1000, 0)
	stop := now.Add(lasts)
	line := NewLine(slots)
	out := map[string]*served{}
	work := map[*Request]time.Duration{}
	begun := map[*Request]time.Time{}
	var running ends
	next := make([]time.Time, len(loads))
	for i, l := range loads {
		out[l.class] = &served{}
		next[i] = now.Add(time.Duration(rng.ExpFloat64() / l.perSec * float64(time.Second)))
	}
	start := func(r *Request) {
		heap.Push(&running, end{now.Add(work[r]), r, work[r]})
	}
	refuse := func(r *Request) {
		s := out[r.Class]
		s.refused++
		s.held = max(s.held, now.Sub(begun[r]))
	}
	for now.Before(stop) {
		first := 0
		for i := range next {
			if next[i].Before(next[first]) {
				first = i
			}
		}
		if len(running) > 0 && running[0].at.Before(next[first]) {
			e := heap.Pop(&running).(end)
			now = e.at
			s := out[e.req.Class]
			if now.After(e.req.Target) {
				s.late++
			} else {
				s.inTime++
			}
			n, refused := line.Done(now, e.req, e.t)
			for _, r := range refused {
				refuse(r)
			}
			if n != nil {
				start(n)
			}
			continue
		}
		l := loads[first]
		now = next[first]
		next[first] = now.Add(time.Duration(rng.ExpFloat64() / l.perSec * float64(time.Second)))
		r := &Request{Class: l.class, Priority: l.priority, Target: now.Add(l.target), Deadline: now.Add(l.deadline)}
		work[r] = time.Duration((0.5 + rng.Float64()) * float64(l.work))
		begun[r] = now
		out[l.class].asked++
		if admitted, refused := line.Offer(now, r); admitted {
			start(r)
		} else if refused {
			refuse(r)
		}
	}
	return out
}

// TestOverload plays 1.5 times the load that the slots can carry. The server
// stays busy with requests that are answered in time; the rest is refused
// soon, and the more urgent class hardly notices.
func TestOverload(t *testing.T) {
	loads := []load{
		{class: "act", priority: 1, perSec: 40, work: 120 * time.Millisecond, target: 400 * time.Millisecond, deadline: 1200 * time.Millisecond},
		{class: "view", priority: 2, perSec: 250, work: 90 * time.Millisecond, target: 300 * time.Millisecond, deadline: time.Second},
	}
	got := playLine(20261204, 18, loads, 20*time.Second)
	act, view := got["act"], got["view"]
	if share := float64(act.inTime) / float64(act.asked); share < 0.97 {
		t.Errorf("%.3f of the urgent requests were answered in time; expected 0.97", share)
	}
	// 18 slots give 18 s of work a second; the urgent class takes 4.8 of them.
	most := 20 * (18 - 40*0.12) / 0.09
	if good := float64(view.inTime) / most; good < 0.85 {
		t.Errorf("%.3f of the room that was left served requests in time; expected 0.85", good)
	}
	if late := float64(view.late) / float64(view.inTime+view.late); late > 0.15 {
		t.Errorf("%.3f of what was served was late; expected 0.15 at most", late)
	}
	if view.held > 950*time.Millisecond {
		t.Errorf("a refused request was kept for %v", view.held)
	}
}

// TestSpareRoom plays half of the load that the slots can carry: nothing is
// refused.
func TestSpareRoom(t *testing.T) {
	loads := []load{{class: "view", priority: 2, perSec: 100, work: 90 * time.Millisecond, target: 300 * time.Millisecond, deadline: time.Second}}
	got := playLine(20261204, 18, loads, 20*time.Second)["view"]
	if got.refused > 0 || got.late > 0 {
		t.Errorf("%d refused and %d late of %d", got.refused, got.late, got.asked)
	}
}

// TestBurst plays a burst on a server that is otherwise half busy: afterwards
// everything is served in time again.
func TestBurst(t *testing.T) {
	line := NewLine(4)
	now := time.Unix(1000, 0)
	var admitted []*Request
	refused := 0
	for range 40 {
		r := &Request{Class: "view", Target: now.Add(300 * time.Millisecond), Deadline: now.Add(time.Second)}
		switch ok, no := line.Offer(now, r); {
		case ok:
			admitted = append(admitted, r)
		case no:
			refused++
		}
	}
	if len(admitted) != 4 || refused == 0 {
		t.Fatalf("%d admitted and %d refused", len(admitted), refused)
	}
	for len(admitted) > 0 {
		now = now.Add(80 * time.Millisecond)
		var next []*Request
		for _, r := range admitted {
			n, gone := line.Done(now, r, 80*time.Millisecond)
			refused += len(gone)
			if n != nil {
				next = append(next, n)
			}
		}
		admitted = next
	}
	if running, waiting := line.Counts(); running != 0 || waiting != 0 {
		t.Errorf("%d run and %d wait after the burst", running, waiting)
	}
}

// TestReturnTime checks that a longer line gives a later time to come back.
func TestReturnTime(t *testing.T) {
	now := time.Unix(1000, 0)
	line := NewLine(1)
	before := line.Backlog()
	for range 3 {
		line.Offer(now, &Request{Class: "view", Target: now.Add(time.Second), Deadline: now.Add(2 * time.Second)})
	}
	if after := line.Backlog(); after <= before {
		t.Errorf("backlog %v after %v", after, before)
	}
}

// TestQueueGivesSlots runs goroutines through a queue of one slot: never two
// at a time, and one that leaves gives its place up.
func TestQueueGivesSlots(t *testing.T) {
	q := NewQueue(1)
	request := func() *Request {
		return &Request{Class: "x", Target: time.Now().Add(5 * time.Second), Deadline: time.Now().Add(10 * time.Second)}
	}
	first := request()
	if why, _ := q.Acquire(context.Background(), first); why != 0 {
		t.Fatalf("refused: %v", why)
	}
	ctx, cancel := context.WithCancel(context.Background())
	left := make(chan Refusal)
	go func() {
		why, _ := q.Acquire(ctx, request())
		left <- why
	}()
	for _, waiting := q.Counts(); waiting == 0; _, waiting = q.Counts() {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if why := <-left; why != Left {
		t.Errorf("got %v for a caller that left", why)
	}
	second := request()
	got := make(chan Refusal)
	go func() {
		why, _ := q.Acquire(context.Background(), second)
		got <- why
	}()
	for _, waiting := q.Counts(); waiting == 0; _, waiting = q.Counts() {
		time.Sleep(time.Millisecond)
	}
	q.Release(first, time.Millisecond)
	if why := <-got; why != 0 {
		t.Errorf("got %v for a caller that waited", why)
	}
	q.Release(second, time.Millisecond)
	if running, waiting := q.Counts(); running != 0 || waiting != 0 {
		t.Errorf("%d run and %d wait at the end", running, waiting)
	}
}

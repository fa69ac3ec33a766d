package gate

import (
	"context"
	"slices"
	"sync"
	"time"
)

// sender is a large response that is ready.
type sender struct {
	target time.Time
	// takes is the time that it needs on the link alone.
	takes time.Duration
	turn  chan struct{}
	// passed counts the responses that became ready later and were sent first.
	passed int
}

// maxPassed is the number of responses that may be sent before one that is late and became
// ready earlier: a response that is ready is delivered, even if late.
const maxPassed = 8

// sendOrder lets one large response at a time be sent: first the one with the earliest
// target among those that can still be complete by it, then the others in the order in
// which they became ready.
type sendOrder struct {
	mu      sync.Mutex
	sending bool
	waiting []*sender
}

// await waits for the response's turn. It returns false if ctx ends first; otherwise the
// caller must call done.
func (o *sendOrder) await(ctx context.Context, now, target time.Time, takes time.Duration) bool {
	s := &sender{target: target, takes: takes, turn: make(chan struct{})}
	o.mu.Lock()
	o.waiting = append(o.waiting, s)
	o.startNext(now)
	o.mu.Unlock()
	select {
	case <-s.turn:
		return true
	case <-ctx.Done():
	}
	o.mu.Lock()
	i := slices.Index(o.waiting, s)
	if i >= 0 {
		o.waiting = slices.Delete(o.waiting, i, i+1)
	}
	o.mu.Unlock()
	if i < 0 {
		// Its turn came at the same time.
		o.done(now)
	}
	return false
}

func (o *sendOrder) done(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sending = false
	o.startNext(now)
}

// startNext gives the turn to the next response if none is being sent. The caller holds
// the lock.
func (o *sendOrder) startNext(now time.Time) {
	if o.sending || len(o.waiting) == 0 {
		return
	}
	i := firstToSend(now, o.waiting)
	for _, s := range o.waiting[:i] {
		s.passed++
	}
	s := o.waiting[i]
	o.waiting = slices.Delete(o.waiting, i, i+1)
	o.sending = true
	close(s.turn)
}

// firstToSend returns the index of the response to send next.
func firstToSend(now time.Time, waiting []*sender) int {
	if len(waiting) > 0 && waiting[0].passed >= maxPassed {
		return 0
	}
	first, firstOnTime := 0, false
	for i, s := range waiting {
		onTime := !now.Add(s.takes).After(s.target)
		if onTime && (!firstOnTime || s.target.Before(waiting[first].target)) {
			first, firstOnTime = i, true
		}
	}
	return first
}

package limit

import (
	"context"
	"errors"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/result"
)

// gate implements Admitter on the manager's locals with the real clock.
type gate struct{ manager *Manager }

// Admit implements Admitter.
func (g gate) Admit(ctx context.Context, customer, service string) (func(), *result.Error) {
	l := g.manager.Local(customer)
	if l == nil {
		return nil, result.New(result.UnknownCustomer)
	}
	now := clock.Now()
	ticket, refusal := l.Arrive(now, service, deadlineOf(ctx, now))
	g.manager.activate(l)
	if refusal != nil {
		return nil, refusal
	}
	if ticket == nil {
		return admitted, nil
	}
	l.arm(now)
	select {
	case <-ticket.Ready:
		return admitted, nil
	case <-ctx.Done():
	}
	if !l.Cancel(ticket) {
		// It was let go on at the same moment; the token is spent.
		return admitted, nil
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, result.New(result.DeadlineBefore)
	}
	return nil, result.New(result.CancelledBefore)
}

// admitted is the done function: a rate limit keeps nothing for the time that
// a request takes.
func admitted() {}

// deadlineOf returns the deadline on the clock that shares are measured on.
func deadlineOf(ctx context.Context, now clock.Mono) clock.Mono {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return now.Add(time.Until(d))
}

// longestTimer is how long a waiting request is left alone at most.
const longestTimer = time.Second

// arm sets the timer to the next release.
func (l *Local) arm(now clock.Mono) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.releaseLocked(now)
	if l.total.waiting == 0 {
		return
	}
	next = min(next, longestTimer)
	if l.timer == nil {
		l.timer = time.AfterFunc(next, func() { l.arm(clock.Now()) })
		return
	}
	l.timer.Reset(next)
}

// rearm releases what a new share lets go on. A local without a timer has
// nothing that waits by the real clock.
func (l *Local) rearm(now clock.Mono) {
	l.mu.Lock()
	armed := l.timer != nil && l.total.waiting > 0
	l.mu.Unlock()
	if armed {
		l.arm(now)
	}
}

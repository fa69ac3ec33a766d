package limit

import (
	"context"
	"errors"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/result"
)

// managerAdmitter implements Admitter with the manager's limiters and the real
// clock.
type managerAdmitter struct{ manager *Manager }

// Admit implements Admitter.
func (a managerAdmitter) Admit(ctx context.Context, customer, service string) (func(), *result.Error) {
	l := a.manager.Limiter(customer)
	if l == nil {
		return nil, result.New(result.UnknownCustomer)
	}
	now := clock.Now()
	ticket, refusal := l.Arrive(now, service, monoDeadline(ctx, now))
	a.manager.activate(l)
	if refusal != nil {
		return nil, refusal
	}
	if ticket == nil {
		return noopDone, nil
	}
	l.armTimer(now)
	select {
	case <-ticket.Ready:
		return noopDone, nil
	case <-ctx.Done():
	}
	if !l.Cancel(ticket) {
		// The request was released at the same time and has used its token.
		return noopDone, nil
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, result.New(result.DeadlineBefore)
	}
	return nil, result.New(result.CancelledBefore)
}

// noopDone is the done function of each request: a rate limit holds nothing
// while a request runs.
func noopDone() {}

// monoDeadline returns the deadline of ctx as monotonic time; zero if it has
// none.
func monoDeadline(ctx context.Context, now clock.Mono) clock.Mono {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return now.Add(time.Until(d))
}

// maxTimerDelay bounds the time between two checks of the waiting requests.
const maxTimerDelay = time.Second

// armTimer releases waiting requests and sets the timer for the next release.
func (l *Limiter) armTimer(now clock.Mono) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.releaseLocked(now)
	if l.total.waiting == 0 {
		return
	}
	next = min(next, maxTimerDelay)
	if l.timer == nil {
		l.timer = time.AfterFunc(next, func() { l.armTimer(clock.Now()) })
		return
	}
	l.timer.Reset(next)
}

// rearmTimer releases the requests that a new share admits. It does nothing if
// there is no timer, because then no request waits in real time.
func (l *Limiter) rearmTimer(now clock.Mono) {
	l.mu.Lock()
	armed := l.timer != nil && l.total.waiting > 0
	l.mu.Unlock()
	if armed {
		l.armTimer(now)
	}
}

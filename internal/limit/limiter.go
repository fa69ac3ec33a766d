package limit

import (
	"math"
	"sync"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/contract"
	"fulmarhinge/internal/result"
)

// Limiter admits the requests of one customer at one node. Limiters share no
// lock and no queue, so that a customer far above its contract does not delay
// the others.
type Limiter struct {
	mu       sync.Mutex
	customer string
	total    *scopeLimiter
	services map[string]*scopeLimiter
	queues   map[string]*queue
	// serviceOrder is the round-robin order in which services release requests.
	serviceOrder []string
	// active is true while the manager renews the customer's shares.
	active bool
	// timer releases waiting requests. It is created when the first request
	// waits.
	timer *time.Timer
}

// Ticket is a waiting request. It is admitted once Ready is closed.
type Ticket struct {
	Ready   chan struct{}
	service string
	// done is true once the ticket was released or cancelled.
	done bool
}

// queue holds the requests that wait for one service, in order of arrival.
type queue struct{ tickets []*Ticket }

// head drops finished tickets and returns the first that still waits, or nil.
func (q *queue) head() *Ticket {
	for len(q.tickets) > 0 && q.tickets[0].done {
		q.tickets = q.tickets[1:]
	}
	if len(q.tickets) == 0 {
		return nil
	}
	return q.tickets[0]
}

func newLimiter(c contract.Contract, members int, now clock.Mono) *Limiter {
	l := &Limiter{
		customer: c.Customer,
		total:    newScopeLimiter(c.Total, members, now),
		services: make(map[string]*scopeLimiter),
		queues:   make(map[string]*queue),
	}
	for name, terms := range c.Services {
		l.services[name] = newScopeLimiter(terms, members, now)
	}
	return l
}

// update applies a changed contract. Waiting requests keep their positions.
func (l *Limiter) update(c contract.Contract, now clock.Mono) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total.advance(now)
	l.total.terms = c.Total
	l.total.updateBucket()
	for name, terms := range c.Services {
		s := l.services[name]
		if s == nil {
			s = newScopeLimiter(terms, l.total.memberCount, now)
			s.waiting = l.waitingFor(name)
			l.services[name] = s
			continue
		}
		s.advance(now)
		s.terms = terms
		s.updateBucket()
	}
	for name := range l.services {
		if _, ok := c.Services[name]; !ok {
			delete(l.services, name)
		}
	}
}

// waitingFor returns the number of requests that wait for a service.
func (l *Limiter) waitingFor(service string) int {
	n := 0
	if q := l.queues[service]; q != nil {
		for _, t := range q.tickets {
			if !t.done {
				n++
			}
		}
	}
	return n
}

// scopesFor returns the scope limiters that must all admit a request to the
// service.
func (l *Limiter) scopesFor(service string) []*scopeLimiter {
	if s := l.services[service]; s != nil {
		return []*scopeLimiter{l.total, s}
	}
	return []*scopeLimiter{l.total}
}

// Arrive admits, queues or refuses a new request. It returns neither a ticket nor
// a refusal if the request is admitted immediately. The deadline is zero if there
// is none.
func (l *Limiter) Arrive(now clock.Mono, service string, deadline clock.Mono) (*Ticket, *result.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	scopes := l.scopesFor(service)
	for _, s := range scopes {
		s.recordArrival(now)
	}
	l.releaseLocked(now)
	if l.queueFor(service).head() == nil && takeAll(scopes) {
		return nil, nil
	}
	if refusal := l.refusal(scopes, now, deadline); refusal != nil {
		return nil, refusal
	}
	t := &Ticket{Ready: make(chan struct{}), service: service}
	q := l.queueFor(service)
	q.tickets = append(q.tickets, t)
	for _, s := range scopes {
		s.waiting++
	}
	return t, nil
}

// refusal returns the reason why a request can't wait, or nil if it can.
func (l *Limiter) refusal(scopes []*scopeLimiter, now, deadline clock.Mono) *result.Error {
	wait := time.Duration(0)
	full := false
	for _, s := range scopes {
		wait = max(wait, s.estimatedWait(now))
		full = full || s.waiting >= s.maxWaiting(now)
	}
	var e *result.Error
	switch {
	case full:
		e = result.New(result.WaitingFull)
	case deadline != 0 && wait > deadline.Sub(now):
		e = result.New(result.OverContract)
	default:
		return nil
	}
	e.RetryAfter = retryAfter(wait)
	return e
}

// retryAfter returns the estimated wait, bounded to a useful time for a retry.
func retryAfter(wait time.Duration) time.Duration {
	const (
		minRetryAfter = 100 * time.Millisecond
		maxRetryAfter = 30 * time.Second
	)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// takeAll takes a token from every bucket, or from none of them.
func takeAll(scopes []*scopeLimiter) bool {
	for _, s := range scopes {
		if !s.bucket.hasToken() {
			return false
		}
	}
	for _, s := range scopes {
		s.bucket.take()
	}
	return true
}

// queueFor returns the queue of a service; it adds one if there is none.
func (l *Limiter) queueFor(service string) *queue {
	q := l.queues[service]
	if q == nil {
		q = &queue{}
		l.queues[service] = q
		l.serviceOrder = append(l.serviceOrder, service)
	}
	return q
}

// Release admits the waiting requests that have tokens and returns the time
// until the next one has; math.MaxInt64 if none waits.
func (l *Limiter) Release(now clock.Mono) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.releaseLocked(now)
}

// releaseLocked is Release for a caller that holds l.mu.
func (l *Limiter) releaseLocked(now clock.Mono) time.Duration {
	l.total.advance(now)
	for _, s := range l.services {
		s.advance(now)
	}
	if l.total.waiting == 0 {
		return math.MaxInt64
	}
	for released := true; released; {
		released = false
		for range l.serviceOrder {
			service := l.serviceOrder[0]
			l.serviceOrder = append(l.serviceOrder[1:], service)
			if l.releaseHead(service) {
				released = true
			}
		}
	}
	return l.nextRelease()
}

// releaseHead admits the first request that waits for the service, if there are
// tokens for it.
func (l *Limiter) releaseHead(service string) bool {
	t := l.queues[service].head()
	if t == nil || !takeAll(l.scopesFor(service)) {
		return false
	}
	l.finish(t)
	close(t.Ready)
	return true
}

// nextRelease returns the time until the first request of any queue has tokens.
func (l *Limiter) nextRelease() time.Duration {
	next := time.Duration(math.MaxInt64)
	for service, q := range l.queues {
		if q.head() == nil {
			continue
		}
		wait := time.Duration(0)
		for _, s := range l.scopesFor(service) {
			wait = max(wait, s.bucket.timeUntil(1))
		}
		next = min(next, wait)
	}
	return next
}

// finish marks a ticket as done. The queue drops it once it is at the head.
func (l *Limiter) finish(t *Ticket) {
	t.done = true
	for _, s := range l.scopesFor(t.service) {
		s.waiting--
	}
}

// Cancel withdraws a waiting request. It returns false if the request was
// admitted before.
func (l *Limiter) Cancel(t *Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.done {
		return false
	}
	l.finish(t)
	return true
}

// scope returns the limiter of a service, or of the total if service is empty;
// nil if the contract has no terms for the service.
func (l *Limiter) scope(service string) *scopeLimiter {
	if service == "" {
		return l.total
	}
	return l.services[service]
}

// forEachScope calls fn for the total and for each service.
func (l *Limiter) forEachScope(fn func(service string, s *scopeLimiter)) {
	fn("", l.total)
	for service, s := range l.services {
		fn(service, s)
	}
}

// HasShare reports whether the node holds a share of the customer's total.
func (l *Limiter) HasShare(now clock.Mono) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total.advance(now)
	return l.total.expiry != 0
}

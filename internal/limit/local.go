package limit

import (
	"math"
	"sync"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/contract"
	"fulmarhinge/internal/result"
)

// Local admits the requests of one customer at one node. Customers share no
// lock and no queue, so that one far above its contract delays no other.
type Local struct {
	mu       sync.Mutex
	customer string
	total    *portion
	services map[string]*portion
	queues   map[string]*queue
	// turn rotates the order in which services are released.
	turn []string
	// active is true while the manager looks after the customer's shares.
	active bool
	// timer releases waiting requests; it is made by the first that waits.
	timer *time.Timer
}

// Ticket is a request that waits. It may go on once Ready is closed.
type Ticket struct {
	Ready   chan struct{}
	service string
	// gone is true once the ticket was released or cancelled.
	gone bool
}

// queue holds the waiting requests for one service, first come first served.
type queue struct{ tickets []*Ticket }

// head drops cancelled tickets and returns the first that waits.
func (q *queue) head() *Ticket {
	for len(q.tickets) > 0 && q.tickets[0].gone {
		q.tickets = q.tickets[1:]
	}
	if len(q.tickets) == 0 {
		return nil
	}
	return q.tickets[0]
}

func newLocal(c contract.Contract, members int, now clock.Mono) *Local {
	l := &Local{
		customer: c.Customer,
		total:    newPortion(c.Total, members, now),
		services: make(map[string]*portion),
		queues:   make(map[string]*queue),
	}
	for name, terms := range c.Services {
		l.services[name] = newPortion(terms, members, now)
	}
	return l
}

// update takes a changed contract. Requests that wait keep their places.
func (l *Local) update(c contract.Contract, now clock.Mono) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total.advance(now)
	l.total.terms = c.Total
	l.total.apply()
	for name, terms := range c.Services {
		p := l.services[name]
		if p == nil {
			p = newPortion(terms, l.total.members, now)
			p.waiting = l.waitingFor(name)
			l.services[name] = p
			continue
		}
		p.advance(now)
		p.terms = terms
		p.apply()
	}
	for name := range l.services {
		if _, ok := c.Services[name]; !ok {
			delete(l.services, name)
		}
	}
}

// waitingFor counts the requests that wait for a service.
func (l *Local) waitingFor(service string) int {
	n := 0
	if q := l.queues[service]; q != nil {
		for _, t := range q.tickets {
			if !t.gone {
				n++
			}
		}
	}
	return n
}

// portions returns the portions that a request to the service needs.
func (l *Local) portions(service string) []*portion {
	if p := l.services[service]; p != nil {
		return []*portion{l.total, p}
	}
	return []*portion{l.total}
}

// Arrive decides about a new request. It returns no ticket and no refusal if
// the request may go on at once. The deadline is zero if there is none.
func (l *Local) Arrive(now clock.Mono, service string, deadline clock.Mono) (*Ticket, *result.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ps := l.portions(service)
	for _, p := range ps {
		p.arrive(now)
	}
	l.releaseLocked(now)
	if l.queueOf(service).head() == nil && takeAll(ps) {
		return nil, nil
	}
	if refusal := l.refuse(ps, now, deadline); refusal != nil {
		return nil, refusal
	}
	t := &Ticket{Ready: make(chan struct{}), service: service}
	q := l.queueOf(service)
	q.tickets = append(q.tickets, t)
	for _, p := range ps {
		p.waiting++
	}
	return t, nil
}

// refuse says why a request can't wait, if it can't.
func (l *Local) refuse(ps []*portion, now, deadline clock.Mono) *result.Error {
	wait := time.Duration(0)
	full := false
	for _, p := range ps {
		wait = max(wait, p.wait(now))
		full = full || p.waiting >= p.maxWaiting(now)
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

// retryAfter bounds the time to come back by what is worth waiting for.
func retryAfter(wait time.Duration) time.Duration {
	const (
		least = 100 * time.Millisecond
		most  = 30 * time.Second
	)
	return min(max(wait, least), most)
}

// takeAll takes a token of every portion, or of none.
func takeAll(ps []*portion) bool {
	for _, p := range ps {
		if !p.bucket.has() {
			return false
		}
	}
	for _, p := range ps {
		p.bucket.take()
	}
	return true
}

func (l *Local) queueOf(service string) *queue {
	q := l.queues[service]
	if q == nil {
		q = &queue{}
		l.queues[service] = q
		l.turn = append(l.turn, service)
	}
	return q
}

// Release lets waiting requests go on and returns how long until the next one
// can; the longest duration if none waits.
func (l *Local) Release(now clock.Mono) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.releaseLocked(now)
}

func (l *Local) releaseLocked(now clock.Mono) time.Duration {
	l.total.advance(now)
	for _, p := range l.services {
		p.advance(now)
	}
	if l.total.waiting == 0 {
		return math.MaxInt64
	}
	for released := true; released; {
		released = false
		for range l.turn {
			service := l.turn[0]
			l.turn = append(l.turn[1:], service)
			if l.releaseHead(service) {
				released = true
			}
		}
	}
	return l.nextRelease()
}

// releaseHead lets the first request that waits for the service go on.
func (l *Local) releaseHead(service string) bool {
	t := l.queues[service].head()
	if t == nil || !takeAll(l.portions(service)) {
		return false
	}
	l.leave(t)
	close(t.Ready)
	return true
}

// nextRelease returns how long until the first of all queues can go on.
func (l *Local) nextRelease() time.Duration {
	next := time.Duration(math.MaxInt64)
	for service, q := range l.queues {
		if q.head() == nil {
			continue
		}
		wait := time.Duration(0)
		for _, p := range l.portions(service) {
			wait = max(wait, p.bucket.wait(1))
		}
		next = min(next, wait)
	}
	return next
}

// leave takes a ticket out of its queue.
func (l *Local) leave(t *Ticket) {
	t.gone = true
	for _, p := range l.portions(t.service) {
		p.waiting--
	}
}

// Cancel gives up a ticket. It reports false if the request was let go on
// before.
func (l *Local) Cancel(t *Ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.gone {
		return false
	}
	l.leave(t)
	return true
}

// portion returns the portion of a scope; nil if the contract has none.
func (l *Local) portion(service string) *portion {
	if service == "" {
		return l.total
	}
	return l.services[service]
}

// scopes calls fn for each portion.
func (l *Local) scopes(fn func(service string, p *portion)) {
	fn("", l.total)
	for service, p := range l.services {
		fn(service, p)
	}
}

// HasShare reports whether the node holds a share of the total.
func (l *Local) HasShare(now clock.Mono) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total.advance(now)
	return l.total.until != 0
}

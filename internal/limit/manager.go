package limit

import (
	"maps"
	"sync"
	"sync/atomic"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/wire"
)

// Outgoing is a message to another member, addressed by name without incarnation.
type Outgoing struct {
	To      string
	Message *wire.Control
}

// Manager requests shares for one node and leases those that the node is the
// allocator of. All methods but Limiter, Admitter and Urgent must be called from
// the control goroutine.
type Manager struct {
	self cluster.MemberRef
	// leaseValid reports whether the node may still act as an allocator.
	leaseValid func() bool
	limiters   atomic.Pointer[map[string]*Limiter]
	members    map[string]bool
	// unlistedMembers are members that sent a query before the membership view
	// listed them, with the time until which they count as members.
	unlistedMembers map[string]clock.Mono
	allocators      map[Scope]*Allocator
	config          *config.Config
	recover         recovery
	urgent          chan struct{}

	mu sync.Mutex
	// activated are the limiters that became active since the last tick.
	activated []*Limiter
	// active are the limiters whose shares each tick renews.
	active map[*Limiter]bool
}

// NewManager returns the manager of a node. It calls leaseValid before each
// grant, because an evicted node must not act as an allocator; a nil leaseValid
// means that the node always may.
func NewManager(self cluster.MemberRef, now clock.Mono, leaseValid func() bool) *Manager {
	if leaseValid == nil {
		leaseValid = func() bool { return true }
	}
	m := &Manager{
		self:            self,
		leaseValid:      leaseValid,
		members:         map[string]bool{self.Name: true},
		unlistedMembers: make(map[string]clock.Mono),
		allocators:      make(map[Scope]*Allocator),
		urgent:          make(chan struct{}, 1),
		active:          make(map[*Limiter]bool),
	}
	m.recover.start(now)
	m.limiters.Store(&map[string]*Limiter{})
	return m
}

// Admitter returns the admitter for the traffic goroutines.
func (m *Manager) Admitter() Admitter { return managerAdmitter{m} }

// Limiter returns the limiter of a customer; nil if the customer has no contract.
// It is safe for concurrent use.
func (m *Manager) Limiter(customer string) *Limiter { return (*m.limiters.Load())[customer] }

// Urgent returns a channel that receives a value when a tick is due before the
// end of its period, because a request waits for a first share.
func (m *Manager) Urgent() <-chan struct{} { return m.urgent }

// activate has each tick renew a customer's shares from now on.
func (m *Manager) activate(l *Limiter) {
	l.mu.Lock()
	newlyActive := !l.active
	l.active = true
	l.mu.Unlock()
	if !newlyActive {
		return
	}
	m.mu.Lock()
	m.activated = append(m.activated, l)
	m.mu.Unlock()
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// Activate has each tick renew a customer's shares. It must be called after each
// call of Limiter.Arrive; the admitter does the same for its own requests.
func (m *Manager) Activate(customer string) {
	if l := m.Limiter(customer); l != nil {
		m.activate(l)
	}
}

// SetConfig puts a configuration into force.
func (m *Manager) SetConfig(now clock.Mono, c *config.Config) {
	old := *m.limiters.Load()
	next := make(map[string]*Limiter, len(c.Contracts))
	for name, ct := range c.Contracts {
		l := old[name]
		if l == nil {
			l = newLimiter(ct, len(m.members), now)
		} else {
			l.update(ct, now)
		}
		next[name] = l
	}
	m.limiters.Store(&next)
	m.config = c
	for scope, alloc := range m.allocators {
		terms, ok := termsOf(c, scope)
		if !ok {
			delete(m.allocators, scope)
			continue
		}
		alloc.SetTerms(now, terms)
	}
}

// SetMembers sets the names of the members that are not gone. The first call
// must list all members that the platform has recorded.
func (m *Manager) SetMembers(now clock.Mono, names []string) {
	next := map[string]bool{m.self.Name: true}
	for _, name := range names {
		next[name] = true
	}
	if m.recover.pending != nil && maps.Equal(next, m.members) {
		return
	}
	before := m.allocatorCandidates(now)
	m.recover.setMembers(now, m.self.Name, m.members, next)
	m.members = next
	after := m.allocatorCandidates(now)
	for l := range m.active {
		l.updateMembers(len(next), chooseAllocator(l.customer, before) != chooseAllocator(l.customer, after))
	}
	for _, l := range *m.limiters.Load() {
		l.updateMembers(len(next), false)
	}
	m.dropReassigned(now)
}

// updateMembers sets the number of members, and makes share requests due if the
// allocator has changed.
func (l *Limiter) updateMembers(members int, allocatorChanged bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forEachScope(func(_ string, sl *scopeLimiter) {
		sl.memberCount = members
		sl.updateBucket()
		sl.requestNow = sl.requestNow || allocatorChanged
	})
}

// dropReassigned drops the allocators of customers that another member is
// responsible for now.
func (m *Manager) dropReassigned(now clock.Mono) {
	for scope := range m.allocators {
		if m.allocatorName(scope.Customer, now) != m.self.Name {
			delete(m.allocators, scope)
		}
	}
}

// allocatorCandidates returns the names of the members that may be allocators,
// and drops expired unlisted members.
func (m *Manager) allocatorCandidates(now clock.Mono) map[string]bool {
	names := make(map[string]bool, len(m.members)+len(m.unlistedMembers))
	for name := range m.members {
		names[name] = true
	}
	for name, until := range m.unlistedMembers {
		if now < until {
			names[name] = true
		} else {
			delete(m.unlistedMembers, name)
		}
	}
	return names
}

// allocatorName returns the name of the member that is a customer's allocator.
func (m *Manager) allocatorName(customer string, now clock.Mono) string {
	if len(m.unlistedMembers) == 0 {
		return chooseAllocator(customer, m.members)
	}
	return chooseAllocator(customer, m.allocatorCandidates(now))
}

// chooseAllocator chooses a customer's allocator by rendezvous hashing.
func chooseAllocator(customer string, names map[string]bool) string {
	var best string
	var bestScore uint64
	for name := range names {
		score := cluster.RendezvousScore(customer, name)
		if best == "" || score > bestScore || score == bestScore && name < best {
			best, bestScore = name, score
		}
	}
	return best
}

// Tick sends the share requests and queries that are due, and returns the
// messages to other members.
func (m *Manager) Tick(now clock.Mono) []Outgoing {
	m.mu.Lock()
	for _, l := range m.activated {
		m.active[l] = true
	}
	m.activated = m.activated[:0]
	m.mu.Unlock()
	outs := m.recover.queries(now)
	for l := range m.active {
		outs = append(outs, m.requestShares(now, l)...)
	}
	m.dropIdleAllocators(now)
	return outs
}

// requestShares sends the share requests of one customer that are due, and
// deactivates the customer if it is idle and holds no share.
func (m *Manager) requestShares(now clock.Mono, l *Limiter) []Outgoing {
	type dueRequest struct {
		scope   Scope
		request ShareRequest
	}
	var requests []dueRequest
	idle := true
	l.mu.Lock()
	l.forEachScope(func(service string, sl *scopeLimiter) {
		if req, ok := sl.nextRequest(now); ok {
			requests = append(requests, dueRequest{Scope{l.customer, service}, req})
		}
		idle = idle && sl.idle(now) && sl.expiry == 0 && !sl.requestPending
	})
	if idle {
		l.active = false
	}
	l.mu.Unlock()
	if idle {
		delete(m.active, l)
	}
	var outs []Outgoing
	for _, d := range requests {
		outs = append(outs, m.sendRequest(now, d.scope, d.request)...)
	}
	return outs
}

// sendRequest passes a share request to the allocator, which may be this node.
func (m *Manager) sendRequest(now clock.Mono, s Scope, req ShareRequest) []Outgoing {
	to := m.allocatorName(s.Customer, now)
	if to == m.self.Name {
		return m.handleRequest(now, m.self, s, req)
	}
	return []Outgoing{{To: to, Message: requestMessage(s, req)}}
}

// handleRequest answers a share request if this node is the allocator.
func (m *Manager) handleRequest(now clock.Mono, from cluster.MemberRef, s Scope, req ShareRequest) []Outgoing {
	alloc := m.allocatorFor(now, s)
	if alloc == nil {
		return nil
	}
	var outs []Outgoing
	for _, g := range alloc.HandleRequest(now, from, req) {
		if g.To == m.self {
			m.applyGrant(now, s, g.Grant)
			continue
		}
		outs = append(outs, Outgoing{To: g.To.Name, Message: grantMessage(s, g.Grant)})
	}
	return outs
}

// allocatorFor returns the allocator of a scope; nil if this node is not
// responsible for it.
func (m *Manager) allocatorFor(now clock.Mono, s Scope) *Allocator {
	if !m.leaseValid() || m.config == nil || m.allocatorName(s.Customer, now) != m.self.Name {
		return nil
	}
	if alloc := m.allocators[s]; alloc != nil {
		return alloc
	}
	terms, ok := termsOf(m.config, s)
	if !ok {
		return nil
	}
	acquired, recoveryEnd := m.recover.allocationTimes(now, s.Customer, m.self.Name)
	alloc := NewAllocator(terms, now, acquired, recoveryEnd)
	m.recover.replayReports(now, s, alloc)
	m.allocators[s] = alloc
	return alloc
}

// applyGrant passes a grant to the scope's limiter and releases requests that it
// admits.
func (m *Manager) applyGrant(now clock.Mono, s Scope, g Grant) {
	l := m.Limiter(s.Customer)
	if l == nil {
		return
	}
	l.mu.Lock()
	if sl := l.scope(s.Service); sl != nil {
		sl.applyGrant(now, g)
	}
	l.mu.Unlock()
	l.rearmTimer(now)
}

// dropIdleAllocators drops the allocators that have no state to keep.
func (m *Manager) dropIdleAllocators(now clock.Mono) {
	for s, alloc := range m.allocators {
		if alloc.Idle(now) {
			delete(m.allocators, s)
		}
	}
}

// Handle processes a message about shares from another member.
func (m *Manager) Handle(now clock.Mono, c *wire.Control) []Outgoing {
	from := cluster.MemberRef{Name: c.FromName, Incarnation: c.FromIncarnation}
	switch body := c.Body.(type) {
	case *wire.Control_ShareRequest:
		s, req := decodeRequest(body.ShareRequest)
		return m.handleRequest(now, from, s, req)
	case *wire.Control_ShareGrant:
		s, g := decodeGrant(body.ShareGrant)
		m.applyGrant(now, s, g)
		if g.Recall {
			return m.confirmRecall(now, s.Customer)
		}
	case *wire.Control_ShareQuery:
		return m.answerQuery(now, from, body.ShareQuery.Seq)
	case *wire.Control_ShareReport:
		m.handleReport(now, from, body.ShareReport)
	}
	return nil
}

// confirmRecall sends a new request immediately after a recall, so that the
// allocator can lease the released rate.
func (m *Manager) confirmRecall(now clock.Mono, customer string) []Outgoing {
	l := m.Limiter(customer)
	if l == nil {
		return nil
	}
	return m.requestShares(now, l)
}

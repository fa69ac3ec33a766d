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

// Out is a message to another member, named without its incarnation.
type Out struct {
	To      string
	Message *wire.Control
}

// Manager asks for and leases the shares of one node. Its methods, but for
// Local, Admitter and Urgent, belong to the control goroutine.
type Manager struct {
	self cluster.MemberRef
	// leaseValid reports whether the node may still act as a holder.
	leaseValid func() bool
	locals     atomic.Pointer[map[string]*Local]
	members    map[string]bool
	// heard has members that have spoken before the view named them.
	heard   map[string]clock.Mono
	holders map[Scope]*Holder
	config  *config.Config
	recover recovery
	urgent  chan struct{}

	mu sync.Mutex
	// woken has the locals that became active since the last tick.
	woken []*Local
	// active is looked after by each tick.
	active map[*Local]bool
}

// NewManager returns the manager of a node. leaseValid is asked before each
// grant, because a node that was evicted is nobody's holder; nil means always.
func NewManager(self cluster.MemberRef, now clock.Mono, leaseValid func() bool) *Manager {
	if leaseValid == nil {
		leaseValid = func() bool { return true }
	}
	m := &Manager{
		self:       self,
		leaseValid: leaseValid,
		members:    map[string]bool{self.Name: true},
		heard:      make(map[string]clock.Mono),
		holders:    make(map[Scope]*Holder),
		urgent:     make(chan struct{}, 1),
		active:     make(map[*Local]bool),
	}
	m.recover.start(now)
	m.locals.Store(&map[string]*Local{})
	return m
}

// Admitter returns the admitter for the traffic goroutines.
func (m *Manager) Admitter() Admitter { return gate{m} }

// Local returns the state of a customer; nil if it has no contract. It is safe
// for concurrent use.
func (m *Manager) Local(customer string) *Local { return (*m.locals.Load())[customer] }

// Urgent is signalled when a tick should not wait for its period, because a
// request waits for a first share.
func (m *Manager) Urgent() <-chan struct{} { return m.urgent }

// activate makes the manager look after a customer's shares.
func (m *Manager) activate(l *Local) {
	l.mu.Lock()
	wake := !l.active
	l.active = true
	l.mu.Unlock()
	if !wake {
		return
	}
	m.mu.Lock()
	m.woken = append(m.woken, l)
	m.mu.Unlock()
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// Activate makes the manager look after the shares of a customer that had an
// arrival. The admitter does so by itself.
func (m *Manager) Activate(customer string) {
	if l := m.Local(customer); l != nil {
		m.activate(l)
	}
}

// SetConfig puts a configuration in force.
func (m *Manager) SetConfig(now clock.Mono, c *config.Config) {
	old := *m.locals.Load()
	next := make(map[string]*Local, len(c.Contracts))
	for name, ct := range c.Contracts {
		l := old[name]
		if l == nil {
			l = newLocal(ct, len(m.members), now)
		} else {
			l.update(ct, now)
		}
		next[name] = l
	}
	m.locals.Store(&next)
	m.config = c
	for scope, h := range m.holders {
		terms, ok := termsOf(c, scope)
		if !ok {
			delete(m.holders, scope)
			continue
		}
		h.SetTerms(now, terms)
	}
}

// SetMembers takes the names of the members that are not gone. The first call
// must come with all members that the platform names.
func (m *Manager) SetMembers(now clock.Mono, names []string) {
	next := map[string]bool{m.self.Name: true}
	for _, name := range names {
		next[name] = true
	}
	if m.recover.pending != nil && maps.Equal(next, m.members) {
		return
	}
	before := m.candidates(now)
	m.recover.setMembers(now, m.self.Name, m.members, next)
	m.members = next
	after := m.candidates(now)
	for l := range m.active {
		l.moved(len(next), holderOf(l.customer, before) != holderOf(l.customer, after))
	}
	for _, l := range *m.locals.Load() {
		l.moved(len(next), false)
	}
	m.dropHolders(now)
}

// moved takes the number of members, and asks anew if the holder is another.
func (l *Local) moved(members int, newHolder bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scopes(func(_ string, p *portion) {
		p.members = members
		p.apply()
		p.urgent = p.urgent || newHolder
	})
}

// dropHolders forgets the scopes that another member holds now.
func (m *Manager) dropHolders(now clock.Mono) {
	for scope := range m.holders {
		if m.holder(scope.Customer, now) != m.self.Name {
			delete(m.holders, scope)
		}
	}
}

// candidates are the members that may be holders.
func (m *Manager) candidates(now clock.Mono) map[string]bool {
	names := make(map[string]bool, len(m.members)+len(m.heard))
	for name := range m.members {
		names[name] = true
	}
	for name, until := range m.heard {
		if now < until {
			names[name] = true
		} else {
			delete(m.heard, name)
		}
	}
	return names
}

// holder returns the name of a customer's holder.
func (m *Manager) holder(customer string, now clock.Mono) string {
	if len(m.heard) == 0 {
		return holderOf(customer, m.members)
	}
	return holderOf(customer, m.candidates(now))
}

// holderOf chooses the holder by rendezvous hash.
func holderOf(customer string, names map[string]bool) string {
	var best string
	var rank uint64
	for name := range names {
		r := cluster.Rank(customer, name)
		if best == "" || r > rank || r == rank && name < best {
			best, rank = name, r
		}
	}
	return best
}

// Tick asks for the shares that are due. It returns messages to send.
func (m *Manager) Tick(now clock.Mono) []Out {
	m.mu.Lock()
	for _, l := range m.woken {
		m.active[l] = true
	}
	m.woken = m.woken[:0]
	m.mu.Unlock()
	outs := m.recover.queries(now)
	for l := range m.active {
		outs = append(outs, m.tend(now, l)...)
	}
	m.forgetIdle(now)
	return outs
}

// tend asks for the shares of one customer.
func (m *Manager) tend(now clock.Mono, l *Local) []Out {
	type due struct {
		scope Scope
		ask   Ask
	}
	var asks []due
	quiet := true
	l.mu.Lock()
	l.scopes(func(service string, p *portion) {
		if a, ok := p.ask(now); ok {
			asks = append(asks, due{Scope{l.customer, service}, a})
		}
		quiet = quiet && p.idle(now) && p.until == 0 && !p.asked
	})
	if quiet {
		l.active = false
	}
	l.mu.Unlock()
	if quiet {
		delete(m.active, l)
	}
	var outs []Out
	for _, d := range asks {
		outs = append(outs, m.sendAsk(now, d.scope, d.ask)...)
	}
	return outs
}

// sendAsk passes an ask to the holder, which may be this node.
func (m *Manager) sendAsk(now clock.Mono, s Scope, a Ask) []Out {
	to := m.holder(s.Customer, now)
	if to == m.self.Name {
		return m.answerAsk(now, m.self, s, a)
	}
	return []Out{{To: to, Message: askMessage(s, a)}}
}

// answerAsk leases as the holder.
func (m *Manager) answerAsk(now clock.Mono, from cluster.MemberRef, s Scope, a Ask) []Out {
	h := m.holderFor(now, s)
	if h == nil {
		return nil
	}
	var outs []Out
	for _, o := range h.Ask(now, from, a) {
		if o.To == m.self {
			m.applyGrant(now, s, o.Grant)
			continue
		}
		outs = append(outs, Out{To: o.To.Name, Message: grantMessage(s, o.Grant)})
	}
	return outs
}

// holderFor returns the holder of a scope, if this node is the one.
func (m *Manager) holderFor(now clock.Mono, s Scope) *Holder {
	if !m.leaseValid() || m.config == nil || m.holder(s.Customer, now) != m.self.Name {
		return nil
	}
	if h := m.holders[s]; h != nil {
		return h
	}
	terms, ok := termsOf(m.config, s)
	if !ok {
		return nil
	}
	acquired, recovering := m.recover.of(now, s.Customer, m.self.Name)
	h := NewHolder(terms, now, acquired, recovering)
	m.recover.handOver(now, s, h)
	m.holders[s] = h
	return h
}

// applyGrant hands a grant to the portion that asked.
func (m *Manager) applyGrant(now clock.Mono, s Scope, g Grant) {
	l := m.Local(s.Customer)
	if l == nil {
		return
	}
	l.mu.Lock()
	if p := l.portion(s.Service); p != nil {
		p.grant(now, g)
	}
	l.mu.Unlock()
	l.rearm(now)
}

// forgetIdle drops holders that have nothing to remember.
func (m *Manager) forgetIdle(now clock.Mono) {
	for s, h := range m.holders {
		if h.Idle(now) {
			delete(m.holders, s)
		}
	}
}

// Handle takes a message about shares from another member.
func (m *Manager) Handle(now clock.Mono, c *wire.Control) []Out {
	from := cluster.MemberRef{Name: c.FromName, Incarnation: c.FromIncarnation}
	switch body := c.Body.(type) {
	case *wire.Control_ShareRequest:
		s, a := decodeAsk(body.ShareRequest)
		return m.answerAsk(now, from, s, a)
	case *wire.Control_ShareGrant:
		s, g := decodeGrant(body.ShareGrant)
		m.applyGrant(now, s, g)
		if g.Recall {
			return m.askAgain(now, s.Customer)
		}
	case *wire.Control_ShareQuery:
		return m.answerQuery(now, from, body.ShareQuery.Seq)
	case *wire.Control_ShareReport:
		m.takeReport(now, from, body.ShareReport)
	}
	return nil
}

// askAgain confirms a recall at once, so that the holder can lease the rest.
func (m *Manager) askAgain(now clock.Mono, customer string) []Out {
	l := m.Local(customer)
	if l == nil {
		return nil
	}
	return m.tend(now, l)
}

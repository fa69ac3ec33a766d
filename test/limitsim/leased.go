package limitsim

import (
	"fmt"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/contract"
	"fulmarhinge/internal/limit"
	"fulmarhinge/internal/wire"
)

// Timing of the simulated nodes.
const (
	// tickInterval is the period of a node's control loop.
	tickInterval = 50 * time.Millisecond
	// evictionDelay is how long the others need to evict a lost node.
	evictionDelay = 2500 * time.Millisecond
	// leaseTime is how long a cut node keeps its lease.
	leaseTime = 1500 * time.Millisecond
	// maxTime is how long a request may wait.
	maxTime = 2 * time.Second
)

// waiter is a request that waits at a node.
type waiter struct {
	ticket   *limit.Ticket
	deadline clock.Mono
}

// member is one simulated node.
type member struct {
	ref     cluster.MemberRef
	manager *limit.Manager
	lost    bool
	cut     bool
	// leaseUntil is when a cut node's own lease lapses; zero for never.
	leaseUntil clock.Mono
	waiters    []waiter
	nextRun    clock.Mono
}

// envelope is a message under way.
type envelope struct {
	at   clock.Mono
	from int
	to   int
	msg  *wire.Control
}

// Leased is the product's own way: leased shares.
type Leased struct {
	config     *config.Config
	nodes      []*member
	queue      []envelope
	evict      map[int]clock.Mono
	now        clock.Mono
	admitted   int
	messages   int
	roundTrips int
}

// NewLeased starts a fleet at the time.
func NewLeased(now clock.Mono, nodes int, terms contract.Terms) *Leased {
	c := config.New()
	c.Revision = 1
	c.Contracts[customer] = contract.Contract{Customer: customer, Total: terms}
	l := &Leased{config: c, evict: make(map[int]clock.Mono), now: now}
	for i := range nodes {
		l.nodes = append(l.nodes, &member{ref: cluster.MemberRef{Name: nodeName(i), Incarnation: 1}})
	}
	for i := range nodes {
		l.boot(now, i)
	}
	return l
}

func nodeName(i int) string { return fmt.Sprintf("node-%03d", i) }

// boot gives a node a new manager.
func (l *Leased) boot(now clock.Mono, i int) {
	n := l.nodes[i]
	valid := func() bool { return !n.lost && (n.leaseUntil == 0 || l.now < n.leaseUntil) }
	n.manager = limit.NewManager(n.ref, now, valid)
	n.manager.SetMembers(now, l.names())
	n.manager.SetConfig(now, l.config)
	n.nextRun = now.Add(time.Duration(i) * time.Millisecond)
	n.waiters = nil
}

// names are the members that are not evicted.
func (l *Leased) names() []string {
	var names []string
	for _, n := range l.nodes {
		if !n.lost && (n.leaseUntil == 0 || l.now < n.leaseUntil) {
			names = append(names, n.ref.Name)
		}
	}
	return names
}

// Arrive implements Policy.
func (l *Leased) Arrive(now clock.Mono, node int) {
	n := l.nodes[node]
	deadline := now.Add(maxTime)
	ticket, refusal := n.manager.Local(customer).Arrive(now, "", deadline)
	n.manager.Activate(customer)
	if refusal != nil {
		return
	}
	if ticket == nil {
		l.admitted++
		return
	}
	if !n.manager.Local(customer).HasShare(now) {
		l.roundTrips++
	}
	n.waiters = append(n.waiters, waiter{ticket, deadline})
}

// Advance implements Policy.
func (l *Leased) Advance(now clock.Mono) int {
	l.now = now
	l.deliver(now)
	for i, at := range l.evict {
		if now >= at {
			delete(l.evict, i)
			l.tellMembers(now)
		}
	}
	for i, n := range l.nodes {
		if n.lost {
			continue
		}
		select {
		case <-n.manager.Urgent():
			n.nextRun = now
		default:
		}
		if now >= n.nextRun {
			n.nextRun = now.Add(tickInterval)
			l.send(now, i, n.manager.Tick(now))
		}
		l.admitted += n.release(now)
	}
	count := l.admitted
	l.admitted = 0
	return count
}

// release lets waiting requests go on and gives up those past their deadline.
func (n *member) release(now clock.Mono) int {
	if len(n.waiters) == 0 {
		return 0
	}
	local := n.manager.Local(customer)
	local.Release(now)
	released := 0
	keep := n.waiters[:0]
	for _, w := range n.waiters {
		select {
		case <-w.ticket.Ready:
			released++
			continue
		default:
		}
		if now >= w.deadline && local.Cancel(w.ticket) {
			continue
		}
		keep = append(keep, w)
	}
	n.waiters = keep
	return released
}

// send puts messages on their way.
func (l *Leased) send(now clock.Mono, from int, outs []limit.Out) {
	for _, o := range outs {
		o.Message.FromName = l.nodes[from].ref.Name
		o.Message.FromIncarnation = l.nodes[from].ref.Incarnation
		for to, n := range l.nodes {
			if n.ref.Name == o.To {
				l.messages++
				l.queue = append(l.queue, envelope{now.Add(Latency), from, to, o.Message})
			}
		}
	}
}

// deliver hands over the messages that have arrived.
func (l *Leased) deliver(now clock.Mono) {
	for len(l.queue) > 0 && l.queue[0].at <= now {
		e := l.queue[0]
		l.queue = l.queue[1:]
		from, to := l.nodes[e.from], l.nodes[e.to]
		if from.cut || to.cut || to.lost {
			continue
		}
		l.send(now, e.to, to.manager.Handle(now, e.msg))
	}
}

func (l *Leased) tellMembers(now clock.Mono) {
	for _, n := range l.nodes {
		if !n.lost && !n.cut {
			n.manager.SetMembers(now, l.names())
		}
	}
}

// Messages implements Policy.
func (l *Leased) Messages() int { return l.messages }

// RoundTrips implements Policy.
func (l *Leased) RoundTrips() int { return l.roundTrips }

// Cut implements Policy. A node that is cut off for long is evicted, and comes
// back as a new incarnation; until then it admits out of what it holds.
func (l *Leased) Cut(node int, cut bool) {
	n := l.nodes[node]
	n.cut = cut
	if cut {
		n.leaseUntil = l.now.Add(leaseTime)
		l.evict[node] = l.now.Add(evictionDelay)
		return
	}
	n.leaseUntil = 0
	l.Restart(l.now, node)
	l.tellMembers(l.now)
}

// Lose implements Policy.
func (l *Leased) Lose(node int) {
	l.nodes[node].lost = true
	l.evict[node] = l.now.Add(evictionDelay)
}

// Restart implements Policy.
func (l *Leased) Restart(now clock.Mono, node int) {
	l.nodes[node].ref.Incarnation++
	l.boot(now, node)
}

// Counter implements Policy.
func (l *Leased) Counter() int {
	best := -1
	for i, n := range l.nodes {
		if n.lost {
			continue
		}
		if best < 0 || cluster.Rank(customer, n.ref.Name) > cluster.Rank(customer, l.nodes[best].ref.Name) {
			best = i
		}
	}
	return best
}

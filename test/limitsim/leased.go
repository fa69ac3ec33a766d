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
	// evictionDelay is the time from the loss of a node until its eviction.
	evictionDelay = 2500 * time.Millisecond
	// leaseDuration is how long a partitioned node keeps its lease.
	leaseDuration = 1500 * time.Millisecond
	// maxWait is how long a request may wait for admission.
	maxWait = 2 * time.Second
)

// waitingRequest is a request that waits for admission at a node.
type waitingRequest struct {
	ticket   *limit.Ticket
	deadline clock.Mono
}

// simulatedNode is a node with its limit manager and its faults.
type simulatedNode struct {
	ref     cluster.MemberRef
	manager *limit.Manager
	lost    bool
	cut     bool
	// leaseUntil is when the lease of a partitioned node expires; zero if the node
	// is not partitioned.
	leaseUntil clock.Mono
	waiters    []waitingRequest
	nextTick   clock.Mono
}

// envelope is a message in flight.
type envelope struct {
	at   clock.Mono
	from int
	to   int
	msg  *wire.Control
}

// Leased is the policy of package limit: nodes lease shares of the contract.
type Leased struct {
	config     *config.Config
	nodes      []*simulatedNode
	queue      []envelope
	evictAt    map[int]clock.Mono
	now        clock.Mono
	admitted   int
	messages   int
	roundTrips int
}

// NewLeased starts a fleet at time now.
func NewLeased(now clock.Mono, nodes int, terms contract.Terms) *Leased {
	c := config.New()
	c.Revision = 1
	c.Contracts[customer] = contract.Contract{Customer: customer, Total: terms}
	l := &Leased{config: c, evictAt: make(map[int]clock.Mono), now: now}
	for i := range nodes {
		l.nodes = append(l.nodes, &simulatedNode{ref: cluster.MemberRef{Name: nodeName(i), Incarnation: 1}})
	}
	for i := range nodes {
		l.startManager(now, i)
	}
	return l
}

func nodeName(i int) string { return fmt.Sprintf("node-%03d", i) }

// startManager creates the limit manager of a node that starts.
func (l *Leased) startManager(now clock.Mono, i int) {
	n := l.nodes[i]
	valid := func() bool { return !n.lost && (n.leaseUntil == 0 || l.now < n.leaseUntil) }
	n.manager = limit.NewManager(n.ref, now, valid)
	n.manager.SetMembers(now, l.memberNames())
	n.manager.SetConfig(now, l.config)
	n.nextTick = now.Add(time.Duration(i) * time.Millisecond)
	n.waiters = nil
}

// memberNames returns the names of the members with a valid lease.
func (l *Leased) memberNames() []string {
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
	deadline := now.Add(maxWait)
	ticket, refusal := n.manager.Limiter(customer).Arrive(now, "", deadline)
	n.manager.Activate(customer)
	if refusal != nil {
		return
	}
	if ticket == nil {
		l.admitted++
		return
	}
	if !n.manager.Limiter(customer).HasShare(now) {
		l.roundTrips++
	}
	n.waiters = append(n.waiters, waitingRequest{ticket, deadline})
}

// Advance implements Policy.
func (l *Leased) Advance(now clock.Mono) int {
	l.now = now
	l.deliver(now)
	for i, at := range l.evictAt {
		if now >= at {
			delete(l.evictAt, i)
			l.updateMembers(now)
		}
	}
	for i, n := range l.nodes {
		if n.lost {
			continue
		}
		select {
		case <-n.manager.Urgent():
			n.nextTick = now
		default:
		}
		if now >= n.nextTick {
			n.nextTick = now.Add(tickInterval)
			l.send(now, i, n.manager.Tick(now))
		}
		l.admitted += n.release(now)
	}
	count := l.admitted
	l.admitted = 0
	return count
}

// release removes the waiting requests that are admitted or past their deadline,
// and returns the number of admitted ones.
func (n *simulatedNode) release(now clock.Mono) int {
	if len(n.waiters) == 0 {
		return 0
	}
	limiter := n.manager.Limiter(customer)
	limiter.Release(now)
	released := 0
	kept := n.waiters[:0]
	for _, w := range n.waiters {
		select {
		case <-w.ticket.Ready:
			released++
			continue
		default:
		}
		if now >= w.deadline && limiter.Cancel(w.ticket) {
			continue
		}
		kept = append(kept, w)
	}
	n.waiters = kept
	return released
}

// send queues messages for delivery after MessageDelay.
func (l *Leased) send(now clock.Mono, from int, outs []limit.Outgoing) {
	for _, o := range outs {
		o.Message.FromName = l.nodes[from].ref.Name
		o.Message.FromIncarnation = l.nodes[from].ref.Incarnation
		for to, n := range l.nodes {
			if n.ref.Name == o.To {
				l.messages++
				l.queue = append(l.queue, envelope{now.Add(MessageDelay), from, to, o.Message})
			}
		}
	}
}

// deliver handles the messages that have arrived. Messages from or to a partitioned
// node, or to a lost one, are dropped.
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

func (l *Leased) updateMembers(now clock.Mono) {
	for _, n := range l.nodes {
		if !n.lost && !n.cut {
			n.manager.SetMembers(now, l.memberNames())
		}
	}
}

// Messages implements Policy.
func (l *Leased) Messages() int { return l.messages }

// RoundTrips implements Policy.
func (l *Leased) RoundTrips() int { return l.roundTrips }

// Cut implements Policy. A partitioned node admits requests from the shares that it
// holds until its lease expires, is then evicted, and rejoins as a new incarnation.
func (l *Leased) Cut(node int, cut bool) {
	n := l.nodes[node]
	n.cut = cut
	if cut {
		n.leaseUntil = l.now.Add(leaseDuration)
		l.evictAt[node] = l.now.Add(evictionDelay)
		return
	}
	n.leaseUntil = 0
	l.Restart(l.now, node)
	l.updateMembers(l.now)
}

// Kill implements Policy.
func (l *Leased) Kill(node int) {
	l.nodes[node].lost = true
	l.evictAt[node] = l.now.Add(evictionDelay)
}

// Restart implements Policy.
func (l *Leased) Restart(now clock.Mono, node int) {
	l.nodes[node].ref.Incarnation++
	l.startManager(now, node)
}

// Coordinator implements Policy.
func (l *Leased) Coordinator() int {
	best := -1
	for i, n := range l.nodes {
		if n.lost {
			continue
		}
		if best < 0 || cluster.RendezvousScore(customer, n.ref.Name) > cluster.RendezvousScore(customer, l.nodes[best].ref.Name) {
			best = i
		}
	}
	return best
}

package node

import (
	"context"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/control"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/timeline"
	"fulmarhinge/internal/wire"
)

// Sizes of the control loop.
const (
	// eventQueue is how many events may wait for the control goroutine.
	eventQueue = 4096
	// eventBatch is how many waiting events are taken before their outcome is
	// published and carried out.
	eventBatch = 256
)

// loop runs the control goroutine: it owns the machine, publishes the view and
// the lease, and hands everything that may block to other goroutines.
type loop struct {
	node    *Node
	machine *control.Machine
	events  chan control.Event
	calls   chan func()
	done    chan struct{}
	io      *platformIO
	limits  *limits
	self    cluster.MemberRef
	waiting map[uint64]chan string
	nextID  uint64
	ended   bool
}

func newLoop(n *Node, m *control.Machine) *loop {
	l := &loop{
		node:    n,
		machine: m,
		events:  make(chan control.Event, eventQueue),
		calls:   make(chan func()),
		done:    make(chan struct{}),
		waiting: map[uint64]chan string{},
	}
	l.limits = &limits{loop: l}
	l.io = newPlatformIO(n.store, l.post, n.log)
	return l
}

// post queues an event. It waits while the queue is full: the poster is a
// goroutine of its own, never the control goroutine.
func (l *loop) post(e control.Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// postMessage queues a message of a peer, or drops it if the queue is full:
// peers send again what matters.
func (l *loop) postMessage(m *wire.Control) {
	select {
	case l.events <- control.Message{Body: m}:
	default:
	}
}

// drain begins a planned stop.
func (l *loop) drain() { l.post(control.DrainRequested{}) }

// run is the control goroutine.
func (l *loop) run(ctx context.Context) error {
	defer l.io.close()
	t := time.NewTicker(l.node.settings.Lease.Tick.D())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-l.calls:
			f()
		case e := <-l.events:
			l.step(e)
			l.takeWaiting()
		case <-l.limits.urgent:
			l.limits.tick()
		case <-t.C:
			l.tick()
		}
		l.carryOut()
	}
}

// step gives one event to the part that it concerns.
func (l *loop) step(e control.Event) {
	if !l.limits.take(e) {
		l.machine.Step(clock.Now(), e)
	}
}

// takeWaiting steps through events that are already there, so that a burst
// costs one publication.
func (l *loop) takeWaiting() {
	for range eventBatch {
		select {
		case e := <-l.events:
			l.step(e)
		default:
			return
		}
	}
}

func (l *loop) tick() {
	l.machine.Step(clock.Now(), control.InFlight{Total: l.node.gate.Total()})
	l.machine.Step(clock.Now(), control.Tick{})
	l.limits.tick()
}

// carryOut publishes first and acts then: a message or write must never say
// more than the traffic goroutines already obey.
func (l *loop) carryOut() {
	for again := true; again; {
		r := l.machine.Ready()
		l.publish(&r)
		l.act(&r)
		again = l.reportIdle(r.Stopping)
	}
}

func (l *loop) publish(r *control.Ready) {
	// A view that ends ownership comes before a longer lease, and a lease that
	// ends comes with the view of the incarnation that lost it.
	if r.View != nil {
		l.node.source.Publish(r.View)
	}
	l.node.source.SetLease(r.Lease)
	if r.Self != l.self {
		l.self = r.Self
		self := r.Self
		if self.IsZero() {
			self.Name = l.node.settings.Name
		}
		l.node.peers.SetSelf(self)
		l.node.ring.SetNode(self)
		if !r.Self.IsZero() {
			l.limits.joined()
			l.limits.follow(l.node.source.Current())
		}
	}
	if r.View != nil {
		l.limits.follow(r.View)
		l.node.store.SetBudget(platform.Share(len(r.View.Members), l.machine.Controls()))
	}
}

// sendControl sends a control message with the clock of the time line.
func (l *loop) sendControl(addr string, m *wire.Control) {
	s := l.node.stamps.Now()
	m.StampWall, m.StampLogical = s.Wall, s.Logical
	l.node.peers.Send(addr, m)
}

func (l *loop) act(r *control.Ready) {
	for _, e := range r.Events {
		l.record(l.node.ring.Add(e))
	}
	for _, o := range r.Messages {
		l.sendControl(o.Addr, o.Body)
	}
	for _, w := range r.Writes {
		l.io.write(w)
	}
	for _, k := range r.Reads {
		l.io.read(k)
	}
	for _, p := range r.Lists {
		l.io.list(p)
	}
	for _, p := range r.Replies {
		if c := l.waiting[p.ID]; c != nil {
			c <- p.Err
			delete(l.waiting, p.ID)
		}
	}
	l.io.watch(r.Watch)
	if r.Done && !l.ended {
		l.ended = true
		close(l.done)
	}
}

// reportIdle tells the machine which stopping units have nothing in flight.
// The gate counts a request in before it looks at the view, so zero after the
// publication is final.
func (l *loop) reportIdle(stopping []control.UnitIdle) bool {
	found := false
	for _, u := range stopping {
		if l.node.gate.InFlight(u.Unit) == 0 {
			u.History = l.node.gate.History(u.Unit, u.Epoch)
			l.machine.Step(clock.Now(), u)
			found = true
		}
	}
	return found
}

// record writes an event of the time line to the log as well.
func (l *loop) record(e timeline.Event) {
	args := []any{"kind", string(e.Kind)}
	if e.Unit != nil {
		args = append(args, "unit", e.Unit.String(), "epoch", e.Epoch)
	}
	if e.Member != nil {
		args = append(args, "member", e.Member.String())
	}
	if e.Unit != nil {
		l.node.log.Named("control").Debug(e.Text, args...)
		return
	}
	l.node.log.Named("control").Info(e.Text, args...)
}

// status asks the control goroutine for the present state; it is empty once
// the goroutine has ended.
func (l *loop) status() control.Status {
	answer := make(chan control.Status, 1)
	select {
	case l.calls <- func() { answer <- l.machine.Status() }:
		return <-answer
	case <-l.io.ctx.Done():
		return control.Status{}
	}
}

// evict carries an operator's order to the control goroutine and waits for
// its outcome, which is empty on success.
func (l *loop) evict(ctx context.Context, name string, force bool) (string, error) {
	answer := make(chan string, 1)
	order := func() {
		l.nextID++
		l.waiting[l.nextID] = answer
		l.machine.Step(clock.Now(), control.EvictRequested{ID: l.nextID, Name: name, Force: force})
	}
	select {
	case l.calls <- order:
	case <-ctx.Done():
		return "", ctx.Err()
	}
	select {
	case why := <-answer:
		return why, nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

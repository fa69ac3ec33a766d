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

// Bounds of the control loop.
const (
	// maxQueuedEvents is the capacity of the event queue of the control
	// goroutine.
	maxQueuedEvents = 4096
	// maxEventBatch is the maximum number of further queued events that are
	// handled after an event, before the results of all are published and
	// executed.
	maxEventBatch = 256
)

// loop runs the control goroutine. It owns the control machine, publishes the
// view and the lease, and leaves blocking work to other goroutines.
type loop struct {
	node         *Node
	machine      *control.Machine
	events       chan control.Event
	calls        chan func()
	done         chan struct{}
	io           *platformIO
	limiter      *limiter
	self         cluster.MemberRef
	evictReplies map[uint64]chan string
	lastEvictID  uint64
	doneClosed   bool
}

func newLoop(n *Node, m *control.Machine) *loop {
	l := &loop{
		node:         n,
		machine:      m,
		events:       make(chan control.Event, maxQueuedEvents),
		calls:        make(chan func()),
		done:         make(chan struct{}),
		evictReplies: map[uint64]chan string{},
	}
	l.limiter = &limiter{loop: l}
	l.io = newPlatformIO(n.store, l.post, n.log)
	return l
}

// post queues an event and waits while the queue is full. The control goroutine
// itself must not call it.
func (l *loop) post(e control.Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// postMessage queues a message of a peer. It drops the message if the queue is
// full, since peers resend important messages.
func (l *loop) postMessage(m *wire.Control) {
	select {
	case l.events <- control.Message{Body: m}:
	default:
	}
}

// requestDrain starts a planned stop.
func (l *loop) requestDrain() { l.post(control.DrainRequested{}) }

// run is the control goroutine.
func (l *loop) run(ctx context.Context) error {
	defer l.io.close()
	t := time.NewTicker(l.node.settings.Lease.TickInterval.D())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-l.calls:
			f()
		case e := <-l.events:
			l.handleEvent(e)
			l.handleQueuedEvents()
		case <-l.limiter.sharesDue:
			l.limiter.tick()
		case <-t.C:
			l.tick()
		}
		l.processReady()
	}
}

// handleEvent passes an event to the limiter if it is about shares, and to the
// control machine otherwise.
func (l *loop) handleEvent(e control.Event) {
	if !l.limiter.handleMessage(e) {
		l.machine.Step(clock.Now(), e)
	}
}

// handleQueuedEvents handles events that are already queued, so that a burst of
// events causes one publication.
func (l *loop) handleQueuedEvents() {
	for range maxEventBatch {
		select {
		case e := <-l.events:
			l.handleEvent(e)
		default:
			return
		}
	}
}

func (l *loop) tick() {
	l.machine.Step(clock.Now(), control.InFlight{Total: l.node.gate.Total()})
	l.machine.Step(clock.Now(), control.Tick{})
	l.limiter.tick()
}

// processReady publishes the results of the control machine before it executes
// them: a message or a write must not announce a state that the traffic
// goroutines do not obey yet.
func (l *loop) processReady() {
	for again := true; again; {
		r := l.machine.Ready()
		l.publish(&r)
		l.execute(&r)
		again = l.reportIdleUnits(r.Stopping)
	}
}

func (l *loop) publish(r *control.Ready) {
	// A view that ends ownership is published before a longer lease. A lease
	// that ends is published with the view of the incarnation that lost it.
	if r.View != nil {
		l.node.source.Publish(r.View)
	}
	l.node.source.SetLease(r.LeaseUntil)
	if r.Self != l.self {
		l.self = r.Self
		self := r.Self
		if self.IsZero() {
			self.Name = l.node.settings.Name
		}
		l.node.peers.SetSelf(self)
		l.node.ring.SetNode(self)
		if !r.Self.IsZero() {
			l.limiter.reset()
			l.limiter.applyView(l.node.source.Current())
		}
	}
	if r.View != nil {
		l.limiter.applyView(r.View)
		l.node.store.SetBudget(platform.NodeBudget(len(r.View.Members), l.machine.IsController()))
	}
}

// sendControl sends a control message with a timeline stamp.
func (l *loop) sendControl(addr string, m *wire.Control) {
	s := l.node.timelineClock.Now()
	m.StampWall, m.StampLogical = s.Wall, s.Logical
	l.node.peers.Send(addr, m)
}

func (l *loop) execute(r *control.Ready) {
	for _, e := range r.Events {
		l.logEvent(l.node.ring.Add(e))
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
		if c := l.evictReplies[p.ID]; c != nil {
			c <- p.Err
			delete(l.evictReplies, p.ID)
		}
	}
	l.io.setWatching(r.Watch)
	if r.Done && !l.doneClosed {
		l.doneClosed = true
		close(l.done)
	}
}

// reportIdleUnits reports the stopping units without requests in flight to the
// control machine, and returns whether there are any. The gate counts a request
// before it reads the view, so a count of zero after the publication is final.
func (l *loop) reportIdleUnits(stopping []control.UnitIdle) bool {
	anyIdle := false
	for _, u := range stopping {
		if l.node.gate.InFlight(u.Unit) == 0 {
			u.History = l.node.gate.History(u.Unit, u.Epoch)
			l.machine.Step(clock.Now(), u)
			anyIdle = true
		}
	}
	return anyIdle
}

// logEvent writes a timeline event to the log.
func (l *loop) logEvent(e timeline.Event) {
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

// status returns the current state of the control machine, or a zero value once
// the control goroutine has ended.
func (l *loop) status() control.Status {
	reply := make(chan control.Status, 1)
	select {
	case l.calls <- func() { reply <- l.machine.Status() }:
		return <-reply
	case <-l.io.ctx.Done():
		return control.Status{}
	}
}

// evict passes an eviction request to the control goroutine and waits for its
// result, which is empty on success.
func (l *loop) evict(ctx context.Context, name string, force bool) (string, error) {
	reply := make(chan string, 1)
	request := func() {
		l.lastEvictID++
		l.evictReplies[l.lastEvictID] = reply
		l.machine.Step(clock.Now(), control.EvictRequested{ID: l.lastEvictID, Name: name, Force: force})
	}
	select {
	case l.calls <- request:
	case <-ctx.Done():
		return "", ctx.Err()
	}
	select {
	case reason := <-reply:
		return reason, nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/control"
	"fulmarhinge/internal/limit"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/timeline"
	"fulmarhinge/internal/view"
)

// limits runs the limit manager of the present incarnation inside the control
// goroutine, and is the admitter of the traffic goroutines.
type limits struct {
	loop    *loop
	manager *limit.Manager
	current atomic.Pointer[limit.Admitter]
	config  *config.Config
	urgent  <-chan struct{}
	// noted holds when each customer's limits were last recorded.
	noted sync.Map
}

// Admit asks the present manager. Before the node has joined there is none.
func (l *limits) Admit(ctx context.Context, customer, service string) (func(), *result.Error) {
	a := l.current.Load()
	if a == nil {
		return nil, result.New(result.NotAdmitting)
	}
	done, refusal := (*a).Admit(ctx, customer, service)
	if refusal != nil {
		l.note(customer, refusal)
	}
	return done, refusal
}

// noteEvery is the least time between two events about one customer's limits.
const noteEvery = 10 * time.Second

// note records that a customer meets its limits, once in a while.
func (l *limits) note(customer string, refusal *result.Error) {
	v := l.loop.node.source.Current()
	if v == nil || v.Config == nil {
		return
	}
	if _, known := v.Config.Contracts[customer]; !known {
		// Names that callers make up must not fill the memory.
		return
	}
	now := time.Now()
	last, known := l.noted.LoadOrStore(customer, now)
	if known && (now.Sub(last.(time.Time)) < noteEvery || !l.noted.CompareAndSwap(customer, last, now)) {
		return
	}
	l.loop.node.ring.Add(timeline.Event{
		Kind: timeline.KindLimit, Customer: customer, Text: "requests are refused: " + refusal.Error(),
	})
}

// joined starts anew with an incarnation: what an earlier one was leased stays
// booked at the holder until it lapses.
func (l *limits) joined() {
	l.manager = limit.NewManager(l.loop.self, clock.Now(), l.loop.node.source.LeaseValid)
	l.urgent = l.manager.Urgent()
	l.config = nil
	a := l.manager.Admitter()
	l.current.Store(&a)
}

// follow takes what has changed in a published view.
func (l *limits) follow(v *view.View) {
	if l.manager == nil || v == nil || v.Config == nil {
		return
	}
	now := clock.Now()
	names := make([]string, 0, len(v.Members))
	for n := range v.Members {
		names = append(names, n)
	}
	l.manager.SetMembers(now, names)
	if v.Config != l.config {
		l.config = v.Config
		l.manager.SetConfig(now, v.Config)
	}
}

// tick asks for the shares that are due.
func (l *limits) tick() {
	if l.manager != nil {
		l.send(l.manager.Tick(clock.Now()))
	}
}

// take handles an event that is a message about shares, and reports whether it
// was one.
func (l *limits) take(e control.Event) bool {
	m, ok := e.(control.Message)
	if !ok || !limit.IsShareMessage(m.Body) {
		return false
	}
	if l.manager != nil && m.Body.GetToIncarnation() == l.loop.self.Incarnation {
		l.send(l.manager.Handle(clock.Now(), m.Body))
	}
	return true
}

// send addresses messages to the members as the view names them.
func (l *limits) send(outs []limit.Out) {
	v := l.loop.node.source.Current()
	for _, o := range outs {
		p := v.Members[o.To]
		if p == nil {
			continue
		}
		o.Message.FromName = l.loop.self.Name
		o.Message.FromIncarnation = l.loop.self.Incarnation
		o.Message.ToIncarnation = p.Incarnation
		l.loop.sendControl(p.PeerAddr, o.Message)
	}
}

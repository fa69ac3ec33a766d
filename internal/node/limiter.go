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

// limiter runs the limit manager of the node's current incarnation on the
// control goroutine and admits requests on the traffic goroutines.
type limiter struct {
	loop      *loop
	manager   *limit.Manager
	admitter  atomic.Pointer[limit.Admitter]
	config    *config.Config
	sharesDue <-chan struct{}
	// lastRecorded holds, by customer, the time of the last recorded limit
	// event.
	lastRecorded sync.Map
}

// Admit asks the current limit manager to admit a request. It refuses requests
// until the node has joined the fleet, since there is no manager before.
func (l *limiter) Admit(ctx context.Context, customer, service string) (func(), *result.Error) {
	a := l.admitter.Load()
	if a == nil {
		return nil, result.New(result.NotAdmitting)
	}
	done, refusal := (*a).Admit(ctx, customer, service)
	if refusal != nil {
		l.recordRefusal(customer, refusal)
	}
	return done, refusal
}

// limitEventInterval is the minimum time between two limit events of one
// customer.
const limitEventInterval = 10 * time.Second

// recordRefusal records that a customer exceeds its limits, at most once per
// limitEventInterval.
func (l *limiter) recordRefusal(customer string, refusal *result.Error) {
	v := l.loop.node.source.Current()
	if v == nil || v.Config == nil {
		return
	}
	if _, known := v.Config.Contracts[customer]; !known {
		// Callers choose the name. Only customers with a contract are kept, so
		// that made-up names cannot exhaust memory.
		return
	}
	now := time.Now()
	last, known := l.lastRecorded.LoadOrStore(customer, now)
	if known && (now.Sub(last.(time.Time)) < limitEventInterval || !l.lastRecorded.CompareAndSwap(customer, last, now)) {
		return
	}
	l.loop.node.ring.Add(timeline.Event{
		Kind: timeline.KindLimit, Customer: customer, Text: "requests are refused: " + refusal.Error(),
	})
}

// reset starts a new limit manager for a new incarnation. Shares leased to an
// earlier incarnation stay reserved at the holder until they expire.
func (l *limiter) reset() {
	l.manager = limit.NewManager(l.loop.self, clock.Now(), l.loop.node.source.LeaseValid)
	l.sharesDue = l.manager.Urgent()
	l.config = nil
	a := l.manager.Admitter()
	l.admitter.Store(&a)
}

// applyView passes changed members and configuration of a published view to the
// limit manager.
func (l *limiter) applyView(v *view.View) {
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

// tick sends the share requests that are due.
func (l *limiter) tick() {
	if l.manager != nil {
		l.send(l.manager.Tick(clock.Now()))
	}
}

// handleMessage handles an event that is a message about shares, and reports
// whether it was one.
func (l *limiter) handleMessage(e control.Event) bool {
	m, ok := e.(control.Message)
	if !ok || !limit.IsShareMessage(m.Body) {
		return false
	}
	if l.manager != nil && m.Body.GetToIncarnation() == l.loop.self.Incarnation {
		l.send(l.manager.Handle(clock.Now(), m.Body))
	}
	return true
}

// send sends messages to the members at the peer addresses of the current view.
func (l *limiter) send(messages []limit.Outgoing) {
	v := l.loop.node.source.Current()
	for _, o := range messages {
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

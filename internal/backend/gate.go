package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/view"
	"fulmarhinge/internal/waitroom"
	"fulmarhinge/internal/wire"
)

// Times that a request may wait at the gate for a slot. Only the owner can
// serve a key, so its requests wait longer than those that another backend
// server could take.
const (
	slotWaitKeyed = time.Second
	slotWaitAny   = 100 * time.Millisecond
	// defaultMaxWaiting bounds the waiting requests of a customer for whom
	// the gate has no contract.
	defaultMaxWaiting = 16
)

// ResponseSink takes one answer.
type ResponseSink interface {
	// Dispatched is called at most once, when the request is about to be sent
	// to the backend server, from another goroutine than the other methods.
	Dispatched()
	// Head takes the start of the answer.
	Head(h *wire.ResponseHead) error
	// Write takes the next piece of the body and keeps no reference to it.
	Write(p []byte) (int, error)
}

// Gate stands in front of the backend server of this node. All requests to it
// pass through Do.
type Gate struct {
	src   *view.Source
	log   hclog.Logger
	count *inFlight
	loads *loads
	room  *waitroom.Room
	table *idempotencyTable

	mu     sync.Mutex
	server atomic.Pointer[server]
	// passOn takes the requests of peers that are for another node; nil if
	// this node passes nothing on.
	passOn PassOn
}

// PassOn passes a request that came over a stream on to its owner, and returns
// a refusal if the owner was certainly not sent anything. After a nil it has
// passed back whatever came of the request.
type PassOn func(ctx context.Context, head *wire.RequestHead, from net.Conn) *result.Error

// NewGate returns a gate without a backend server.
func NewGate(src *view.Source, logger hclog.Logger) *Gate {
	return &Gate{
		src: src, log: logger.Named("gate"), count: newInFlight(),
		loads: newLoads(), room: waitroom.New(),
		table: newIdempotencyTable(IdempotencyLimits{}),
	}
}

// SetIdempotency changes what the gate remembers of idempotency keys; a zero
// field takes its default. It is called before the first request.
func (g *Gate) SetIdempotency(l IdempotencyLimits) { g.table = newIdempotencyTable(l) }

// SetPassOn says what is done with requests that a peer wants to be passed on.
// It is called before the first request.
func (g *Gate) SetPassOn(p PassOn) { g.passOn = p }

// SetBackend tells the gate of the present announcement; nil withdraws it.
// Requests in flight go on.
func (g *Gate) SetBackend(a *Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.server.Load()
	if a == nil {
		g.server.Store(nil)
	} else {
		g.server.Store(nextServer(old, a))
	}
	if now := g.server.Load(); old != nil && (now == nil || now.transport != old.transport) {
		old.transport.CloseIdleConnections()
	}
}

// InFlight returns the requests of a unit that are inside the gate. For a unit
// with a key it counts the key's requests whichever way they were located. For
// a shard it includes those that came in through a pin that was dissolved or
// lost since: their key is the shard's again, or was for a while.
// Once it is zero after a view without the unit's Serving state was published,
// no request of the unit can reach the backend server any more.
func (g *Gate) InFlight(u cluster.Unit) int {
	// A request through a pin is counted with the shard until it is counted
	// with the pin's epoch, so the shard's count is read first.
	n := g.count.count(u)
	if u.Key == "" {
		n += g.count.strays(u, g.holdsPin)
	}
	return n
}

// holdsPin reports whether this node still holds a pin at the epoch at which
// requests came in through it.
func (g *Gate) holdsPin(a admission) bool {
	owned, ok := g.src.Current().Owned[a.pin]
	return ok && owned.Epoch == a.epoch && owned.State != view.Stopping
}

// Total returns all requests inside the gate.
func (g *Gate) Total() int { return int(g.count.total.Load()) }

// Loads returns what was counted since the last call; it has one caller.
func (g *Gate) Loads() Loads { return g.loads.take() }

// Do sends one request to the backend server and passes its answer to sink. It
// returns nil if the whole answer was passed. If Head was not called, the error
// is the answer; else the answer was cut.
func (g *Gate) Do(ctx context.Context, head *wire.RequestHead, body io.Reader, sink ResponseSink) *result.Error {
	g.count.total.Add(1)
	defer g.count.total.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(head.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	r := &run{gate: g, head: head, body: body, sink: sink}
	if refusal := r.prefetch(); refusal != nil {
		return refusal
	}
	if refusal := g.admit(ctx, r); refusal != nil {
		return refusal
	}
	defer g.leave(ctx, r)
	if r.keyed && head.GetIdempotencyKey() != "" && !idempotentMethod(head.GetMethod()) {
		return g.runOnce(ctx, r)
	}
	return g.runInSlot(ctx, r)
}

// runInSlot sends the request once a slot of the backend server is free.
func (g *Gate) runInSlot(ctx context.Context, r *run) *result.Error {
	if !g.acquireSlot(ctx, r) {
		return slotRefusal(ctx)
	}
	defer r.server.slots.release()
	return r.dispatch(ctx)
}

// leave ends the count of a request. One that was dispatched and has no answer
// may run on at the backend server until its deadline, so the count, and with
// it a hand-over of the unit, lasts until then.
func (g *Gate) leave(ctx context.Context, r *run) {
	if !r.keyed {
		return
	}
	done := func() { g.uncount(r) }
	deadline, ok := ctx.Deadline()
	if ok && r.abandoned {
		time.AfterFunc(time.Until(deadline), done)
		return
	}
	done()
}

func (g *Gate) acquireSlot(ctx context.Context, r *run) bool {
	wait := slotWaitAny
	if r.keyed {
		wait = slotWaitKeyed
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return r.server.slots.acquire(ctx, r.head.GetCustomer())
}

func slotRefusal(ctx context.Context) *result.Error {
	if ctx.Err() != nil {
		return endedBefore(ctx)
	}
	return result.New(result.BackendBusy)
}

// endedBefore says why a request ended that was never dispatched.
func endedBefore(ctx context.Context) *result.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlineBefore)
	}
	return result.New(result.CancelledBefore)
}

// admit decides whether the request may go to the backend server. If it may
// and the service is divided by key, the request is counted as in flight.
func (g *Gate) admit(ctx context.Context, r *run) *result.Error {
	v := g.src.Current()
	if v == nil || v.Config == nil {
		return result.New(result.NotAdmitting)
	}
	svc, ok := v.Config.Services[r.head.GetService()]
	if !ok {
		return result.New(result.NoService)
	}
	r.keyed = svc.DividedByKey
	if !r.keyed && v.Draining {
		return result.New(result.Draining)
	}
	if r.keyed {
		if refusal := g.enter(ctx, r); refusal != nil {
			return refusal
		}
	}
	r.server = g.server.Load()
	if refusal := r.server.check(svc); refusal != nil {
		if r.keyed {
			g.uncount(r)
		}
		return refusal
	}
	return nil
}

// enter counts the request as in flight if this node serves its key now. It
// waits while the unit is pending, as long as the customer's contract and the
// deadline allow.
func (g *Gate) enter(ctx context.Context, r *run) *result.Error {
	waiting := false
	defer func() {
		if waiting {
			g.room.Leave(r.head.GetCustomer())
		}
	}()
	for {
		changed := g.src.Changed()
		state, refusal := g.tryEnter(r)
		if refusal != nil || state == view.Serving {
			return refusal
		}
		if !waiting {
			if !g.room.Enter(r.head.GetCustomer(), maxWaiting(g.src.Current().Config, r.head)) {
				return result.New(result.WaitingFull)
			}
			waiting = true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return endedBefore(ctx)
		}
	}
}

// tryEnter makes one attempt. The request is counted before the view is read:
// the control goroutine publishes Stopping first and then waits for the count
// to be zero, so either it sees this request or this request sees Stopping.
func (g *Gate) tryEnter(r *run) (view.UnitState, *result.Error) {
	key := r.head.GetKey()
	unit, _, ok := g.src.Current().Locate(r.head.GetService(), key)
	if !ok {
		return 0, result.New(result.NoOwner)
	}
	g.count.add(unit, key, 1)
	if unit.Key != "" {
		g.count.shard(unit).Add(1)
		defer g.count.shard(unit).Add(-1)
	}
	v := g.src.Current()
	now, assigned, ok := v.Locate(r.head.GetService(), key)
	refusal := result.New(result.Moved)
	state := view.UnitState(0)
	if ok && now == unit {
		state, refusal = g.judge(v, unit, assigned, r)
	}
	if state != view.Serving {
		g.count.add(unit, key, -1)
		return state, refusal
	}
	if unit.Key != "" {
		g.count.addPinned(unit, r.epoch, 1)
	}
	g.loads.add(unit, key)
	return state, nil
}

// uncount ends the count of a request that was let in.
func (g *Gate) uncount(r *run) {
	if r.unit.Key != "" {
		g.count.addPinned(r.unit, r.epoch, -1)
	}
	g.count.add(r.unit, r.head.GetKey(), -1)
}

// judge says what the view and the lease allow for a unit.
func (g *Gate) judge(v *view.View, u cluster.Unit, assigned cluster.Assignment, r *run) (view.UnitState, *result.Error) {
	owned, ok := v.Owned[u]
	if ok && owned.State == view.Pending {
		return view.Pending, nil
	}
	if !ok || owned.State != view.Serving {
		refusal := result.New(result.Moved)
		if m := v.Members[assigned.Owner.Name]; m != nil {
			refusal.Owner = m.CallerAddr
		}
		return 0, refusal
	}
	if !g.src.LeaseValid() {
		return 0, result.New(result.LeaseLapsed)
	}
	r.unit = u
	r.epoch = owned.Epoch
	r.owner = v.Self
	r.history = owned.History
	return view.Serving, nil
}

// maxWaiting returns how many requests of the customer may wait here.
func maxWaiting(c *config.Config, head *wire.RequestHead) int {
	ct, ok := c.Contracts[head.GetCustomer()]
	if !ok {
		return defaultMaxWaiting
	}
	limit := ct.Total.MaxWaiting
	if t, ok := ct.Services[head.GetService()]; ok {
		limit = min(limit, t.MaxWaiting)
	}
	return limit
}

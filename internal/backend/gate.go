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
	"fulmarhinge/internal/waitlimit"
	"fulmarhinge/internal/wire"
)

// Maximum time that an admitted request waits for a slot. Only the owner can
// serve a key, so requests for keys wait longer than requests that another
// backend server could serve.
const (
	slotWaitKeyed   = time.Second
	slotWaitUnkeyed = 100 * time.Millisecond
	// defaultMaxWaiting limits the number of waiting requests of a customer
	// without a contract in the configuration.
	defaultMaxWaiting = 16
)

// ResponseSink receives the response to one request.
type ResponseSink interface {
	// Dispatched is called at most once, when the request is about to be sent
	// to the backend server. It may run concurrently with the other methods.
	Dispatched()
	// Head receives the status and the headers of the response.
	Head(h *wire.ResponseHead) error
	// Write receives the next part of the body. It must not retain p.
	Write(p []byte) (int, error)
}

// Gate controls all access to the backend server of this node: every request to
// the server is sent by Do.
type Gate struct {
	src         *view.Source
	log         hclog.Logger
	inFlight    *inFlight
	loads       *loads
	waitLimiter *waitlimit.Limiter
	idempotency *idempotencyTable

	mu     sync.Mutex
	server atomic.Pointer[server]
	// forward handles requests from peers that another node owns; nil if this
	// node does not forward requests.
	forward ForwardFunc
}

// ForwardFunc forwards a request that arrived over a peer stream to its owner. It
// returns a refusal only if nothing was sent to the owner. If it returns nil, it
// has already written the owner's response, or an error, to the stream.
type ForwardFunc func(ctx context.Context, head *wire.RequestHead, from net.Conn) *result.Error

// NewGate returns a gate without a backend server.
func NewGate(src *view.Source, logger hclog.Logger) *Gate {
	return &Gate{
		src: src, log: logger.Named("gate"), inFlight: newInFlight(),
		loads: newLoads(), waitLimiter: waitlimit.New(),
		idempotency: newIdempotencyTable(IdempotencyLimits{}),
	}
}

// SetIdempotency sets the limits of the idempotency table; a zero field selects
// its default. It must be called before the first request.
func (g *Gate) SetIdempotency(l IdempotencyLimits) { g.idempotency = newIdempotencyTable(l) }

// SetForward sets the function that forwards requests from peers. It must be
// called before the first request.
func (g *Gate) SetForward(forward ForwardFunc) { g.forward = forward }

// SetBackend replaces the announcement of the backend server; nil withdraws it.
// Requests in flight continue.
func (g *Gate) SetBackend(a *Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.server.Load()
	if a == nil {
		g.server.Store(nil)
	} else {
		g.server.Store(nextServer(old, a))
	}
	if current := g.server.Load(); old != nil && (current == nil || current.transport != old.transport) {
		old.transport.CloseIdleConnections()
	}
}

// InFlight returns the number of requests of a unit that are inside the gate.
// For a pinned key it counts the key's requests whether they were admitted
// through the shard or through the pin. For a shard it includes requests that
// were admitted through a pin which has since been dissolved or lost, because
// their key belongs to the shard again or did so in between.
// Once the count is zero after a view without the unit's Serving state was
// published, no request of the unit can reach the backend server any more.
func (g *Gate) InFlight(u cluster.Unit) int {
	// A request admitted through a pin is counted with the shard until it is
	// counted with the pin's epoch, so the shard's count must be read first.
	n := g.inFlight.count(u)
	if u.Key == "" {
		n += g.inFlight.countFormerPins(u, g.holdsPin)
	}
	return n
}

// holdsPin reports whether this node still holds the pin at the given epoch.
func (g *Gate) holdsPin(a pinEpoch) bool {
	owned, ok := g.src.Current().Owned[a.pin]
	return ok && owned.Epoch == a.epoch && owned.State != view.Stopping
}

// Total returns the number of all requests inside the gate.
func (g *Gate) Total() int { return int(g.inFlight.total.Load()) }

// Loads returns the request counts since the previous call and resets them, so
// it must have only one caller.
func (g *Gate) Loads() Loads { return g.loads.snapshotAndReset() }

// Do sends one request to the backend server and forwards its response to sink.
// It returns nil if the response was forwarded completely. If an error is
// returned and sink.Head was not called, the caller of Do sends the error as
// the response; otherwise the response was truncated.
func (g *Gate) Do(ctx context.Context, head *wire.RequestHead, body io.Reader, sink ResponseSink) *result.Error {
	g.inFlight.total.Add(1)
	defer g.inFlight.total.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(head.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	r := &request{gate: g, head: head, body: body, sink: sink}
	if refusal := r.prefetch(); refusal != nil {
		return refusal
	}
	if refusal := g.admit(ctx, r); refusal != nil {
		return refusal
	}
	defer g.endInFlight(ctx, r)
	if r.keyed && head.GetIdempotencyKey() != "" && !idempotentMethod(head.GetMethod()) {
		return g.executeOnce(ctx, r)
	}
	return g.dispatchInSlot(ctx, r)
}

// dispatchInSlot dispatches the request once it has a slot of the backend server.
func (g *Gate) dispatchInSlot(ctx context.Context, r *request) *result.Error {
	if !g.acquireSlot(ctx, r) {
		return slotRefusal(ctx)
	}
	defer r.server.slots.release()
	return r.dispatch(ctx)
}

// endInFlight removes an admitted request from the in-flight counts. The backend
// server may continue to run a dispatched request without a complete response
// until the request's deadline, so such a request stays counted until then,
// which also delays a hand-over of the unit.
func (g *Gate) endInFlight(ctx context.Context, r *request) {
	if !r.keyed {
		return
	}
	done := func() { g.decrementInFlight(r) }
	deadline, ok := ctx.Deadline()
	if ok && r.unfinished {
		time.AfterFunc(time.Until(deadline), done)
		return
	}
	done()
}

func (g *Gate) acquireSlot(ctx context.Context, r *request) bool {
	wait := slotWaitUnkeyed
	if r.keyed {
		wait = slotWaitKeyed
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return r.server.slots.acquire(ctx, r.head.GetCustomer())
}

func slotRefusal(ctx context.Context) *result.Error {
	if ctx.Err() != nil {
		return contextRefusal(ctx)
	}
	return result.New(result.BackendBusy)
}

// contextRefusal returns the refusal for a request whose context ended before
// it was dispatched.
func contextRefusal(ctx context.Context) *result.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlineBefore)
	}
	return result.New(result.CancelledBefore)
}

// admit decides whether the request may be sent to the backend server. An
// admitted request of a service that is divided by key is counted as in flight.
func (g *Gate) admit(ctx context.Context, r *request) *result.Error {
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
		if refusal := g.admitKeyed(ctx, r); refusal != nil {
			return refusal
		}
	}
	r.server = g.server.Load()
	if refusal := r.server.check(svc); refusal != nil {
		if r.keyed {
			g.decrementInFlight(r)
		}
		return refusal
	}
	return nil
}

// admitKeyed admits a request for a key, and counts it as in flight, if this node
// currently serves the key. While the unit is pending, the request waits up to
// its deadline, unless the customer's contract allows no more waiting requests.
func (g *Gate) admitKeyed(ctx context.Context, r *request) *result.Error {
	waiting := false
	defer func() {
		if waiting {
			g.waitLimiter.Release(r.head.GetCustomer())
		}
	}()
	for {
		changed := g.src.Changed()
		state, refusal := g.tryAdmitKeyed(r)
		if refusal != nil || state == view.Serving {
			return refusal
		}
		if !waiting {
			if !g.waitLimiter.TryAcquire(r.head.GetCustomer(), maxWaiting(g.src.Current().Config, r.head)) {
				return result.New(result.WaitingFull)
			}
			waiting = true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return contextRefusal(ctx)
		}
	}
}

// tryAdmitKeyed makes one attempt to admit the request. The request is counted
// before the view is read: the control goroutine publishes Stopping before it
// waits for the count to become zero, so either that goroutine sees this request
// or this request sees Stopping.
func (g *Gate) tryAdmitKeyed(r *request) (view.UnitState, *result.Error) {
	key := r.head.GetKey()
	unit, _, ok := g.src.Current().Locate(r.head.GetService(), key)
	if !ok {
		return 0, result.New(result.NoOwner)
	}
	g.inFlight.add(unit, key, 1)
	if unit.Key != "" {
		g.inFlight.shard(unit).Add(1)
		defer g.inFlight.shard(unit).Add(-1)
	}
	v := g.src.Current()
	current, assigned, ok := v.Locate(r.head.GetService(), key)
	refusal := result.New(result.Moved)
	state := view.UnitState(0)
	if ok && current == unit {
		state, refusal = g.checkOwnership(v, unit, assigned, r)
	}
	if state != view.Serving {
		g.inFlight.add(unit, key, -1)
		return state, refusal
	}
	if unit.Key != "" {
		g.inFlight.addPinned(unit, r.epoch, 1)
	}
	g.loads.add(unit, key)
	return state, nil
}

// decrementInFlight removes an admitted request from the in-flight counts.
func (g *Gate) decrementInFlight(r *request) {
	if r.unit.Key != "" {
		g.inFlight.addPinned(r.unit, r.epoch, -1)
	}
	g.inFlight.add(r.unit, r.head.GetKey(), -1)
}

// checkOwnership returns the state of a unit on this node, or a refusal if
// ownership or the lease does not permit the request. For a unit that is being
// served it records the unit, the epoch, the owner and the history in r.
func (g *Gate) checkOwnership(
	v *view.View, u cluster.Unit, assigned cluster.Assignment, r *request,
) (view.UnitState, *result.Error) {
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

// maxWaiting returns how many requests of the customer may wait on this node.
func maxWaiting(c *config.Config, head *wire.RequestHead) int {
	contract, ok := c.Contracts[head.GetCustomer()]
	if !ok {
		return defaultMaxWaiting
	}
	limit := contract.Total.MaxWaiting
	if terms, ok := contract.Services[head.GetService()]; ok {
		limit = min(limit, terms.MaxWaiting)
	}
	return limit
}

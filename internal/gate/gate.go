// Package gate stands in front of the backend server of a node. All requests
// to the server pass through it, from callers on this VM and from other nodes.
package gate

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/admission"
	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/departure"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/peer"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/upstream"
	"fulmarhinge/internal/wire"
)

const (
	// leaveGrace is how long a leaving server still takes requests: the other
	// nodes hear of it within a few hundred ms.
	leaveGrace = 800 * time.Millisecond
	// lateBulkWait is how long a large answer that comes too late for its target
	// may wait for the link.
	lateBulkWait = 250 * time.Millisecond
	// leaveMargin is left of the time that a leaving server may be sent requests.
	leaveMargin = 500 * time.Millisecond
	// headTimeout bounds how long a peer may take to send a request.
	headTimeout = 5 * time.Second
	// answerGrace is how long after its deadline a request may still be
	// answered: an answer that is ready is delivered.
	answerGrace = 100 * time.Millisecond
	// heldUp is how late a peer's request must come for a look at what came behind
	// it: a node or link that stood still for so long may have the peer's
	// departure waiting as well.
	heldUp = 200 * time.Millisecond
	// misdirectedTries is how often a key is tried that the server says it does
	// not hold: once more, after its next report.
	misdirectedTries = 2
)

// Server is the backend server as the gate knows it.
type Server struct {
	fleet.Server
	// leftAt is when the server said that it leaves.
	leftAt time.Time
}

// Gate is the only way to the backend server.
type Gate struct {
	client  *upstream.Client
	queue   *admission.Queue
	log     hclog.Logger
	server  atomic.Pointer[Server]
	held    atomic.Pointer[fleet.Held]
	doubts  doubts
	placed  func(service string, key int) (owner bool)
	refused func()

	// closing is true once no new request is let in.
	closing atomic.Bool
	mu      sync.Mutex
	changed chan struct{}
	loads   loads
	total   atomic.Int64
	link    *link
	// drain is how long after its word that it leaves a server may be sent
	// requests, in ns.
	drain   atomic.Int64
	transit transit
}

// Config says what a gate stands in front of.
type Config struct {
	Client *upstream.Client
	Logger hclog.Logger
	// Owns reports whether the fleet's document gives the key to this node.
	Owns func(service string, key int) bool
	// LinkMbps is the VM's link in Mbit/s; 0 if it is of no concern.
	LinkMbps float64
	// Drain is how long after its word that it leaves a server may be sent
	// requests.
	Drain time.Duration
	// Down is told when the server's address refuses connections.
	Down func()
}

// New returns a gate that knows no server yet.
func New(c Config) *Gate {
	g := &Gate{
		client: c.Client, queue: admission.NewQueue(1), log: c.Logger.Named("gate"),
		placed: c.Owns, refused: c.Down, changed: make(chan struct{}), loads: newLoads(), link: newLink(c.LinkMbps),
	}
	g.SetDrain(c.Drain)
	return g
}

// SetDrain changes how long a leaving server may be sent requests.
func (g *Gate) SetDrain(d time.Duration) { g.drain.Store(int64(d)) }

// SetServer tells the gate of the server; nil if there is none.
func (g *Gate) SetServer(s *fleet.Server) {
	old := g.server.Load()
	if s == nil {
		g.server.Store(nil)
		g.wake()
		return
	}
	now := &Server{Server: *s}
	if !s.Ready {
		now.leftAt = time.Now()
		if old != nil && !old.Ready && old.Life == s.Life {
			now.leftAt = old.leftAt
		}
	}
	g.queue.SetSlots(s.Slots)
	g.server.Store(now)
	g.wake()
}

// Server returns the server as it last reported; nil if there is none.
func (g *Gate) Server() *Server { return g.server.Load() }

// Leave notes that the server leaves without reporting so.
func (g *Gate) Leave() {
	if s := g.server.Load(); s != nil {
		left := s.Server
		left.Ready = false
		g.SetServer(&left)
	}
}

// SetHeld tells the gate what the server holds.
func (g *Gate) SetHeld(h *fleet.Held) {
	g.held.Store(h)
	g.doubts.clear()
	g.wake()
}

// Wake makes waiting requests look again, as after a change of the placement.
func (g *Gate) Wake() { g.wake() }

func (g *Gate) wake() {
	g.mu.Lock()
	close(g.changed)
	g.changed = make(chan struct{})
	g.mu.Unlock()
}

func (g *Gate) change() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// Close lets nothing more in; what is inside goes on.
func (g *Gate) Close() {
	g.closing.Store(true)
	g.wake()
}

// InFlight returns how many requests are inside the gate.
func (g *Gate) InFlight() int { return int(g.total.Load()) }

// Do sends one request to the server. The answer's code says what became of
// it; a refusal of kind not-run is true for good.
func (g *Gate) Do(ctx context.Context, h *wire.RequestHead, body []byte) (*wire.ResponseHead, []byte) {
	g.total.Add(1)
	defer g.total.Add(-1)
	begun := time.Now()
	deadline := begun.Add(time.Duration(h.GetDeadlineMs()) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerGrace))
	defer cancel()
	r := &request{gate: g, head: h, body: body, begun: begun, deadline: deadline, key: keyOf(h)}
	out, answer := r.run(ctx)
	g.describe(h, out)
	return out, answer
}

// describe adds to an answer which request it belongs to, and the gate's load.
func (g *Gate) describe(h *wire.RequestHead, out *wire.ResponseHead) {
	out.Id = h.GetId()
	running, waiting := g.queue.Counts()
	out.InFlight, out.Waiting = uint32(running), uint32(waiting)
	if s := g.server.Load(); s != nil {
		out.Slots = uint32(s.Slots)
	}
	if h.GetBulk() {
		out.LinkWaitMs = uint32(g.link.wait(time.Now()).Milliseconds())
	}
}

// noKey marks a request of a service that is not divided by keys.
const noKey = -1

func keyOf(h *wire.RequestHead) int {
	if h.GetKey() == "" {
		return noKey
	}
	key, err := strconv.Atoi(h.GetKey())
	if err != nil {
		return noKey
	}
	return key
}

// request is one request on its way through the gate.
type request struct {
	gate     *Gate
	head     *wire.RequestHead
	body     []byte
	begun    time.Time
	deadline time.Time
	key      int
}

func refuse(c result.Code, after time.Duration) *wire.ResponseHead {
	return &wire.ResponseHead{Code: uint32(c), RetryAfterMs: uint64(after.Milliseconds())}
}

// run takes the request through its stages.
func (r *request) run(ctx context.Context) (*wire.ResponseHead, []byte) {
	for try := 1; ; try++ {
		server, refusal := r.enter(ctx)
		if refusal != nil {
			return refusal, nil
		}
		if try == 1 {
			r.gate.loads.asked(r.key)
		}
		q := &admission.Request{
			Class: r.head.GetService() + strconv.Itoa(int(r.head.GetPriority())) + r.head.GetMethod(), Priority: int(r.head.GetPriority()),
			Target: r.begun.Add(time.Duration(r.head.GetTargetMs()) * time.Millisecond), Deadline: r.deadline,
		}
		why, after := r.gate.queue.Acquire(ctx, q)
		switch why {
		case admission.Hopeless:
			return refuse(result.BackendBusy, after), nil
		case admission.Left:
			return refuse(result.CancelledBefore, 0), nil
		}
		out, body, again := r.dispatch(ctx, server, q)
		if !again || try >= misdirectedTries {
			return out, body
		}
	}
}

// enter waits until the server may be sent the request: it is there, and holds
// the key.
func (r *request) enter(ctx context.Context) (*Server, *wire.ResponseHead) {
	for {
		changed := r.gate.change()
		s := r.gate.server.Load()
		switch {
		case r.gate.closing.Load():
			return nil, refuse(result.PeerUnreachable, 0)
		case s == nil || s.Service != r.head.GetService():
			return nil, refuse(result.BackendNotReady, 0)
		case !s.Ready && time.Since(s.leftAt) > leaveGrace:
			return nil, refuse(result.Draining, 0)
		case r.key == noKey || r.gate.holds(r.key):
			return s, nil
		case !r.gate.placed(s.Service, r.key):
			return nil, refuse(result.Moved, 0)
		}
		left := time.Until(r.deadline)
		timer := time.NewTimer(min(left, pendingPoll))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil, refuse(result.CancelledBefore, 0)
		}
		if time.Until(r.deadline) < pendingMin {
			return nil, refuse(result.NoOwner, 0)
		}
	}
}

const (
	// pendingPoll bounds how long a request waits for a key without looking
	// whether the wait is still worth it.
	pendingPoll = 100 * time.Millisecond
	// pendingMin is the time that must be left for a request to wait for a key
	// that is about to be granted.
	pendingMin = 50 * time.Millisecond
)

// dispatch sends the request; the slot that it has is given back.
func (r *request) dispatch(ctx context.Context, s *Server, q *admission.Request) (*wire.ResponseHead, []byte, bool) {
	g := r.gate
	start := time.Now()
	took := time.Duration(0)
	defer func() { g.queue.Release(q, took) }()
	if r.key != noKey && !g.holds(r.key) {
		return refuse(result.LeaseLapsed, 0), nil, true
	}
	// The wait for a slot may have been long.
	if now := g.server.Load(); now == nil || now.Life != s.Life || !now.Ready && time.Since(now.leftAt) > time.Duration(g.drain.Load())-leaveMargin {
		return refuse(result.Draining, 0), nil, false
	}
	resp, err := g.client.Do(ctx, r.upstream(s))
	took = time.Since(start)
	switch {
	case upstream.ErrNotSent.Has(err):
		took = 0
		if upstream.Refused(err) {
			g.refused()
		}
		return refuse(result.BackendUnreachable, 0), nil, false
	case err != nil:
		return r.broken(ctx, err), nil, false
	case resp.NotRun:
		took = 0
		out := refuse(result.BackendShed, 0)
		out.Offered = true
		out.Status = uint32(resp.Status)
		if resp.Status == misdirected {
			g.doubts.add(r.key)
			out.Code = uint32(result.StaleFence)
			return out, nil, r.key != noKey
		}
		return out, nil, false
	}
	g.loads.served(took)
	out := &wire.ResponseHead{
		Code: uint32(result.OK), Status: uint32(resp.Status), Offered: true,
		ContentLength: int64(len(resp.Body)), ServedUs: uint64(took.Microseconds()),
		WaitedUs: uint64(start.Sub(r.begun).Microseconds()),
	}
	out.Headers = answerHeaders(resp.Header)
	return out, resp.Body, false
}

const misdirected = 421

// broken says what is known of a request without a usable answer.
func (r *request) broken(ctx context.Context, err error) *wire.ResponseHead {
	code := result.AnswerCut
	switch {
	case !time.Now().Before(r.deadline):
		code = result.DeadlineAfter
	case ctx.Err() != nil:
		code = result.CancelledAfter
	}
	out := refuse(code, 0)
	out.Offered = true
	out.Message = err.Error()
	return out
}

func (r *request) upstream(s *Server) *upstream.Request {
	out := &upstream.Request{
		ID: r.head.GetId(), Method: r.head.GetMethod(), Target: r.head.GetPath(), Body: r.body,
		Instance: s.ID, Deadline: r.deadline, Idempotent: r.head.GetIdempotent(),
		Header: make([][2]string, 0, len(r.head.GetHeaders())),
	}
	for _, h := range r.head.GetHeaders() {
		if h.GetName() == "Host" {
			out.Host = h.GetValue()
			continue
		}
		out.Header = append(out.Header, [2]string{h.GetName(), h.GetValue()})
	}
	return out
}

// doRemote is Do for another node: large answers are paced onto the link.
func (g *Gate) doRemote(ctx context.Context, h *wire.RequestHead, body []byte, left time.Duration) (*wire.ResponseHead, []byte) {
	if left <= 0 {
		out := refuse(result.DeadlineBefore, 0)
		g.describe(h, out)
		return out, nil
	}
	if !h.GetBulk() {
		return g.Do(ctx, h, body)
	}
	limit := time.Duration(h.GetTargetMs()) * time.Millisecond
	if limit <= lateBulkWait {
		// Too late for its target, it takes what those in time leave.
		limit = min(lateBulkWait, left/2)
	}
	expected, ok := g.link.begin(time.Now(), limit)
	if !ok {
		out := refuse(result.BackendBusy, g.link.wait(time.Now())-limit)
		g.describe(h, out)
		return out, nil
	}
	out, answer := g.Do(ctx, h, body)
	g.link.made(expected, len(answer))
	return out, answer
}

// ServeStream answers one request of a peer.
func (g *Gate) ServeStream(ctx context.Context, from cluster.MemberRef, conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(headTimeout))
	h := &wire.RequestHead{}
	body, err := peer.ReadUnary(conn, h, h.GetContentLength)
	if err != nil {
		g.log.Warn("request of a peer cannot be read", "from", from, "error", err)
		return
	}
	// What the request spent on its way beyond the usual is gone from its time.
	late := g.transit.excess(from, time.Duration(h.GetSentUs())*time.Microsecond, time.Duration(clock.Now()))
	left := time.Duration(h.GetDeadlineMs())*time.Millisecond - late
	h.DeadlineMs = uint64(max(left.Milliseconds(), 0))
	h.TargetMs -= late.Milliseconds()
	deadline := time.Now().Add(max(left, 0) + answerGrace)
	_ = conn.SetDeadline(deadline.Add(time.Second))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The peer sends nothing more: the read ends when it leaves.
		var one [1]byte
		_, _ = conn.Read(one[:])
		cancel()
	}()
	if late > heldUp && !departure.Stays(ctx) {
		return
	}
	out, answer := g.doRemote(ctx, h, body, left)
	if h.GetBulk() && len(answer) > 0 {
		err = g.link.send(ctx, func() error {
			return peer.WritePaced(conn, out, answer, func(n int) error { return g.link.pass(ctx, n) })
		})
	} else {
		err = peer.WriteUnary(conn, out, answer)
	}
	if err != nil && ctx.Err() == nil {
		g.log.Warn("answer not passed to the entry", "from", from, "request", h.GetId(), "error", err)
	}
}

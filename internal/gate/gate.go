// Package gate controls access to the backend server of a node. All requests to
// the server pass through it, both from callers on this VM and from other
// nodes.
package gate

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/admission"
	"fulmarhinge/internal/bodymem"
	"fulmarhinge/internal/disconnect"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/header"
	"fulmarhinge/internal/quarantine"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/stopping"
	"fulmarhinge/internal/upstream"
	"fulmarhinge/internal/wire"
)

const (
	// leavingAcceptPeriod is how long requests are still accepted for a server
	// that has announced that it leaves. The other nodes learn of it within a
	// few hundred ms.
	leavingAcceptPeriod = 800 * time.Millisecond
	// maxLateBulkWait is how long a large response that can no longer meet its
	// target may wait for the link.
	maxLateBulkWait = 250 * time.Millisecond
	// drainMargin is the time before the end of the drain period in which a
	// leaving server is no longer sent requests.
	drainMargin = 500 * time.Millisecond
	// requestReadTimeout bounds how long a peer may take to send a request.
	requestReadTimeout = 5 * time.Second
	// responseGrace is how long after its deadline a request may still be
	// answered, so that a response which is ready is delivered.
	responseGrace = 100 * time.Millisecond
	// disconnectCheckMinDelay is the excess delay of a peer's request above
	// which the gate checks whether the peer has disconnected: after a pause of
	// the node or the link of that length, the disconnect may be waiting to be
	// read right behind the request.
	disconnectCheckMinDelay = 200 * time.Millisecond
	// maxDispatchAttempts is the number of times that a request for a key may
	// be dispatched. If the server does not hold the key, there is one retry,
	// after the server's next report.
	maxDispatchAttempts = 2
)

// Server is the backend server as it last reported.
type Server struct {
	fleet.Server
	// leavingSince is when the server announced that it leaves.
	leavingSince time.Time
}

// Gate forwards requests to the backend server. No other code sends it requests.
type Gate struct {
	client        *upstream.Client
	queue         *admission.Queue
	log           hclog.Logger
	server        atomic.Pointer[Server]
	held          atomic.Pointer[fleet.Held]
	misdirected   misdirectedKeys
	ownsKey       func(service string, key int) (owner bool)
	onConnRefused func()

	// closing is true once new requests are refused.
	closing atomic.Bool
	// stop bounds new requests before the process ends; nil if it does not stop.
	stop     atomic.Pointer[stopping.Window]
	mu       sync.Mutex
	changed  chan struct{}
	loads    loads
	inFlight atomic.Int64
	link     *link
	memory   *bodymem.Pool
	// drainPeriod is how long, in ns, a server may still be sent requests after
	// it announced that it leaves.
	drainPeriod atomic.Int64
	delays      delayEstimator
	silence     silence
	notices     notices
	slowness    slowness
	broken      brokenRequests
	suspects    *quarantine.Table
	solo        soloRuns
	onSuspects  func([]quarantine.Entry)
	healthPath  atomic.Pointer[string]
	coldLog     coldLog
	zone        zoneState
}

// Config holds the parameters of a gate.
type Config struct {
	Client *upstream.Client
	Logger hclog.Logger
	// Owns reports whether the fleet document assigns the key to this node.
	Owns func(service string, key int) bool
	// LinkMbps is the bandwidth of the VM's link in Mbit/s; 0 means no limit.
	LinkMbps float64
	// DrainPeriod is how long a server may still be sent requests after it announced
	// that it leaves.
	DrainPeriod time.Duration
	// OnConnectionRefused is called when the server's address refuses
	// connections.
	OnConnectionRefused func()
	// AwaitZone refuses requests until SetZoneEvacuated has been called.
	AwaitZone bool
	// Suspects holds the requests under which servers have ended; if nil, the gate
	// has a table of its own.
	Suspects *quarantine.Table
	// OnSuspects is called with entries that have changed at this gate. It must not
	// block; nil means that nobody is told.
	OnSuspects func([]quarantine.Entry)
	// Memory is that for the bodies of peers' requests; nil means no limit.
	Memory *bodymem.Pool
}

// New returns a gate without a server.
func New(c Config) *Gate {
	g := &Gate{
		client: c.Client, queue: admission.NewQueue(1), log: c.Logger.Named("gate"),
		ownsKey: c.Owns, onConnRefused: c.OnConnectionRefused, changed: make(chan struct{}), loads: newLoads(), link: newLink(c.LinkMbps),
	}
	g.SetDrainPeriod(c.DrainPeriod)
	g.queue.EnableSlowStart()
	g.zone.begin(c.AwaitZone)
	g.memory = c.Memory
	g.suspects, g.onSuspects = c.Suspects, c.OnSuspects
	if g.suspects == nil {
		g.suspects = quarantine.New()
	}
	if g.onSuspects == nil {
		g.onSuspects = func([]quarantine.Entry) {}
	}
	return g
}

// SetDrainPeriod changes how long a leaving server may be sent requests.
func (g *Gate) SetDrainPeriod(d time.Duration) { g.drainPeriod.Store(int64(d)) }

// Server returns the server as it last reported; nil if there is none.
func (g *Gate) Server() *Server { return g.server.Load() }

// SetHeld sets the rows that the server holds.
func (g *Gate) SetHeld(h *fleet.Held) {
	g.held.Store(h)
	g.misdirected.clear()
	g.wake()
}

// Wake makes waiting requests check again whether they can proceed, for example
// after a change of the placement.
func (g *Gate) Wake() { g.wake() }

func (g *Gate) wake() {
	g.mu.Lock()
	close(g.changed)
	g.changed = make(chan struct{})
	g.mu.Unlock()
}

func (g *Gate) changeSignal() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// StartDraining bounds new requests by the window.
func (g *Gate) StartDraining(w *stopping.Window) { g.stop.Store(w) }

// Close refuses new requests. Requests in flight are not affected.
func (g *Gate) Close() {
	g.closing.Store(true)
	g.wake()
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int { return int(g.inFlight.Load()) }

// Do sends one request to the server. The code of the response states the
// outcome; a code of kind not-run guarantees that the request did not run and
// will not.
func (g *Gate) Do(ctx context.Context, h *wire.RequestHead, body []byte) (*wire.ResponseHead, []byte) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	receivedAt := time.Now()
	deadline, accepted := g.stop.Load().Bound(receivedAt, receivedAt.Add(time.Duration(h.GetDeadlineMs())*time.Millisecond))
	if !accepted {
		out := refuse(result.PeerUnreachable, 0)
		g.setIDAndLoad(h, out)
		return out, nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(responseGrace))
	defer cancel()
	g.adoptNotice(h.GetNotice())
	g.adoptSuspect(h.GetSuspect())
	r := &request{gate: g, head: h, body: body, receivedAt: receivedAt, deadline: deadline, key: parseKey(h)}
	out, respBody := r.run(ctx)
	g.setIDAndLoad(h, out)
	out.Suspect = r.wireSuspect()
	return out, respBody
}

// setIDAndLoad sets the request ID, the gate's current load and what the server has
// stated in a response.
func (g *Gate) setIDAndLoad(h *wire.RequestHead, out *wire.ResponseHead) {
	out.Id = h.GetId()
	running, waiting := g.queue.Counts()
	out.InFlight, out.Waiting = uint32(running), uint32(waiting)
	if s := g.server.Load(); s != nil {
		out.Slots = uint32(s.Slots)
		out.SlownessPercent = g.slowness.percent(time.Now(), s.Instance)
	}
	if out.Notice = g.wireNotice(); out.GetNotice().GetLimited() {
		out.LimitWaitMs = uint32(g.queue.RateWait().Milliseconds())
	}
	g.setRate(int(h.GetPriority()), out)
	if h.GetBulk() {
		out.LinkWaitMs = uint32(g.link.predictedWait(time.Now(), class(h)).Milliseconds())
	}
}

// noKey marks a request for a service that is not divided by keys.
const noKey = -1

func parseKey(h *wire.RequestHead) int {
	if h.GetKey() == "" {
		return noKey
	}
	key, err := strconv.Atoi(h.GetKey())
	if err != nil {
		return noKey
	}
	return key
}

// request is the state of one request in the gate.
type request struct {
	gate       *Gate
	head       *wire.RequestHead
	body       []byte
	receivedAt time.Time
	deadline   time.Time
	key        int
	print      quarantine.Fingerprint
	hasPrint   bool
	// probe is true if the run that began last is a probe of a suspect.
	probe bool
}

func refuse(c result.Code, retryAfter time.Duration) *wire.ResponseHead {
	return &wire.ResponseHead{Code: uint32(c), RetryAfterMs: uint64(retryAfter.Milliseconds())}
}

// run waits for the server and a slot, and dispatches the request. It does so
// again if the server answered that it does not hold the key, or if the key was
// no longer held when the request got a slot.
func (r *request) run(ctx context.Context) (*wire.ResponseHead, []byte) {
	if refusal := r.quarantined(); refusal != nil {
		return refusal, nil
	}
	for attempt := 1; ; attempt++ {
		server, refusal := r.awaitServer(ctx)
		if refusal != nil {
			return refusal, nil
		}
		if attempt == 1 {
			r.gate.loads.addRequest(r.key)
		}
		queued := &admission.Request{
			Class:    class(r.head),
			Priority: int(r.head.GetPriority()),
			Target:   r.receivedAt.Add(time.Duration(r.head.GetTargetMs()) * time.Millisecond),
			Deadline: r.deadline,
		}
		if r.gate.silence.isSilent() {
			return refuse(result.BackendBusy, silenceCheckTimeout), nil
		}
		reason, retryAfter := r.gate.acquire(ctx, queued)
		switch {
		case reason == 0:
		case reason == admission.Cancelled && ctx.Err() == nil:
			return refuseEvacuated(), nil
		case reason == admission.Cancelled:
			return refuse(result.CancelledBefore, 0), nil
		default:
			if r.gate.Notice().Limited {
				limitRefusals.Inc()
			}
			return shed(r.head, refusalReasons[reason], retryAfter), nil
		}
		out, body, retry := r.dispatch(ctx, server, queued)
		if !retry || attempt >= maxDispatchAttempts {
			return out, body
		}
	}
}

// awaitServer waits until the request may be sent to the server: the server is
// ready and holds the key.
func (r *request) awaitServer(ctx context.Context) (*Server, *wire.ResponseHead) {
	for {
		changed := r.gate.changeSignal()
		s := r.gate.server.Load()
		switch {
		case r.gate.closing.Load():
			return nil, refuse(result.PeerUnreachable, 0)
		case r.gate.zone.evacuated.Load():
			return nil, refuseEvacuated()
		case s == nil || s.Service != r.head.GetService():
			return nil, refuse(result.BackendNotReady, 0)
		case !s.Ready && time.Since(s.leavingSince) > leavingAcceptPeriod:
			return nil, refuse(result.Draining, 0)
		case r.key == noKey || r.gate.holds(r.key):
			return s, nil
		case !r.gate.ownsKey(s.Service, r.key):
			return nil, refuse(result.Moved, 0)
		case r.gate.held.Load().IsLeftOut(r.key):
			return nil, refuse(result.BackendBusy, 0)
		}
		timeLeft := time.Until(r.deadline)
		timer := time.NewTimer(min(timeLeft, keyRecheckInterval))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil, refuse(result.CancelledBefore, 0)
		}
		if time.Until(r.deadline) < minTimeLeftForKeyWait {
			return nil, refuse(result.NoOwner, 0)
		}
	}
}

const (
	// keyRecheckInterval bounds how long a request waits for its key before it
	// checks again whether waiting is still worthwhile.
	keyRecheckInterval = 100 * time.Millisecond
	// minTimeLeftForKeyWait is the time that must be left before the deadline
	// for a request to wait for a key that is about to be granted.
	minTimeLeftForKeyWait = 50 * time.Millisecond
)

// dispatch sends the request and releases its slot. The last result reports
// whether to retry.
func (r *request) dispatch(ctx context.Context, s *Server, queued *admission.Request) (*wire.ResponseHead, []byte, bool) {
	g := r.gate
	start := time.Now()
	serviceTime := time.Duration(0)
	defer func() { g.queue.Release(queued, serviceTime) }()
	if r.key != noKey && !g.holds(r.key) {
		return refuse(result.LeaseLapsed, 0), nil, true
	}
	if refusal := r.refusedAfterWait(ctx, s); refusal != nil {
		return refusal, nil, false
	}
	expected := g.queue.ServiceTime(queued.Class)
	end, ok := r.startSuspect()
	if !ok {
		return refuse(result.BackendBusy, expected), nil, false
	}
	defer end()
	requestsSent.Inc()
	sent := r.upstreamRequest(s)
	sent.Written = func() { g.queue.Written(queued) }
	resp, err := g.client.Do(ctx, sent)
	serviceTime = time.Since(start)
	if err == nil {
		g.silence.answered(time.Now())
		g.broken.answered(start)
		g.recordNotice(s.Instance, start, resp)
		g.recordSlowness(s.Instance, resp)
	}
	switch {
	case upstream.ErrNotSent.Has(err):
		serviceTime = 0
		if upstream.IsConnectionRefused(err) {
			g.onConnRefused()
		}
		return refuse(result.BackendUnreachable, 0), nil, false
	case err != nil:
		out := r.unknownOutcome(ctx, err)
		cut := isCut(result.Code(out.GetCode()))
		if ended := upstream.IsConnectionEnd(err); cut || ended {
			r.requestBroken(ctx, s, start, ended && !cut)
		}
		if cut {
			g.requestCut(start, expected)
		}
		return out, nil, false
	case resp.NotRun:
		serviceTime = 0
		out, retry := r.rejected(resp.Status, queued)
		return out, nil, retry
	case statesNotRun(resp.Status):
		out := refuse(result.AnswerCut, 0)
		out.Offered, out.Status, out.Message = true, uint32(resp.Status), "the answer's status states that the request was not run, the server does not"
		return out, nil, false
	}
	r.answered()
	r.recordEnd(queued.Class, resp.Status)
	g.loads.addServed(serviceTime)
	out := &wire.ResponseHead{
		Code: uint32(result.OK), Status: uint32(resp.Status), Offered: true,
		ContentLength: int64(len(resp.Body)), ServedUs: uint64(serviceTime.Microseconds()),
		WaitedUs: uint64(start.Sub(r.receivedAt).Microseconds()),
	}
	out.Headers = responseHeaders(resp.Header)
	return out, resp.Body, false
}

// rejected returns the response for a request that the server stated that it did not run,
// and whether to retry.
func (r *request) rejected(status int, queued *admission.Request) (*wire.ResponseHead, bool) {
	out := refuse(result.BackendShed, 0)
	out.Offered, out.Status = true, uint32(status)
	if status != http.StatusMisdirectedRequest {
		return out, false
	}
	r.gate.queue.NotCounted(queued)
	r.gate.misdirected.add(r.key)
	out.Code = uint32(result.StaleFence)
	return out, r.key != noKey
}

// refusedAfterWait returns the refusal of a request that has a slot, if what allowed it
// has changed while it waited; else nil.
func (r *request) refusedAfterWait(ctx context.Context, s *Server) *wire.ResponseHead {
	g := r.gate
	current := g.server.Load()
	switch {
	case g.zone.evacuated.Load():
		return refuseEvacuated()
	case current == nil, current.Instance != s.Instance,
		!current.Ready && time.Since(current.leavingSince) > time.Duration(g.drainPeriod.Load())-drainMargin:
		return refuse(result.Draining, 0)
	case g.silence.isSilent():
		return refuse(result.BackendBusy, silenceCheckTimeout)
	case disconnect.Gone(ctx):
		return refuse(result.CancelledBefore, 0)
	case time.Since(r.receivedAt) > disconnectCheckMinDelay && disconnect.CloseMayWait(ctx) && !disconnect.StillConnected(ctx):
		return refuse(result.CancelledBefore, 0)
	default:
		return r.quarantined()
	}
}

// statesNotRun reports whether callers take a status for a statement that the request was
// not run and will not be. It is no such statement of the server without its header.
func statesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// unknownOutcome returns the response for a request that was sent and got no
// usable response.
func (r *request) unknownOutcome(ctx context.Context, err error) *wire.ResponseHead {
	code := result.AnswerCut
	switch {
	case !time.Now().Before(r.deadline):
		code = result.DeadlineAfter
	case ctx.Err() != nil:
		code = result.CancelledAfter
	}
	out := refuse(code, 0)
	out.Offered = true
	// The error may quote what the server sent.
	out.Message = strings.ToValidUTF8(err.Error(), "?")
	return out
}

func (r *request) upstreamRequest(s *Server) *upstream.Request {
	out := &upstream.Request{
		ID: r.head.GetId(), Method: r.head.GetMethod(), Target: r.head.GetPath(), Body: r.body,
		Instance: s.ID, Deadline: r.deadline, Idempotent: r.head.GetIdempotent(),
		Header: make([][2]string, 0, len(r.head.GetHeaders())),
	}
	for _, h := range r.head.GetHeaders() {
		if h.GetName() == "Host" {
			out.Host = header.Value(h)
			continue
		}
		out.Header = append(out.Header, [2]string{h.GetName(), header.Value(h)})
	}
	return out
}

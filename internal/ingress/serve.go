package ingress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fulmarhinge/internal/bodymem"
	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/disconnect"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/header"
	"fulmarhinge/internal/listener"
	"fulmarhinge/internal/membudget"
	"fulmarhinge/internal/peer"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/quarantine"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/route"
	"fulmarhinge/internal/wire"
)

const (
	// defaultTimeout applies to requests without a deadline header.
	defaultTimeout = 10 * time.Second
	// responseSlack is how long after the deadline a response is still accepted.
	responseSlack = 60 * time.Millisecond
	// callerMargin is subtracted from the caller's timeout, so that the final
	// response reaches the caller before it gives up.
	callerMargin = 25 * time.Millisecond
	// maxBusyAttempts is the maximum number of servers that a request is sent to if
	// each of them refuses it because of its load.
	maxBusyAttempts = 2
	// minRetryDelay is the minimum delay between two attempts.
	minRetryDelay = 8 * time.Millisecond
	// retryAfterDivisor limits the Retry-After value to the caller's remaining time
	// divided by it.
	retryAfterDivisor = 3
	// minRetryAfter keeps callers from retrying immediately.
	minRetryAfter = 50 * time.Millisecond
	// minAttemptTime is the remaining time required for another attempt.
	minAttemptTime = 30 * time.Millisecond
)

// request is the state of one caller's request.
type request struct {
	server   *Server
	http     *http.Request
	id       string
	route    *route.Route
	service  string
	key      string
	body     []byte
	headers  []*wire.Header
	received time.Time
	deadline time.Time
	// callerDeadline is when the caller gives up, 0 if it does not say; the route's
	// timeout may end sooner.
	callerDeadline time.Time
	// age is the estimated time since the caller first sent this request.
	age      time.Duration
	attempts int
	// offers counts the attempts in which the request was offered to a backend
	// server.
	offers       int
	triedMembers []string
	// refusedEarly is true once it is certain that no server answers by the deadline.
	refusedEarly bool
	// unknownOutcome is the last response after which the request may have run.
	unknownOutcome *wire.ResponseHead
	targetNode     string
	print          quarantine.Fingerprint
	hasPrint       bool
	// conn and memory are nil for a request that did not come through a Listener.
	conn   *listener.Conn
	memory *bodymem.Holder
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{server: s, http: r, id: r.Header.Get(s.cfg.Headers.RequestID), received: time.Now()}
	defer q.beginRequest()()
	h, body := q.handle(w)
	q.memory.SetPhase(membudget.Sending)
	q.writeResponse(w, h, body)
}

// refusal returns a response that this node generates itself.
func refusal(c result.Code, after time.Duration) *wire.ResponseHead {
	return &wire.ResponseHead{Code: uint32(c), RetryAfterMs: uint64(after.Milliseconds())}
}

// handle validates and routes a request and returns its response.
func (q *request) handle(w http.ResponseWriter) (*wire.ResponseHead, []byte) {
	s := q.server
	cfg, code := s.admit()
	if code != result.OK {
		return refusal(code, 0), nil
	}
	if code := q.matchRoute(cfg); code != result.OK {
		return refusal(code, 0), nil
	}
	if code := q.selectService(cfg, q.route.Pick()); code != result.OK {
		return refusal(code, 0), nil
	}
	remaining := q.statedRemaining()
	if remaining > 0 {
		q.age = s.ages.estimate(q.received, q.route.Name, remaining)
	}
	if code := q.setDeadline(remaining); code != result.OK {
		return refusal(code, 0), nil
	}
	if refused := q.readBody(w, cfg.Limits); refused != nil {
		return refused, nil
	}
	if s.stalls.heartbeat(clock.Now()) && !disconnect.StillConnected(q.http.Context()) {
		return refusal(result.CancelledBefore, 0), nil
	}
	if disconnect.Gone(q.http.Context()) {
		s.reqMetrics.callerGone.Inc()
		return refusal(result.CancelledBefore, 0), nil
	}
	if refused := q.quarantined(); refused != nil {
		return refused, nil
	}
	q.forwardHeaders()
	s.budget.addRequest(q.received, q.service)
	return q.dispatch()
}

func (q *request) forwardHeaders() {
	h := q.server.cfg.Headers
	for _, line := range header.Forward(q.http.Header) {
		if !q.server.stripHeaders[line.GetName()] {
			q.headers = append(q.headers, line)
		}
	}
	q.headers = append(q.headers,
		header.Encode("Host", q.http.Host), header.Encode(h.Caller, q.server.cfg.Service))
}

// dispatch makes attempts until one succeeds or another attempt is not allowed or
// not useful.
func (q *request) dispatch() (*wire.ResponseHead, []byte) {
	ctx, cancel := context.WithDeadline(bodymem.WithHolder(q.http.Context(), q.memory), q.deadline.Add(responseSlack))
	defer cancel()
	for {
		changed := *q.server.viewChanged.Load()
		h, body := q.attempt(ctx)
		code := result.Code(h.GetCode())
		if code == result.OK {
			return h, body
		}
		if h.GetOffered() {
			q.offers++
		}
		if result.Lookup(code).Kind == result.Unknown {
			q.unknownOutcome = h
		}
		if !q.shouldRetry(h) || !q.waitForRetry(ctx, changed, h) {
			return q.finalResponse(h), nil
		}
	}
}

// shouldRetry reports whether another attempt is allowed and may have a better
// outcome.
func (q *request) shouldRetry(h *wire.ResponseHead) bool {
	code := result.Code(h.GetCode())
	if time.Until(q.deadline) < minAttemptTime || disconnect.Gone(q.http.Context()) {
		return false
	}
	switch code {
	case result.NoOwner, result.Moved, result.LeaseLapsed, result.PeerUnreachable, result.Draining,
		result.BackendNotReady, result.BackendUnreachable:
		// The request was not offered to a backend server.
		return q.key != "" || code == result.BackendNotReady || len(q.triedMembers) < len(q.candidates())
	case result.ZoneEvacuated:
		return q.mayLeaveZone()
	case result.BackendBusy, result.MemoryExhausted:
		return q.key == "" && !q.refusedEarly && len(q.triedMembers) < min(maxBusyAttempts, len(q.candidates()))
	case result.BackendShed, result.StaleFence:
		return q.offers < q.route.MaxAttempts && q.takeRetry()
	case result.AnswerCut, result.OwnerLost:
		return q.route.Idempotent && q.offers < q.route.MaxAttempts && q.mayRepeat() && q.takeRetry()
	default:
		return false
	}
}

// takeRetry takes one retry from the budget and reports whether one was left.
func (q *request) takeRetry() bool {
	if !q.server.budget.allowRetry(time.Now(), q.service) {
		q.server.reqMetrics.overBudget.Inc()
		return false
	}
	q.server.reqMetrics.retries.Inc()
	return true
}

// waitForRetry waits for the retry delay or until the fleet document changes. It
// reports false if ctx ends first.
func (q *request) waitForRetry(ctx context.Context, changed <-chan struct{}, h *wire.ResponseHead) bool {
	wait := minRetryDelay
	switch result.Code(h.GetCode()) {
	case result.NoOwner, result.Moved, result.BackendNotReady, result.PeerUnreachable, result.ZoneEvacuated:
		if q.key != "" || len(q.candidates()) == 0 {
			wait = 60 * time.Millisecond
		}
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
		return false
	}
	return true
}

// candidates returns the members whose servers may be sent a request without a key.
func (q *request) candidates() []*fleet.Member {
	v := q.server.view.Load()
	if v == nil {
		return nil
	}
	return q.candidatesIn(v)
}

func (q *request) candidatesIn(v *View) []*fleet.Member {
	return q.suspectCandidates(q.server.notices.withoutLeaving(v.readyMembers[q.service]))
}

// attempt makes one attempt to send the request to a node.
func (q *request) attempt(ctx context.Context) (*wire.ResponseHead, []byte) {
	q.attempts++
	s := q.server
	v := s.view.Load()
	if v == nil {
		return refusal(result.NotAdmitting, 0), nil
	}
	if q.key != "" {
		m := q.owner(v)
		if m == nil {
			return refusal(result.NoOwner, 0), nil
		}
		if refused := q.ownerEvacuated(v, m); refused != nil {
			return countEvacuated(refused), nil
		}
		return q.send(ctx, m)
	}
	return q.attemptUnkeyed(func(m *fleet.Member) (*wire.ResponseHead, []byte) { return q.send(ctx, m) })
}

// owner returns the member that owns the request's key.
func (q *request) owner(v *View) *fleet.Member {
	t := v.Doc.Tables[q.service]
	i := t.Locate(parseKey(q.key))
	if i < 0 {
		return nil
	}
	m := v.Doc.Members[t[i].Owner]
	if m == nil || m.Evicted {
		return nil
	}
	return m
}

// send sends the request to the gate of a member; this node's own gate is called
// directly.
func (q *request) send(ctx context.Context, m *fleet.Member) (*wire.ResponseHead, []byte) {
	q.targetNode = m.Name
	now := time.Now()
	head := &wire.RequestHead{
		Id: q.id, Method: q.http.Method, Path: q.http.RequestURI, Headers: q.headers, Service: q.service, Key: q.key,
		DeadlineMs: uint64(max(1, q.deadline.Sub(now).Milliseconds())), ContentLength: int64(len(q.body)),
		Priority: uint32(q.route.Priority), TargetMs: q.received.Add(q.route.TargetLatency - q.age).Sub(now).Milliseconds(),
		Idempotent: q.route.Idempotent, Bulk: q.route.Bulk, SentUs: int64(clock.Now()) / int64(time.Microsecond),
		Notice: q.server.notices.wire(now, m), Suspect: q.suspect(), Route: strings.ToValidUTF8(q.route.Name, "?"),
	}
	var h *wire.ResponseHead
	var body []byte
	if m.Name == q.server.cfg.Self.Name {
		h, body = q.server.cfg.Gate.Do(ctx, head, q.body)
	} else {
		h, body = q.sendRemote(ctx, m, head)
	}
	q.server.notices.record(time.Now(), m.Name, h)
	q.adoptSuspect(h.GetSuspect())
	return h, body
}

// sendRemote sends the request to the gate of another node.
func (q *request) sendRemote(ctx context.Context, m *fleet.Member, head *wire.RequestHead) (*wire.ResponseHead, []byte) {
	conn, err := q.server.cfg.Peers.Open(ctx, m.Addr)
	if err != nil {
		return refusal(result.PeerUnreachable, 0), nil
	}
	defer conn.Close()
	_ = conn.SetDeadline(q.deadline.Add(responseSlack))
	// On the close of the stream, the gate abandons a queued request, but completes
	// a running one that is not idempotent.
	stop := context.AfterFunc(ctx, func() {
		_ = conn.Close()
		// The remote node sends nothing after the close; this unblocks the read.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	})
	defer stop()
	if err := peer.WriteUnary(conn, head, q.body); err != nil {
		return q.lostResponse(err), nil
	}
	h := &wire.ResponseHead{}
	body, err := readResponse(ctx, conn, h)
	if err != nil {
		return q.lostResponse(err), nil
	}
	if h.GetId() != q.id {
		return q.lostResponse(errors.New("the answer belongs to another request")), nil
	}
	if status := h.GetStatus(); result.Code(h.GetCode()) == result.OK && !header.IsFinalStatus(int(status)) {
		return q.lostResponse(fmt.Errorf("the answer has the status %d", status)), nil
	}
	return h, body
}

// lostResponse returns the response for a request whose node did not respond.
func (q *request) lostResponse(err error) *wire.ResponseHead {
	code := result.OwnerLost
	if !time.Now().Before(q.deadline) {
		code = result.DeadlineAfter
	}
	h := refusal(code, 0)
	h.Offered = true
	h.Message = err.Error()
	return h
}

// finalResponse returns the response of a request that is not retried further.
// Once the request may have run, a later refusal must not state that it has not.
func (q *request) finalResponse(h *wire.ResponseHead) *wire.ResponseHead {
	if q.unknownOutcome != nil {
		return q.unknownOutcome
	}
	return h
}

// writeResponse writes the response to the caller and records the outcome.
func (q *request) writeResponse(w http.ResponseWriter, h *wire.ResponseHead, body []byte) {
	code := result.Code(h.GetCode())
	q.server.recordMetrics(q, h)
	if code == result.OK {
		switch {
		case h.GetStatus() >= http.StatusInternalServerError:
			q.server.outcomes.record(time.Now(), "backend server answered with an error", q, h)
		case q.attempts > 1:
			q.server.outcomes.record(time.Now(), "request served after a retry", q, h)
		case q.server.shouldLogServed():
			q.server.outcomes.log.Info("request served", q.logFields(h)...)
		}
		header.Apply(w.Header(), h.GetHeaders())
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(int(h.GetStatus()))
		_, _ = w.Write(body)
		return
	}
	info := result.Lookup(code)
	status := info.Status
	if mayReturn(info) {
		// The caller may retry: the request has not run and will not run later.
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", q.retryAfter(h))
	}
	if q.id != "" {
		w.Header().Set(q.server.cfg.Headers.RequestID, q.id)
	}
	w.Header().Set(header.Code, strconv.Itoa(int(code)))
	q.server.outcomes.record(time.Now(), "request not answered", q, h)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

func (q *request) documentVersion() string {
	if v := q.server.view.Load(); v != nil {
		return platform.FormatVersion(v.Version)
	}
	return ""
}

// rowEpoch returns the epoch of the row that contains the request's key, 0 if unknown.
func (q *request) rowEpoch() uint64 {
	v, key := q.server.view.Load(), parseKey(q.key)
	if v == nil || key < 0 {
		return 0
	}
	t := v.Doc.Tables[q.service]
	if i := t.Locate(key); i >= 0 {
		return t[i].Epoch
	}
	return 0
}

// parseKey returns a request's key, or -1 if it has none.
func parseKey(text string) int {
	key, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return key
}

func routeName(r *route.Route) string {
	if r == nil {
		return ""
	}
	return r.Name
}

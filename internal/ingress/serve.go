package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/departure"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/header"
	"fulmarhinge/internal/peer"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/route"
	"fulmarhinge/internal/wire"
)

const (
	// defaultTime is how long a caller waits that does not say.
	defaultTime = 10 * time.Second
	// answerSlack is how long after the deadline an answer is still taken.
	answerSlack = 60 * time.Millisecond
	// callerMargin is taken off the time that a caller waits, so that the final
	// answer is there before it leaves.
	callerMargin = 25 * time.Millisecond
	// busyTries is how many servers a request that was refused for their load
	// is offered to.
	busyTries = 2
	// retryPause is the least wait between two attempts.
	retryPause = 8 * time.Millisecond
	// retryPart is the part of its time left that a caller may be told to wait.
	retryPart = 3
	// minRetryAfter keeps callers from coming back at once.
	minRetryAfter = 50 * time.Millisecond
	// minAttempt is the time that must be left for another attempt.
	minAttempt = 30 * time.Millisecond
)

// request is one request of a caller.
type request struct {
	server   *Server
	http     *http.Request
	id       string
	route    *route.Route
	service  string
	key      string
	body     []byte
	headers  []*wire.Header
	begun    time.Time
	deadline time.Time
	// age is how long ago the caller first asked for this.
	age      time.Duration
	attempts int
	// sent counts the backend servers that the request reached.
	sent  int
	tried []string
	// unknown is the last answer after which the request may have run.
	unknown *wire.ResponseHead
	where   string
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{server: s, http: r, id: r.Header.Get(s.cfg.Headers.RequestID), begun: time.Now()}
	h, body := q.answer(w)
	q.reply(w, h, body)
}

// refusal is an answer of this node's own.
func refusal(c result.Code, after time.Duration) *wire.ResponseHead {
	return &wire.ResponseHead{Code: uint32(c), RetryAfterMs: uint64(after.Milliseconds())}
}

// answer finds the answer of a request.
func (q *request) answer(w http.ResponseWriter) (*wire.ResponseHead, []byte) {
	s := q.server
	cfg := s.config.Load()
	switch {
	case cfg == nil:
		return refusal(result.NotAdmitting, 0), nil
	case s.refusing.Load():
		return refusal(result.Draining, 0), nil
	}
	path, _, _ := strings.Cut(q.http.RequestURI, "?")
	if q.route = cfg.Match(q.http.Host, path); q.route == nil {
		return refusal(result.NoRoute, 0), nil
	}
	q.service = q.route.Pick()
	svc, ok := cfg.Services[q.service]
	if !ok {
		return refusal(result.NoService, 0), nil
	}
	if svc.Keyed {
		q.key = q.http.Header.Get(s.cfg.Headers.Key)
		if n, err := strconv.Atoi(q.key); err != nil || n < 0 || n > fleet.MaxKey {
			return refusal(result.MissingKey, 0), nil
		}
	}
	q.deadline = q.begun.Add(defaultTime)
	if ms, err := strconv.ParseInt(q.http.Header.Get(s.cfg.Headers.Deadline), 10, 64); err == nil && ms > 0 {
		left := time.Duration(ms) * time.Millisecond
		q.age = s.ages.of(q.begun, q.route.Name, left)
		q.deadline = q.begun.Add(left - callerMargin)
	}
	if t := q.route.Timeout; t > 0 && q.begun.Add(t).Before(q.deadline) {
		q.deadline = q.begun.Add(t)
	}
	if refused := q.readBody(w, cfg.Limits); refused != nil {
		return refused, nil
	}
	if s.awake.sign(clock.Now()) && !departure.Stays(q.http.Context()) {
		return refusal(result.CancelledBefore, 0), nil
	}
	q.forwardHeaders()
	s.budget.earn(q.begun, q.service)
	return q.run()
}

func (q *request) readBody(w http.ResponseWriter, limits route.Limits) *wire.ResponseHead {
	if q.http.ContentLength == 0 {
		return nil
	}
	limit := int64(peer.MaxUnaryBody)
	if limits.MaxBody > 0 {
		limit = min(limit, limits.MaxBody)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, q.http.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return refusal(result.BodyTooLarge, 0)
	case err != nil:
		return refusal(result.SlowSender, 0)
	}
	q.body = body
	return nil
}

func (q *request) forwardHeaders() {
	h := q.server.cfg.Headers
	for _, line := range header.Forward(q.http.Header) {
		if !q.server.strip[line.GetName()] {
			q.headers = append(q.headers, line)
		}
	}
	q.headers = append(q.headers,
		&wire.Header{Name: "Host", Value: q.http.Host},
		&wire.Header{Name: h.Caller, Value: q.server.cfg.Service})
}

// run makes attempts until one is answered or another one is not worth it.
func (q *request) run() (*wire.ResponseHead, []byte) {
	ctx, cancel := context.WithDeadline(q.http.Context(), q.deadline.Add(answerSlack))
	defer cancel()
	for {
		changed := *q.server.changed.Load()
		h, body := q.attempt(ctx)
		code := result.Code(h.GetCode())
		if code == result.OK {
			return h, body
		}
		if h.GetOffered() {
			q.sent++
		}
		if result.Lookup(code).Kind == result.Unknown {
			q.unknown = h
		}
		if !q.again(h) || !q.pause(ctx, changed, h) {
			return q.final(h), nil
		}
	}
}

// again reports whether another attempt is allowed and may end better.
func (q *request) again(h *wire.ResponseHead) bool {
	code := result.Code(h.GetCode())
	if time.Until(q.deadline) < minAttempt || q.http.Context().Err() != nil {
		return false
	}
	switch code {
	case result.NoOwner, result.Moved, result.LeaseLapsed, result.PeerUnreachable, result.Draining,
		result.BackendNotReady, result.BackendUnreachable:
		// Nothing was offered to a backend server.
		return q.key != "" || code == result.BackendNotReady || len(q.tried) < len(q.candidates())
	case result.BackendBusy:
		return q.key == "" && len(q.tried) < min(busyTries, len(q.candidates()))
	case result.BackendShed, result.StaleFence:
		return q.sent < q.route.MaxAttempts && q.spend()
	case result.AnswerCut, result.OwnerLost:
		return q.route.Idempotent && q.sent < q.route.MaxAttempts && q.spend()
	default:
		return false
	}
}

// spend takes one retry out of the budget.
func (q *request) spend() bool {
	if !q.server.budget.spend(time.Now(), q.service) {
		q.server.counts.denied.Inc()
		return false
	}
	q.server.counts.retries.Inc()
	return true
}

// pause waits a little, or until the fleet's document changes.
func (q *request) pause(ctx context.Context, changed <-chan struct{}, h *wire.ResponseHead) bool {
	wait := retryPause
	switch result.Code(h.GetCode()) {
	case result.NoOwner, result.Moved, result.BackendNotReady, result.PeerUnreachable:
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

func (q *request) candidates() []*fleet.Member {
	v := q.server.view.Load()
	if v == nil {
		return nil
	}
	return v.serving[q.service]
}

// attempt sends the request to one node.
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
		return q.send(ctx, m)
	}
	m := s.picker.pick(time.Now(), v.serving[q.service], q.tried, q.route.Bulk)
	if m == nil {
		return refusal(result.BackendNotReady, 0), nil
	}
	h, body := q.send(ctx, m)
	s.picker.done(time.Now(), m, h)
	q.tried = append(q.tried, m.Name)
	return h, body
}

// owner returns the member that owns the request's key.
func (q *request) owner(v *View) *fleet.Member {
	key, err := strconv.Atoi(q.key)
	if err != nil {
		return nil
	}
	t := v.Doc.Tables[q.service]
	i := t.Locate(key)
	if i < 0 {
		return nil
	}
	m := v.Doc.Members[t[i].Owner]
	if m == nil || m.Evicted {
		return nil
	}
	return m
}

// send sends the request to the gate of a member, here without a hop.
func (q *request) send(ctx context.Context, m *fleet.Member) (*wire.ResponseHead, []byte) {
	q.where = m.Name
	now := time.Now()
	head := &wire.RequestHead{
		Id: q.id, Method: q.http.Method, Path: q.http.RequestURI, Headers: q.headers, Service: q.service, Key: q.key,
		DeadlineMs: uint64(max(1, q.deadline.Sub(now).Milliseconds())), ContentLength: int64(len(q.body)),
		Priority: uint32(q.route.Priority), TargetMs: q.begun.Add(q.route.Target - q.age).Sub(now).Milliseconds(),
		Idempotent: q.route.Idempotent, Bulk: q.route.Bulk, SentUs: int64(clock.Now()) / int64(time.Microsecond),
	}
	if m.Name == q.server.cfg.Self.Name {
		return q.server.cfg.Gate.Do(ctx, head, q.body)
	}
	return q.remote(ctx, m, head)
}

// remote sends the request to the gate of another node.
func (q *request) remote(ctx context.Context, m *fleet.Member, head *wire.RequestHead) (*wire.ResponseHead, []byte) {
	conn, err := q.server.cfg.Peers.Open(ctx, m.Addr)
	if err != nil {
		return refusal(result.PeerUnreachable, 0), nil
	}
	defer conn.Close()
	_ = conn.SetDeadline(q.deadline.Add(answerSlack))
	// The gate gives up what waits there, and lets go on what runs and may not be
	// repeated.
	stop := context.AfterFunc(ctx, func() {
		_ = conn.Close()
		// The far end answers nothing more; the wait for it ends here.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	})
	defer stop()
	if err := peer.WriteUnary(conn, head, q.body); err != nil {
		return q.lost(err), nil
	}
	h := &wire.ResponseHead{}
	body, err := peer.ReadUnary(conn, h, h.GetContentLength)
	if err != nil {
		return q.lost(err), nil
	}
	if h.GetId() != q.id {
		return q.lost(errors.New("the answer belongs to another request")), nil
	}
	return h, body
}

// lost says what is known of a request whose node did not answer.
func (q *request) lost(err error) *wire.ResponseHead {
	code := result.OwnerLost
	if !time.Now().Before(q.deadline) {
		code = result.DeadlineAfter
	}
	h := refusal(code, 0)
	h.Offered = true
	h.Message = err.Error()
	return h
}

// final is the answer of a request that is given up. Once it may have run, no
// later refusal says that it has not.
func (q *request) final(h *wire.ResponseHead) *wire.ResponseHead {
	if q.unknown != nil {
		return q.unknown
	}
	return h
}

// reply writes the answer to the caller.
func (q *request) reply(w http.ResponseWriter, h *wire.ResponseHead, body []byte) {
	code := result.Code(h.GetCode())
	q.server.count(q, h)
	if code == result.OK {
		switch {
		case q.attempts > 1:
			q.server.outcomes.record(time.Now(), "request served after a retry", q, h)
		case q.server.sampled():
			q.server.outcomes.log.Info("request served", q.inputs(h)...)
		}
		for _, line := range h.GetHeaders() {
			w.Header().Add(line.GetName(), line.GetValue())
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(int(h.GetStatus()))
		_, _ = w.Write(body)
		return
	}
	info := result.Lookup(code)
	status := info.Status
	if info.Kind == result.NotRun && status >= http.StatusInternalServerError {
		// The caller may come back: the request has not run and never will.
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

func (q *request) documentVersion() uint64 {
	if v := q.server.view.Load(); v != nil {
		return v.Version
	}
	return 0
}

func routeName(r *route.Route) string {
	if r == nil {
		return ""
	}
	return r.Name
}

// retryAfter returns when to come back, in seconds: when there should be room,
// spread so that callers that were refused together do not return together.
func (q *request) retryAfter(h *wire.ResponseHead) string {
	after := time.Duration(h.GetRetryAfterMs()) * time.Millisecond
	after = max(after, minRetryAfter)
	if left := time.Until(q.deadline); left > 0 {
		after = min(after, left/retryPart)
	}
	return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
}

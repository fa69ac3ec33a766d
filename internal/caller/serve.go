package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/header"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/view"
)

// Backoff between attempts.
const (
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 100 * time.Millisecond
)

// refusalTime is how long a caller may take to read an answer of the router's
// own.
const refusalTime = time.Second

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := &answer{w: w, control: http.NewResponseController(w), method: r.Method}
	// Every request sets this anew, so it never ends a later one.
	_ = a.control.SetWriteDeadline(time.Now().Add(refusalTime))
	defer a.count(time.Now())
	v := s.src.Current()
	if v == nil || v.Config == nil {
		a.refuse(result.Errorf(result.NotAdmitting, "The node has no configuration yet."))
		return
	}
	a.id = s.nextID(v)
	a.closing = v.Draining
	if !v.Admitting {
		a.refuse(result.Errorf(result.NotAdmitting, "The node does not admit requests: %s", v.Reason))
		return
	}
	q, refusal := s.parse(v, r)
	if refusal != nil {
		a.refuse(refusal)
		return
	}
	q.id = a.id
	if refusal = s.serve(q, a); refusal == nil {
		return
	}
	if a.started {
		// The caller has part of an answer: only a broken connection tells it
		// that the rest is missing.
		s.log.Debug("answer cut", "request", q.id, "code", refusal.Code)
		a.code = refusal.Code
		panic(http.ErrAbortHandler)
	}
	a.refuse(refusal)
}

// serve admits the request and sends it until it is answered or given up.
func (s *Server) serve(q *request, a *answer) *result.Error {
	ctx, cancel := context.WithTimeout(q.http.Context(), q.maxTime)
	defer cancel()
	deadline, _ := ctx.Deadline()
	// A caller that does not read its answer must not hold a slot for longer.
	_ = a.control.SetWriteDeadline(deadline.Add(refusalTime))
	done, refusal := s.admitter.Admit(ctx, q.customer, q.service.Name)
	if refusal != nil {
		return refusal
	}
	if done != nil {
		defer done()
	}
	s.budget.earn(time.Now())
	q.body = newReplayBody(a.w, q.http, s.cfg.Limits, deadline)
	defer q.body.stop()
	if q.http.ContentLength != 0 {
		// Without this net/http reads the whole request body before the
		// answer's first byte.
		_ = a.control.EnableFullDuplex()
	}
	q.headers = header.Forward(q.http.Header)
	q.headers = append(q.headers, hostHeader(q.http))
	t := &attempts{server: s, request: q, answer: a, tried: map[string]bool{}, backoff: firstBackoff}
	defer t.leaveRoom()
	return t.run(ctx)
}

// attempts is the state of one request over its attempts.
type attempts struct {
	server  *Server
	request *request
	answer  *answer
	// tried holds the members at which an attempt failed.
	tried map[string]bool
	// failedZone is the availability zone of the member that could not be
	// reached last; empty if none.
	failedZone string
	backoff    time.Duration
	waiting    bool
	// mayHaveRun is the result of an attempt after which the request may have
	// run; once it is set the request is never called not run.
	mayHaveRun *result.Error
}

// run makes attempts until one is answered or a further one is not allowed.
func (t *attempts) run(ctx context.Context) *result.Error {
	for {
		changed := t.server.src.Changed()
		v := t.server.src.Current()
		refusal := t.once(ctx, v)
		if refusal == nil || t.answer.started {
			return refusal
		}
		if refusal.Kind() != result.NotRun {
			t.mayHaveRun = refusal
		}
		if !t.mayRetry(refusal) {
			return t.final(v, refusal)
		}
		if refusal = t.wait(ctx, changed, refusal); refusal != nil {
			return t.final(v, refusal)
		}
	}
}

// once makes one attempt.
func (t *attempts) once(ctx context.Context, v *view.View) *result.Error {
	unit, m, refusal := t.target(v)
	if refusal != nil {
		return refusal
	}
	t.answer.owner = m.CallerAddr
	if t.request.service.DividedByKey {
		return t.server.attempt(ctx, v, t, unit, m)
	}
	return t.measured(ctx, v, m)
}

// measured makes an attempt at a member that was picked by its load, and
// records what was seen of it.
func (t *attempts) measured(ctx context.Context, v *view.View, m *cluster.Member) *result.Error {
	l := t.server.pool.load(m.MemberRef)
	t.answer.load = l
	t.answer.sent = time.Now()
	l.begin(t.answer.sent)
	refusal := t.server.attempt(ctx, v, t, cluster.Unit{}, m)
	l.end()
	if refusal != nil && blamesServer(refusal.Code) {
		l.failed(time.Now())
		t.tried[m.Name] = true
	}
	return refusal
}

// blamesServer reports whether a result says that the backend server, or the
// way to it, is in a bad state.
func blamesServer(c result.Code) bool {
	switch c {
	case result.BackendNotReady, result.BackendShed, result.BackendBusy, result.BackendUnreachable,
		result.PeerUnreachable, result.Draining, result.AnswerCut, result.OwnerLost, result.DeadlineAfter:
		return true
	default:
		return false
	}
}

// target finds where the request goes.
func (t *attempts) target(v *view.View) (cluster.Unit, *cluster.Member, *result.Error) {
	q := t.request
	if !q.service.DividedByKey {
		m := t.server.pool.pick(v, q.service.Name, t.tried)
		if m == nil {
			return cluster.Unit{}, nil, result.Errorf(result.BackendNotReady, "No backend server of %s is ready.", q.service.Name)
		}
		return cluster.Unit{}, m, nil
	}
	unit, assigned, ok := v.Locate(q.service.Name, q.key)
	if !ok || assigned.Owner.IsZero() {
		return unit, nil, result.Errorf(result.NoOwner, "No backend server owns the key yet.")
	}
	m := v.Members[assigned.Owner.Name]
	if m == nil || m.MemberRef != assigned.Owner {
		return unit, nil, result.Errorf(result.NoOwner, "The key's owner %s is gone.", assigned.Owner)
	}
	return unit, m, nil
}

// mayRetry reports whether a further attempt is safe and within the budget.
func (t *attempts) mayRetry(refusal *result.Error) bool {
	if !t.request.body.replayable() {
		return false
	}
	if refusal.Kind() == result.Unknown {
		safe := t.request.idempotent || refusal.Code == result.OwnerLost && t.request.hasKey()
		return safe && passing(refusal.Code) && t.server.budget.spend()
	}
	if settles(refusal.Code) {
		return true
	}
	return passing(refusal.Code) && t.server.budget.spend()
}

// settles reports whether a result is one of ownership on the move or of a
// backend server that comes or goes. Such an attempt puts no load on a backend
// server, so further ones are bounded by the waiting limit and the deadline
// rather than by the retry budget.
func settles(c result.Code) bool {
	switch c {
	case result.NoOwner, result.Moved, result.LeaseLapsed, result.StaleFence, result.PeerUnreachable,
		result.BackendNotReady, result.BackendUnreachable, result.Draining:
		return true
	default:
		return false
	}
}

// passing reports whether another attempt may end better.
func passing(c result.Code) bool {
	switch c {
	case result.BackendShed, result.BackendBusy, result.AnswerCut, result.OwnerLost, result.LeaseLapsedDuring:
		return true
	default:
		return false
	}
}

// wait pauses before the next attempt: until the view changes, but at least
// the first backoff, so that a burst of publications causes no burst of
// attempts.
func (t *attempts) wait(ctx context.Context, changed <-chan struct{}, last *result.Error) *result.Error {
	if !t.enterRoom() {
		return result.New(result.WaitingFull)
	}
	if !sleep(ctx, firstBackoff, nil) || !sleep(ctx, t.backoff, changed) {
		return ended(ctx, last)
	}
	t.backoff = min(2*t.backoff, maxBackoff)
	return nil
}

// sleep returns false if ctx ended; wake ends the sleep early.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
		return false
	}
	return true
}

func (t *attempts) enterRoom() bool {
	if !t.waiting {
		t.waiting = t.server.room.Enter(t.request.customer, t.request.maxWaiting)
	}
	return t.waiting
}

func (t *attempts) leaveRoom() {
	if t.waiting {
		t.server.room.Leave(t.request.customer)
	}
}

// ended says why a request ended that was never dispatched.
func ended(ctx context.Context, last *result.Error) *result.Error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.CancelledBefore)
	}
	if last == nil {
		return result.New(result.DeadlineBefore)
	}
	return result.Errorf(result.DeadlineBefore, "The deadline passed before the request was sent to a backend server; the last attempt ended with %d (%s).", last.Code, result.Lookup(last.Code).Name)
}

// final returns what the caller is told.
func (t *attempts) final(v *view.View, refusal *result.Error) *result.Error {
	if t.mayHaveRun != nil {
		return t.mayHaveRun
	}
	if v.Draining && (settles(refusal.Code) || passing(refusal.Code) || refusal.Code == result.WaitingFull) {
		return result.Errorf(result.Draining, "The node is stopping and could not forward the request: %s", refusal.Message)
	}
	return refusal
}

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

// Exponential backoff between attempts.
const (
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 100 * time.Millisecond
)

// refusalWriteTimeout is how long writing a response that the router generates
// itself may take.
const refusalWriteTimeout = time.Second

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	resp := &response{w: w, control: http.NewResponseController(w), method: r.Method}
	// Every request sets the deadline again, so the deadline of one request
	// can't end a later request on the same connection.
	_ = resp.control.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	defer resp.recordMetrics(time.Now())
	v := s.views.Current()
	if v == nil || v.Config == nil {
		resp.refuse(result.Errorf(result.NotAdmitting, "The node has no configuration yet."))
		return
	}
	resp.requestID = s.nextRequestID(v)
	resp.closeConn = v.Draining || s.stopping.Load()
	if !v.Admitting {
		resp.refuse(result.Errorf(result.NotAdmitting, "The node does not admit requests: %s", v.Reason))
		return
	}
	req, refusal := s.parse(v, r)
	if refusal != nil {
		resp.refuse(refusal)
		return
	}
	req.id = resp.requestID
	if refusal = s.serve(req, resp); refusal == nil {
		return
	}
	if resp.headSent {
		// The caller has received part of a response. Only a broken connection
		// can tell it that the rest is missing.
		s.log.Debug("response cut off after its start", "request", req.id, "code", refusal.Code)
		resp.code = refusal.Code
		panic(http.ErrAbortHandler)
	}
	resp.refuse(refusal)
}

// serve admits the request and makes attempts until one is answered or no
// further one is allowed.
func (s *Server) serve(req *request, resp *response) *result.Error {
	ctx, cancel := context.WithTimeout(req.httpRequest.Context(), req.timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	// The write deadline keeps a caller that does not read its response from
	// holding a slot of the backend server for longer.
	_ = resp.control.SetWriteDeadline(deadline.Add(refusalWriteTimeout))
	release, refusal := s.admitter.Admit(ctx, req.customer, req.service.Name)
	if refusal != nil {
		return refusal
	}
	if release != nil {
		defer release()
	}
	s.retryBudget.deposit(time.Now())
	req.body = newReplayBody(resp.w, req.httpRequest, s.cfg.Limits, deadline)
	defer req.body.abortReads()
	if req.httpRequest.ContentLength != 0 {
		// Without full duplex net/http reads the whole request body before it
		// writes the first byte of the response.
		_ = resp.control.EnableFullDuplex()
	}
	req.headers = header.Forward(req.httpRequest.Header)
	req.headers = append(req.headers, hostHeader(req.httpRequest))
	a := &attempts{server: s, request: req, response: resp, triedMembers: map[string]bool{}, backoff: initialBackoff}
	defer a.releaseWaitSlot()
	return a.run(ctx)
}

// attempts is the state that one request keeps over its attempts.
type attempts struct {
	server   *Server
	request  *request
	response *response
	// triedMembers holds the members at which an attempt failed.
	triedMembers map[string]bool
	// lastFailedZone is the availability zone of the last member that could not
	// be reached; empty if none.
	lastFailedZone string
	backoff        time.Duration
	holdsWaitSlot  bool
	// unknownOutcome is the result of an attempt after which the request may
	// have run. Once it is set, the request is never reported as not run.
	unknownOutcome *result.Error
}

// run makes attempts until one is answered or no further one is allowed.
func (a *attempts) run(ctx context.Context) *result.Error {
	for {
		changed := a.server.views.Changed()
		v := a.server.views.Current()
		refusal := a.attemptOnce(ctx, v)
		if refusal == nil || a.response.headSent {
			return refusal
		}
		if refusal.Kind() != result.NotRun {
			a.unknownOutcome = refusal
		}
		if !a.shouldRetry(refusal) {
			return a.finalError(v, refusal)
		}
		if refusal = a.waitForRetry(ctx, changed, refusal); refusal != nil {
			return a.finalError(v, refusal)
		}
	}
}

// attemptOnce makes one attempt.
func (a *attempts) attemptOnce(ctx context.Context, v *view.View) *result.Error {
	unit, m, refusal := a.selectTarget(v)
	if refusal != nil {
		return refusal
	}
	a.response.ownerAddr = m.CallerAddr
	if a.request.service.DividedByKey {
		return a.server.attempt(ctx, v, a, unit, m)
	}
	return a.attemptByLoad(ctx, v, m)
}

// attemptByLoad makes an attempt at a member that was picked by its load, and
// records the latency or failure of its backend server.
func (a *attempts) attemptByLoad(ctx context.Context, v *view.View, m *cluster.Member) *result.Error {
	l := a.server.pool.load(m.MemberRef)
	a.response.load = l
	a.response.attemptStart = time.Now()
	l.requestSent(a.response.attemptStart)
	refusal := a.server.attempt(ctx, v, a, cluster.Unit{}, m)
	l.requestEnded()
	if refusal != nil && isServerFault(refusal.Code) {
		l.recordFailure(time.Now())
		a.triedMembers[m.Name] = true
	}
	return refusal
}

// isServerFault reports whether a result indicates that the backend server, or
// the link to it, is faulty or overloaded.
func isServerFault(c result.Code) bool {
	switch c {
	case result.BackendNotReady, result.BackendShed, result.BackendBusy, result.BackendUnreachable,
		result.PeerUnreachable, result.Draining, result.AnswerCut, result.OwnerLost, result.DeadlineAfter:
		return true
	default:
		return false
	}
}

// selectTarget returns the unit and the member that the request is sent to.
func (a *attempts) selectTarget(v *view.View) (cluster.Unit, *cluster.Member, *result.Error) {
	req := a.request
	if !req.service.DividedByKey {
		m := a.server.pool.pick(v, req.service.Name, a.triedMembers)
		if m == nil {
			return cluster.Unit{}, nil, result.Errorf(result.BackendNotReady, "No backend server of %s is ready.", req.service.Name)
		}
		return cluster.Unit{}, m, nil
	}
	unit, assigned, ok := v.Locate(req.service.Name, req.key)
	if !ok || assigned.Owner.IsZero() {
		return unit, nil, result.Errorf(result.NoOwner, "No backend server owns the key yet.")
	}
	m := v.Members[assigned.Owner.Name]
	if m == nil || m.MemberRef != assigned.Owner {
		return unit, nil, result.Errorf(result.NoOwner, "The key's owner %s is gone.", assigned.Owner)
	}
	return unit, m, nil
}

// shouldRetry reports whether another attempt is safe and, where the retry
// budget applies, within that budget.
func (a *attempts) shouldRetry(refusal *result.Error) bool {
	if !a.request.body.replayable() {
		return false
	}
	if refusal.Kind() == result.Unknown {
		safe := a.request.idempotent || refusal.Code == result.OwnerLost && a.request.hasIdempotencyKey()
		return safe && retryableWithinBudget(refusal.Code) && a.server.retryBudget.tryWithdraw()
	}
	if retryableWithoutBudget(refusal.Code) {
		return true
	}
	return retryableWithinBudget(refusal.Code) && a.server.retryBudget.tryWithdraw()
}

// retryableWithoutBudget reports whether a result means that ownership is
// moving or that a backend server is starting or stopping. Such an attempt puts
// no load on a backend server, so further ones are bounded by the limit of
// waiting requests and the deadline rather than by the retry budget.
func retryableWithoutBudget(c result.Code) bool {
	switch c {
	case result.NoOwner, result.Moved, result.LeaseLapsed, result.StaleFence, result.PeerUnreachable,
		result.BackendNotReady, result.BackendUnreachable, result.Draining:
		return true
	default:
		return false
	}
}

// retryableWithinBudget reports whether another attempt may succeed but adds
// load to a backend server, so that it must fit the retry budget.
func retryableWithinBudget(c result.Code) bool {
	switch c {
	case result.BackendShed, result.BackendBusy, result.AnswerCut, result.OwnerLost, result.LeaseLapsedDuring:
		return true
	default:
		return false
	}
}

// waitForRetry waits before the next attempt until the view changes or the
// backoff is over, but at least for initialBackoff, so that a burst of view
// changes causes no burst of attempts.
func (a *attempts) waitForRetry(ctx context.Context, changed <-chan struct{}, lastErr *result.Error) *result.Error {
	if !a.acquireWaitSlot() {
		return result.New(result.WaitingFull)
	}
	if !sleep(ctx, initialBackoff, nil) || !sleep(ctx, a.backoff, changed) {
		return notDispatchedError(ctx, lastErr)
	}
	a.backoff = min(2*a.backoff, maxBackoff)
	return nil
}

// sleep waits for d or until wake is closed. It returns false if ctx ended
// first.
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

func (a *attempts) acquireWaitSlot() bool {
	if !a.holdsWaitSlot {
		a.holdsWaitSlot = a.server.waitLimiter.TryAcquire(a.request.customer, a.request.maxWaiting)
	}
	return a.holdsWaitSlot
}

func (a *attempts) releaseWaitSlot() {
	if a.holdsWaitSlot {
		a.server.waitLimiter.Release(a.request.customer)
	}
}

// notDispatchedError returns the error of a request whose context ended before
// it was sent to a backend server.
func notDispatchedError(ctx context.Context, lastErr *result.Error) *result.Error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.CancelledBefore)
	}
	if lastErr == nil {
		return result.New(result.DeadlineBefore)
	}
	return result.Errorf(result.DeadlineBefore, "The deadline passed before the request was sent to a backend server; the last attempt ended with %d (%s).", lastErr.Code, result.Lookup(lastErr.Code).Name)
}

// finalError returns the error that is sent to the caller.
func (a *attempts) finalError(v *view.View, refusal *result.Error) *result.Error {
	if a.unknownOutcome != nil {
		return a.unknownOutcome
	}
	if v.Draining && (retryableWithoutBudget(refusal.Code) || retryableWithinBudget(refusal.Code) || refusal.Code == result.WaitingFull) {
		return result.Errorf(result.Draining, "The node is stopping and could not forward the request: %s", refusal.Message)
	}
	return refusal
}

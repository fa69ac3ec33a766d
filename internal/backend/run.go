package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/header"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

// The stages of a run. A run leaves stageIdle once: either the first byte of
// the request is about to be written, or the run is given up and nothing may
// be written any more.
const (
	stageIdle int32 = iota
	stageDispatched
	stageSealed
)

// copySize is the size in bytes of the buffer that bodies pass through.
const copySize = 32 << 10

var (
	errSealed = errs.Class("request given up")
	errLapsed = errs.New("lease lapsed")

	buffers = sync.Pool{New: func() any { b := make([]byte, copySize); return &b }}
)

// run is one request on its way through the gate.
type run struct {
	gate *Gate
	head *wire.RequestHead
	body io.Reader
	// length is that of the body, or -1 if it is not known before its end.
	length int64
	sink   ResponseSink
	server *server

	keyed bool
	// detached is true if the run goes on when the caller leaves.
	detached bool
	unit     cluster.Unit
	epoch    uint64
	// owner is this node's incarnation when the request was let in.
	owner cluster.MemberRef

	// history is what the last owner passed on of idempotency keys.
	history *wire.History

	stage atomic.Int32
	// conn is the connection that the request was dispatched on.
	conn   atomic.Pointer[guardedConn]
	lapsed atomic.Bool
	// abandoned is true if the request was dispatched and its answer did not
	// come to its end.
	abandoned bool
}

// dispatch sends the request and passes the answer on.
func (r *run) dispatch(ctx context.Context) *result.Error {
	ctx, cancel := r.context(ctx)
	defer cancel()
	req, refusal := r.request(ctx)
	if refusal != nil {
		return refusal
	}
	resp, err := r.server.transport.RoundTrip(req)
	if err != nil {
		return r.failed(ctx, err)
	}
	defer resp.Body.Close()
	if refusal = r.refusedByServer(resp); refusal != nil {
		return refusal
	}
	if !r.stillOwner() {
		r.abandoned = true
		return result.New(result.LeaseLapsedDuring)
	}
	return r.answer(ctx, resp)
}

// context returns the context of the call to the backend server. That of a
// detached run ends at the deadline only.
func (r *run) context(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if r.detached && ok {
		return context.WithDeadline(context.WithoutCancel(ctx), deadline)
	}
	return context.WithCancel(ctx)
}

// request builds the HTTP request with the fence and the time left.
func (r *run) request(ctx context.Context) (*http.Request, *result.Error) {
	u, err := url.ParseRequestURI(r.head.GetPath())
	if err != nil {
		return nil, result.Errorf(result.BadRequest, "The path cannot be parsed.")
	}
	u.Scheme = "http"
	u.Host = r.server.ann.Address
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*guardedConn); ok {
			c.run.Store(r)
		}
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.head.GetMethod(), u.String(), nil)
	if err != nil {
		return nil, result.Errorf(result.BadRequest, "The request cannot be built.")
	}
	req.URL = u
	if r.length != 0 {
		req.Body = io.NopCloser(r.body)
		req.ContentLength = r.length
	}
	r.setHeaders(ctx, req)
	return req, nil
}

func (r *run) setHeaders(ctx context.Context, req *http.Request) {
	header.Apply(req.Header, r.head.GetHeaders())
	if host := req.Header.Get("Host"); host != "" {
		req.Host = host
		req.Header.Del("Host")
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		req.Header.Set("User-Agent", "")
	}
	req.Header.Set(header.RequestID, r.head.GetId())
	req.Header.Set(header.Customer, r.head.GetCustomer())
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 0)
		req.Header.Set(header.DeadlineMs, strconv.FormatInt(left, 10))
	}
	if !r.keyed {
		return
	}
	req.Header.Set(header.Key, r.head.GetKey())
	req.Header.Set(header.Unit, r.unit.String())
	req.Header.Set(header.Epoch, strconv.FormatUint(r.epoch, 10))
	req.Header.Set(header.LeaseUntil, strconv.FormatInt(int64(r.gate.src.LeaseUntil()), 10))
}

// beforeWrite is called in front of every write on the connection. Only one
// dispatch is ever let through: net/http sends some requests again by itself,
// those with an Idempotency-Key among them, and a backend server that is not
// prepared for that would run them twice.
func (r *run) beforeWrite(c *guardedConn) error {
	if r.conn.Load() == c {
		return nil
	}
	if r.keyed && !r.gate.src.LeaseValid() {
		r.lapsed.Store(true)
		return errLapsed
	}
	if !r.stage.CompareAndSwap(stageIdle, stageDispatched) {
		return errSealed.New("%s", r.head.GetId())
	}
	r.conn.Store(c)
	r.sink.Dispatched()
	return nil
}

// failed classifies an error without an answer. The request did not run only
// if no byte was written and none can be written any more.
func (r *run) failed(ctx context.Context, err error) *result.Error {
	sealed := r.stage.CompareAndSwap(stageIdle, stageSealed)
	if sealed {
		return r.failedBefore(ctx, err)
	}
	r.abandoned = true
	var bodyErr *BodyError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.New(result.DeadlineAfter)
	case ctx.Err() != nil:
		return result.New(result.CancelledAfter)
	case errors.As(err, &bodyErr):
		return result.New(result.RequestCut)
	default:
		return result.New(result.AnswerCut)
	}
}

func (r *run) failedBefore(ctx context.Context, err error) *result.Error {
	var bodyErr *BodyError
	switch {
	case r.lapsed.Load():
		return result.New(result.LeaseLapsed)
	case ctx.Err() != nil:
		return endedBefore(ctx)
	case errors.As(err, &bodyErr):
		return bodyRefusal(err)
	default:
		r.gate.log.Debug("backend server cannot be reached", "error", err)
		return result.New(result.BackendUnreachable)
	}
}

// BodyError says that the request body could not be read to its end. Code is
// what the caller is told if nothing was dispatched yet.
type BodyError struct {
	Code result.Code
	Err  error
}

// Error implements error.
func (e *BodyError) Error() string { return "request body: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }

// refusedByServer recognises the answers that mean that nothing ran.
func (r *run) refusedByServer(resp *http.Response) *result.Error {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(header.Shed) != "" {
		return result.New(result.BackendShed)
	}
	if resp.StatusCode == http.StatusConflict && resp.Header.Get(header.Fence) == header.FenceStale {
		return result.New(result.StaleFence)
	}
	return nil
}

// stillOwner reports whether the ownership under which the request was
// dispatched has lasted. The count of requests in flight keeps a planned move
// from ending it meanwhile, also if the unit's epoch rises under this owner, as
// when a pin is dissolved. A pause of the process may end it: then the lease
// has lapsed, or the node has joined again under another incarnation.
func (r *run) stillOwner() bool {
	if !r.keyed {
		return true
	}
	return r.gate.src.Current().Self == r.owner && r.gate.src.LeaseValid()
}

// answer passes a whole answer on.
func (r *run) answer(ctx context.Context, resp *http.Response) *result.Error {
	if unverifiable(resp, r.head.GetMethod()) {
		r.abandoned = true
		return result.Errorf(result.AnswerCut, "The backend server's answer has neither a length nor chunks, so it cannot be checked.")
	}
	head := &wire.ResponseHead{
		Id: r.head.GetId(), Status: uint32(resp.StatusCode), Headers: header.Forward(resp.Header),
		ContentLength: resp.ContentLength, Code: uint32(result.OK),
		InFlight: uint32(r.gate.Total()), Slots: uint32(r.server.ann.Slots),
	}
	if err := r.sink.Head(head); err != nil {
		r.abandoned = true
		return result.New(result.CancelledAfter)
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		n, err := resp.Body.Read(*buf)
		if n > 0 {
			if _, werr := r.sink.Write((*buf)[:n]); werr != nil {
				r.abandoned = true
				return result.New(result.CancelledAfter)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return r.failed(ctx, err)
		}
	}
}

// unverifiable reports whether an answer ends with its connection, so that a
// cut one looks like a whole one.
func unverifiable(resp *http.Response, method string) bool {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || method == http.MethodHead {
		return false
	}
	return resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

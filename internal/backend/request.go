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

// The stages of a request. A request leaves stageUndispatched exactly once:
// either its first byte is about to be written, or it is aborted and nothing
// may be written any more.
const (
	stageUndispatched int32 = iota
	stageDispatched
	stageAborted
)

// copyBufferBytes is the size of the buffers used to copy response bodies.
const copyBufferBytes = 32 << 10

var (
	errAborted      = errs.Class("request aborted")
	errLeaseExpired = errs.New("lease expired")

	copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}
)

// request is one request that passes through the gate.
type request struct {
	gate *Gate
	head *wire.RequestHead
	body io.Reader
	// bodyLength is the length of the body in bytes, or -1 if it is unknown
	// until the end of the body.
	bodyLength int64
	sink       ResponseSink
	server     *server

	// keyed is true if the service is divided by key.
	keyed bool
	// detached is true if the request continues after its caller disconnects.
	detached bool
	unit     cluster.Unit
	epoch    uint64
	// owner is this node's incarnation when the request was admitted.
	owner cluster.MemberRef

	// history is the previous owner's record of idempotency keys, received
	// in the hand-over of the unit.
	history *wire.History

	stage atomic.Int32
	// conn is the connection on which the request was dispatched.
	conn         atomic.Pointer[guardedConn]
	leaseExpired atomic.Bool
	// unfinished is true if the request was dispatched and its response was
	// not received completely.
	unfinished bool
}

// dispatch sends the request to the backend server and forwards the response.
func (r *request) dispatch(ctx context.Context) *result.Error {
	ctx, cancel := r.callContext(ctx)
	defer cancel()
	req, refusal := r.buildRequest(ctx)
	if refusal != nil {
		return refusal
	}
	resp, err := r.server.transport.RoundTrip(req)
	if err != nil {
		return r.classifyError(ctx, err)
	}
	defer resp.Body.Close()
	if id := resp.Header.Get(header.RequestID); id != "" && id != r.head.GetId() {
		r.unfinished = true
		r.closeConn()
		return result.New(result.AnswerCut)
	}
	if refusal = r.backendRefusal(resp); refusal != nil {
		// A second copy of the refusal must not be taken for the answer to a later
		// request.
		r.closeConn()
		return refusal
	}
	if !r.stillOwner() {
		r.unfinished = true
		return result.New(result.LeaseLapsedDuring)
	}
	return r.forwardResponse(ctx, resp)
}

// closeConn closes the connection on which the request was dispatched, so that no other
// request uses it.
func (r *request) closeConn() {
	if c := r.conn.Load(); c != nil {
		_ = c.Close()
	}
}

// callContext returns the context of the call to the backend server. The
// context of a detached request ends only at the deadline.
func (r *request) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if r.detached && ok {
		return context.WithDeadline(context.WithoutCancel(ctx), deadline)
	}
	return context.WithCancel(ctx)
}

// buildRequest builds the HTTP request, including the fencing headers and the
// remaining time.
func (r *request) buildRequest(ctx context.Context) (*http.Request, *result.Error) {
	u, err := url.ParseRequestURI(r.head.GetPath())
	if err != nil {
		return nil, result.Errorf(result.BadRequest, "The path cannot be parsed.")
	}
	u.Scheme = "http"
	u.Host = r.server.announcement.Address
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*guardedConn); ok {
			c.request.Store(r)
		}
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.head.GetMethod(), u.String(), nil)
	if err != nil {
		return nil, result.Errorf(result.BadRequest, "The request cannot be built.")
	}
	req.URL = u
	if r.bodyLength != 0 {
		req.Body = io.NopCloser(r.body)
		req.ContentLength = r.bodyLength
	}
	r.setHeaders(ctx, req)
	return req, nil
}

func (r *request) setHeaders(ctx context.Context, req *http.Request) {
	header.Apply(req.Header, r.head.GetHeaders())
	if host := req.Header.Get("Host"); host != "" {
		req.Host = host
		req.Header.Del("Host")
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its default.
		req.Header.Set("User-Agent", "")
	}
	req.Header.Set(header.RequestID, r.head.GetId())
	req.Header.Set(header.Customer, r.head.GetCustomer())
	if deadline, ok := ctx.Deadline(); ok {
		remainingMs := max(time.Until(deadline).Milliseconds(), 0)
		req.Header.Set(header.DeadlineMs, strconv.FormatInt(remainingMs, 10))
	}
	if !r.keyed {
		return
	}
	req.Header.Set(header.Key, r.head.GetKey())
	req.Header.Set(header.Unit, r.unit.String())
	req.Header.Set(header.Epoch, strconv.FormatUint(r.epoch, 10))
	req.Header.Set(header.LeaseUntil, strconv.FormatInt(int64(r.gate.src.LeaseUntil()), 10))
}

// beforeWrite is called before every write on the connection c and returns an
// error if the write must not happen. It allows only one dispatch: net/http
// transparently retries some requests, including those with an Idempotency-Key
// header, and a backend server that does not deduplicate them would run them
// twice.
func (r *request) beforeWrite(c *guardedConn) error {
	if r.conn.Load() == c {
		return nil
	}
	if r.keyed && !r.gate.src.LeaseValid() {
		r.leaseExpired.Store(true)
		return errLeaseExpired
	}
	if !r.stage.CompareAndSwap(stageUndispatched, stageDispatched) {
		return errAborted.New("%s", r.head.GetId())
	}
	r.conn.Store(c)
	r.sink.Dispatched()
	return nil
}

// classifyError returns the result for a request without a complete response.
// The request is known not to have run only if none of its bytes was written
// and none can be written any more.
func (r *request) classifyError(ctx context.Context, err error) *result.Error {
	aborted := r.stage.CompareAndSwap(stageUndispatched, stageAborted)
	if aborted {
		return r.classifyUndispatchedError(ctx, err)
	}
	r.unfinished = true
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

// classifyUndispatchedError returns the result for an error that occurred
// before the request was dispatched.
func (r *request) classifyUndispatchedError(ctx context.Context, err error) *result.Error {
	var bodyErr *BodyError
	switch {
	case r.leaseExpired.Load():
		return result.New(result.LeaseLapsed)
	case ctx.Err() != nil:
		return contextRefusal(ctx)
	case errors.As(err, &bodyErr):
		return bodyRefusal(err)
	default:
		r.gate.log.Debug("backend server cannot be reached", "error", err)
		return result.New(result.BackendUnreachable)
	}
}

// BodyError is returned if the request body could not be read completely. Code
// is the result sent to the caller if the request has not been dispatched.
type BodyError struct {
	Code result.Code
	Err  error
}

// Error implements error.
func (e *BodyError) Error() string { return "request body: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *BodyError) Unwrap() error { return e.Err }

// backendRefusal returns a refusal if the response means that the backend server
// did not run the request, and nil otherwise.
func (r *request) backendRefusal(resp *http.Response) *result.Error {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(header.Shed) != "" {
		return result.New(result.BackendShed)
	}
	if resp.StatusCode == http.StatusConflict && resp.Header.Get(header.Fence) == header.FenceStale {
		return result.New(result.StaleFence)
	}
	return nil
}

// stillOwner reports whether this node has owned the unit without interruption
// since it admitted the request. A planned move cannot end the ownership while
// the request is counted as in flight, even if the unit's epoch rises under the
// same owner, for example when a pin is dissolved. A pause of the process can
// end the ownership: the lease has then expired, or the node has rejoined under
// another incarnation.
func (r *request) stillOwner() bool {
	if !r.keyed {
		return true
	}
	return r.gate.src.Current().Self == r.owner && r.gate.src.LeaseValid()
}

// forwardResponse copies the response to the sink.
func (r *request) forwardResponse(ctx context.Context, resp *http.Response) *result.Error {
	if !header.IsFinalStatus(resp.StatusCode) {
		r.unfinished = true
		return result.Errorf(result.AnswerCut, "The backend server's answer has the status %d, which is none of a final response.", resp.StatusCode)
	}
	if closeDelimited(resp, r.head.GetMethod()) {
		r.unfinished = true
		return result.Errorf(result.AnswerCut, "The backend server's answer has neither a length nor chunks, so it cannot be checked.")
	}
	head := &wire.ResponseHead{
		Id: r.head.GetId(), Status: uint32(resp.StatusCode), Headers: header.Forward(resp.Header),
		ContentLength: resp.ContentLength, Code: uint32(result.OK),
		InFlight: uint32(r.gate.Total()), Slots: uint32(r.server.announcement.Slots),
	}
	if err := r.sink.Head(head); err != nil {
		r.unfinished = true
		return result.New(result.CancelledAfter)
	}
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := resp.Body.Read(*buf)
		if n > 0 {
			if _, werr := r.sink.Write((*buf)[:n]); werr != nil {
				r.unfinished = true
				return result.New(result.CancelledAfter)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return r.classifyError(ctx, err)
		}
	}
}

// closeDelimited reports whether the end of the response is marked only by the
// close of its connection, so that a truncated response cannot be recognised.
func closeDelimited(resp *http.Response, method string) bool {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || method == http.MethodHead {
		return false
	}
	return resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
}

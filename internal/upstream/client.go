package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"fulmarhinge/internal/bodymem"
)

// Error classes of Client.Do.
var (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errs.Class("not sent")
	// ErrUnknownOutcome means that the request may have run: it was sent, at
	// least in part, and no usable response was received.
	ErrUnknownOutcome = errs.Class("broken answer")
)

// Headers holds the header names that the backend server uses.
type Headers struct {
	RequestID string
	// Deadline carries the remaining time in ms.
	Deadline string
	// Instance names the server that the request is meant for; any other server
	// refuses it.
	Instance string
	// NotRun is set in a response if the request did not run.
	NotRun string
	// Proof is set in every response that the server itself generated.
	Proof string
	// Limit carries the requests per second that the server takes from all
	// callers together, as a decimal number; Leaving is 1 once it leaves. Either
	// name may be empty.
	Limit   string
	Leaving string
	// Load carries the numbers of running and waiting requests and of slots, and
	// optionally the momentary slowness in percent, separated by commas. Cold carries
	// the rest of the slow start in ms in the answer to a health check.
	Load string
	Cold string
}

// Request is a request with its whole body.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as sent by the caller.
	Target string
	Host   string
	Header [][2]string
	Body   []byte
	// Instance is the ID of the server that the request is meant for.
	Instance string
	Deadline time.Time
	// Idempotent requests are aborted when ctx is cancelled; others run to
	// their end once they have been sent.
	Idempotent bool
	// Written is called once the request was written, at least in part; nil if nobody is
	// to be told. It is not called if Do returns an error of class ErrNotSent.
	Written func()
}

// Response is a response with its whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// NotRun is true if the server stated that it did not run the request.
	NotRun bool
	// Notice is what the server states about itself. It is nil if the response
	// may be that of another server at the address. NoticeErr is set if a part
	// of it cannot be read; its class is ErrMalformedNotice.
	Notice    *Notice
	NoticeErr error
	// Slowness is how long work takes at the server at this moment, in percent of the
	// usual time; 0 if it does not say. SlownessErr is set if its load header cannot be
	// read; its class is ErrMalformedLoad.
	Slowness    int
	SlownessErr error
}

// Client sends requests to one backend server.
type Client struct {
	headers Headers
	pool    *pool
	// memory is that for responses to requests whose context has no holder.
	memory *bodymem.Pool
}

// NewClient returns a client for the server at address, an IP:port.
func NewClient(address string, headers Headers) *Client {
	return &Client{headers: headers, pool: &pool{address: address}, memory: bodymem.New(ownMemoryBytes)}
}

// Close closes the idle connections. Calls in progress are not affected.
func (c *Client) Close() { c.pool.close() }

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// Do sends a request and returns the whole response. Errors are of class
// ErrNotSent or ErrUnknownOutcome.
func (c *Client) Do(ctx context.Context, r *Request) (*Response, error) {
	cn, err := c.connection(ctx, r)
	if err != nil {
		return nil, ErrNotSent.Wrap(err)
	}
	if ctx.Err() != nil {
		c.pool.put(cn)
		return nil, ErrNotSent.Wrap(ctx.Err())
	}
	resp, reusable, err := c.exchange(ctx, cn, r)
	if err != nil || !reusable {
		_ = cn.Close()
	} else {
		c.pool.put(cn)
	}
	return resp, err
}

// connection returns the connection for a request. One without an id gets a connection of
// its own, as nothing else tells its answer from that to another request.
func (c *Client) connection(ctx context.Context, r *Request) (*conn, error) {
	if r.ID == "" {
		return c.pool.dial(ctx)
	}
	id := xxhash.Sum64String(r.ID)
	cn, err := c.pool.get(ctx, id, !r.Idempotent)
	if err == nil {
		cn.carried = append(cn.carried, id)
	}
	return cn, err
}

// exchange writes the request and reads the response. The second result reports
// whether the connection can be reused.
func (c *Client) exchange(ctx context.Context, cn *conn, r *Request) (*Response, bool, error) {
	if err := cn.SetDeadline(r.Deadline); err != nil {
		return nil, false, ErrNotSent.Wrap(err)
	}
	if r.Idempotent {
		stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
		defer stop()
	}
	buf := buffers.Get().(*[]byte)
	*buf = c.encode((*buf)[:0], r)
	err := writeRequest(cn.Conn, buf, r.Body)
	buffers.Put(buf)
	if r.Written != nil {
		r.Written()
	}
	if err != nil {
		return nil, false, ErrUnknownOutcome.Wrap(err)
	}
	return c.receive(ctx, cn, r)
}

// encode appends the head of the request in its wire format.
func (c *Client) encode(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendHeader(b, "Host", r.Host)
	for _, h := range r.Header {
		b = appendHeader(b, h[0], h[1])
	}
	remainingMs := max(time.Until(r.Deadline).Milliseconds(), 1)
	b = appendHeader(b, c.headers.Deadline, strconv.FormatInt(remainingMs, 10))
	if r.Instance != "" {
		b = appendHeader(b, c.headers.Instance, r.Instance)
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = appendHeader(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	return append(b, "\r\n"...)
}

func appendHeader(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

var (
	errOtherRequest = errors.New("the answer belongs to another request")
	errEncoded      = errors.New("the answer is encoded")
	errNoProof      = errors.New("the answer lacks the server's proof")
	// errContradiction is a success that states that the request was not run.
	errContradiction = errors.New("the answer contradicts itself")
)

// receive reads a response and checks that it is complete and belongs to the
// request.
func (c *Client) receive(ctx context.Context, cn *conn, r *Request) (*Response, bool, error) {
	resp, err := cn.readHead(&http.Request{Method: r.Method})
	if err != nil {
		return nil, false, ErrUnknownOutcome.Wrap(err)
	}
	body, err := c.readBody(ctx, resp)
	if err != nil {
		return nil, false, ErrUnknownOutcome.Wrap(err)
	}
	out := &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}
	out.NotRun = resp.Header.Get(c.headers.NotRun) != "" || resp.StatusCode == http.StatusMisdirectedRequest
	id := resp.Header.Get(c.headers.RequestID)
	switch {
	case id != r.ID && (id != "" || len(cn.carried) > 1):
		return nil, false, ErrUnknownOutcome.Wrap(errOtherRequest)
	case out.NotRun && resp.StatusCode/100 == 2:
		return nil, false, ErrUnknownOutcome.Wrap(errContradiction)
	case out.NotRun:
	case id == "":
		return nil, false, ErrUnknownOutcome.Wrap(errOtherRequest)
	case resp.Header.Get("Content-Encoding") != "":
		return nil, false, ErrUnknownOutcome.Wrap(errEncoded)
	case resp.StatusCode/100 == 2 && resp.Header.Get(c.headers.Proof) == "":
		return nil, false, ErrUnknownOutcome.Wrap(errNoProof)
	}
	if resp.StatusCode != http.StatusMisdirectedRequest {
		n, err := c.notice(resp.Header)
		out.Notice, out.NoticeErr = &n, err
		out.Slowness, out.SlownessErr = c.slowness(resp.Header)
	}
	cn.idleLimit = keepAliveTimeout(resp.Header)
	reusable := !resp.Close && cn.br.Buffered() == 0 && cn.idleLimit > 0 && r.ID != "" && len(cn.carried) < maxRequestsPerConn
	return out, reusable, nil
}

// IsConnectionEnd reports whether the server's side ended the connection of a request
// that was sent, as it does when its process ends.
func IsConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Refuses reports whether the server's address refuses connections, so that its process
// has ended.
func (c *Client) Refuses(ctx context.Context) bool {
	cn, err := c.pool.dial(ctx)
	if err == nil {
		// A connection costs the server time, so it is used.
		c.pool.put(cn)
		return false
	}
	return IsConnectionRefused(err)
}

// IsConnectionRefused reports whether err means that nothing listens at the
// address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"fulmarhinge/internal/bodymem"
	"fulmarhinge/internal/listener"
	"fulmarhinge/internal/membudget"
	"fulmarhinge/internal/peer"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/route"
	"fulmarhinge/internal/wire"
)

const (
	// defaultMaxBodyBytes bounds a body where the configuration does not.
	defaultMaxBodyBytes = 16 << 20
	// bodyProgressTimeout is how long a caller may take for 16 KiB of a body.
	bodyProgressTimeout = 10 * time.Second
)

// beginRequest takes over the memory of the caller's connection. The returned function is
// to be called when the response is written.
func (q *request) beginRequest() func() {
	q.conn = listener.ConnOf(q.http)
	if q.conn == nil {
		return func() {}
	}
	q.memory = q.conn.BeginRequest()
	return q.conn.EndRequest
}

// readBody reads the request's body. A caller that sends nothing for bodyProgressTimeout,
// or is not done by the deadline, is refused.
func (q *request) readBody(w http.ResponseWriter, limits route.Limits) *wire.ResponseHead {
	if q.http.ContentLength == 0 {
		return q.bodyRead()
	}
	limit := int64(defaultMaxBodyBytes)
	if limits.MaxBodyBytes > 0 {
		limit = limits.MaxBodyBytes
	}
	// What does not fit the memory even alone would never be accepted.
	limit = min(limit, q.memory.MaxLarge())
	control := http.NewResponseController(w)
	progress := func() {
		q.memory.Progress()
		deadline := time.Now().Add(bodyProgressTimeout)
		if q.deadline.Before(deadline) {
			deadline = q.deadline
		}
		// The error says that the writer has no deadlines, as in tests.
		_ = control.SetReadDeadline(deadline)
	}
	body, err := bodymem.Read(q.http.Context(), q.memory, (*bodymem.Holder).TryAcquire, q.http.Body, q.http.ContentLength, limit, progress)
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		q.body = body
		return q.bodyRead()
	case errors.Is(err, bodymem.ErrOverLimit), errors.Is(err, bodymem.ErrTooLarge):
		return q.closeAfter(w, refusal(result.BodyTooLarge, 0))
	case errors.Is(err, bodymem.ErrExhausted):
		return q.closeAfter(w, refusal(result.MemoryExhausted, bodymem.RetryAfter))
	case !q.memory.SetPhase(membudget.Receiving):
		// The connection was closed to free its memory.
		return refusal(result.MemoryExhausted, bodymem.RetryAfter)
	default:
		return q.closeAfter(w, refusal(result.SlowSender, 0))
	}
}

// closeAfter makes the server close the connection after a refusal, rather than read the
// rest of the body.
func (q *request) closeAfter(w http.ResponseWriter, h *wire.ResponseHead) *wire.ResponseHead {
	w.Header().Set("Connection", "close")
	return h
}

// bodyRead marks the request as running, unless its connection was ended to free memory.
func (q *request) bodyRead() *wire.ResponseHead {
	if !q.memory.SetPhase(membudget.Running) {
		return refusal(result.MemoryExhausted, bodymem.RetryAfter)
	}
	if q.conn != nil {
		q.conn.SetRunning(true)
	}
	return nil
}

// readResponse reads the response of another node into memory of the request.
func readResponse(ctx context.Context, conn net.Conn, h *wire.ResponseHead) ([]byte, error) {
	if err := peer.ReadUnaryHead(conn, h); err != nil {
		return nil, err
	}
	length := h.GetContentLength()
	body, err := peer.UnaryBody(conn, length)
	if err != nil {
		return nil, err
	}
	return bodymem.Read(ctx, bodymem.HolderOf(ctx), (*bodymem.Holder).Acquire, body, length, peer.MaxUnaryBodyBytes, func() {})
}

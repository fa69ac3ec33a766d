package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"fulmarhinge/internal/backend"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/peer"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/view"
	"fulmarhinge/internal/wire"
)

const (
	// outcomeGracePeriod is how long the entry node waits beyond the deadline
	// for the owner to report whether the request ran.
	outcomeGracePeriod = 20 * time.Millisecond
	// hopLatencyMargin is subtracted from the deadline that is sent to the
	// owner, so that its response arrives before the deadline of the entry
	// node.
	hopLatencyMargin = 2 * time.Millisecond
)

var frameBuffers = sync.Pool{New: func() any { b := make([]byte, peer.FrameHeaderSize+peer.MaxDataBytes); return &b }}

func hostHeader(r *http.Request) *wire.Header {
	return &wire.Header{Name: "Host", Value: r.Host}
}

// attempt sends the request to the gate of a member, without the peer transport
// if that is this node.
func (s *Server) attempt(ctx context.Context, v *view.View, a *attempts, unit cluster.Unit, m *cluster.Member) *result.Error {
	deadline, _ := ctx.Deadline()
	head := a.request.wireHead(v, unit, time.Until(deadline))
	if m.Name == v.Self.Name {
		return s.gate.Do(ctx, head, a.request.body.newReader(), a.response)
	}
	if a.request.service.DividedByKey {
		return s.sendToOwner(ctx, v, a, head, m)
	}
	return s.sendDirect(ctx, a, head, m)
}

// openError returns the error of a request for which no stream could be opened.
func openError(ctx context.Context) *result.Error {
	if ctx.Err() != nil {
		return notDispatchedError(ctx, nil)
	}
	return result.New(result.PeerUnreachable)
}

// sendOverStream sends the request over conn, a stream that carries only this
// request, receives the response and closes the stream.
func (s *Server) sendOverStream(ctx context.Context, conn net.Conn, head *wire.RequestHead, a *attempts) *result.Error {
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline.Add(outcomeGracePeriod))
	stop := context.AfterFunc(ctx, func() {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			_ = conn.SetDeadline(time.Now())
		}
	})
	defer stop()
	head.DeadlineMs = uint64(max((time.Until(deadline) - hopLatencyMargin).Milliseconds(), 1))
	e := &exchange{conn: conn, attempts: a, done: make(chan struct{}), continueCh: make(chan struct{})}
	defer close(e.done)
	if err := e.sendHead(head); err != nil {
		return e.streamError(ctx)
	}
	return e.receive(ctx)
}

// exchange is one request and its response on one stream.
type exchange struct {
	conn     net.Conn
	attempts *attempts
	// continueCh is closed when the owner asks for the rest of the body, done
	// when the exchange is over.
	continueCh       chan struct{}
	continueReceived bool
	done             chan struct{}
	receivedBytes    uint64
}

// sendHead writes the request head and starts sending the body if there is one.
func (e *exchange) sendHead(head *wire.RequestHead) error {
	frame, err := peer.AppendFrame(nil, peer.FrameHead, head)
	if err != nil {
		return err
	}
	if head.GetContentLength() == 0 {
		if frame, err = peer.AppendFrame(frame, peer.FrameEnd, &wire.BodyEnd{}); err != nil {
			return err
		}
	}
	if _, err = e.conn.Write(frame); err != nil {
		return err
	}
	if head.GetContentLength() != 0 {
		body := e.attempts.request.body.newReader()
		body.done = e.done
		if !backend.FitsReplayBuffer(head.GetContentLength()) {
			body.continueCh = e.continueCh
		}
		go e.sendBody(body)
	}
	return nil
}

// sendBody sends the body until it ends or the stream breaks.
func (e *exchange) sendBody(body io.Reader) {
	buf := frameBuffers.Get().(*[]byte)
	defer frameBuffers.Put(buf)
	end := &wire.BodyEnd{}
	for {
		n, err := body.Read((*buf)[peer.FrameHeaderSize:])
		if n > 0 {
			peer.PutFrameHeader(*buf, peer.FrameData, n)
			if _, werr := e.conn.Write((*buf)[:peer.FrameHeaderSize+n]); werr != nil {
				return
			}
			end.Length += uint64(n)
		}
		if err == nil {
			continue
		}
		if err != io.EOF {
			end.Code = uint32(bodyErrorCode(err))
		}
		break
	}
	if frame, err := peer.AppendFrame(nil, peer.FrameEnd, end); err == nil {
		_, _ = e.conn.Write(frame)
	}
}

func bodyErrorCode(err error) result.Code {
	var bodyErr *backend.BodyError
	if errors.As(err, &bodyErr) {
		return bodyErr.Code
	}
	return result.CancelledBefore
}

// receive forwards the response to the caller. The head is checked before
// anything is written to the caller, so a refusal can lead to another attempt.
func (e *exchange) receive(ctx context.Context) *result.Error {
	buf := frameBuffers.Get().(*[]byte)
	defer frameBuffers.Put(buf)
	for {
		kind, size, err := peer.ReadFrameHeader(e.conn)
		if err != nil {
			return e.streamError(ctx)
		}
		switch kind {
		case peer.FrameContinue:
			e.handleContinue()
		case peer.FrameHead:
			if refusal := e.handleHead(ctx, size); refusal != nil {
				return refusal
			}
		case peer.FrameData:
			if refusal := e.handleData(ctx, (*buf)[:size]); refusal != nil {
				return refusal
			}
		case peer.FrameEnd:
			return e.handleEnd(ctx, size)
		}
	}
}

func (e *exchange) handleContinue() {
	if !e.continueReceived {
		e.continueReceived = true
		close(e.continueCh)
	}
}

func (e *exchange) handleHead(ctx context.Context, size int) *result.Error {
	var h wire.ResponseHead
	if err := peer.ReadMessage(e.conn, size, &h); err != nil {
		return e.streamError(ctx)
	}
	if h.GetId() != e.attempts.request.id {
		return result.Errorf(result.AnswerCut, "The owner's node sent the answer of another request.")
	}
	if c := result.Code(h.GetCode()); c != result.OK {
		return &result.Error{
			Code: c, Message: h.GetMessage(),
			RetryAfter: time.Duration(h.GetRetryAfterMs()) * time.Millisecond,
		}
	}
	if err := e.attempts.response.Head(&h); err != nil {
		return result.Errorf(result.AnswerCut, "The owner's node sent a malformed answer.")
	}
	return nil
}

func (e *exchange) handleData(ctx context.Context, p []byte) *result.Error {
	if _, err := io.ReadFull(e.conn, p); err != nil {
		return e.streamError(ctx)
	}
	if !e.attempts.response.headSent {
		return result.Errorf(result.AnswerCut, "The owner's node sent a body without a head.")
	}
	e.receivedBytes += uint64(len(p))
	if _, err := e.attempts.response.Write(p); err != nil {
		return result.New(result.CancelledAfter)
	}
	return nil
}

// handleEnd checks that the response is complete.
func (e *exchange) handleEnd(ctx context.Context, size int) *result.Error {
	var end wire.BodyEnd
	if err := peer.ReadMessage(e.conn, size, &end); err != nil {
		return e.streamError(ctx)
	}
	if c := result.Code(end.GetCode()); result.Lookup(c).Kind == result.NotRun {
		// A request with a partial response has run, regardless of the code.
		return result.New(result.AnswerCut)
	} else if c != 0 {
		return result.New(c)
	}
	resp := e.attempts.response
	incomplete := resp.contentLength >= 0 && resp.method != http.MethodHead && e.receivedBytes != uint64(resp.contentLength)
	if !resp.headSent || end.GetLength() != e.receivedBytes || incomplete {
		return result.New(result.AnswerCut)
	}
	return nil
}

// streamError classifies a stream that ended early. The request head was sent,
// so the request may have run unless reading its body failed before dispatch.
func (e *exchange) streamError(ctx context.Context) *result.Error {
	req := e.attempts.request
	code, beforeDispatch := req.body.errorBeforeDispatch(req.httpRequest.ContentLength)
	switch {
	case beforeDispatch:
		return result.New(code)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.New(result.DeadlineAfter)
	case ctx.Err() != nil:
		return result.New(result.CancelledAfter)
	default:
		return result.New(result.OwnerLost)
	}
}

var _ backend.ResponseSink = (*response)(nil)

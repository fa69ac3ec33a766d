package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/peer"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

const (
	// headTimeout limits how long a peer may take to send a request head.
	headTimeout = 5 * time.Second
	// finalWriteTimeout is the additional time for writing the last frame after
	// the request's deadline or cancellation.
	finalWriteTimeout = time.Second
)

// ReplayBufferBytes is how many bytes of a request body are buffered by the node
// that received it from the caller, so that this node can resend a request that
// did not run. It sends the bytes after these only once it has received
// FrameContinue.
const ReplayBufferBytes = 64 << 10

// FitsReplayBuffer reports whether a body of this length is buffered completely;
// length is -1 if unknown.
func FitsReplayBuffer(length int64) bool { return length >= 0 && length <= ReplayBufferBytes }

// ServeStream handles one request that a peer sent over a stream.
func (g *Gate) ServeStream(ctx context.Context, from cluster.MemberRef, conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(headTimeout))
	head, err := readHead(conn)
	s := &streamSink{conn: conn, wantContinue: !FitsReplayBuffer(head.GetContentLength())}
	if err != nil {
		g.log.Warn("failed to read the request of a peer", "from", from, "error", err)
		s.refuse("", result.New(result.PeerMalformed))
		return
	}
	deadline := time.Now().Add(time.Duration(head.GetDeadlineMs()) * time.Millisecond)
	// A stalled peer must not keep the request open beyond its deadline.
	_ = conn.SetReadDeadline(deadline.Add(finalWriteTimeout))
	if g.shouldForward(head) {
		// The request counts as in flight, so that a planned stop waits for it.
		g.inFlight.total.Add(1)
		defer g.inFlight.total.Add(-1)
		if refusal := g.forward(ctx, head, conn); refusal != nil {
			_ = conn.SetWriteDeadline(time.Now().Add(finalWriteTimeout))
			s.refuse(head.GetId(), refusal)
		}
		return
	}
	_ = conn.SetWriteDeadline(deadline.Add(finalWriteTimeout))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// When the request ends, a write that is blocked by the peer's flow
	// control window is limited to finalWriteTimeout.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetWriteDeadline(time.Now().Add(finalWriteTimeout)) })
	defer stop()
	body := newStreamBody(conn, cancel)
	if head.GetContentLength() == 0 {
		go body.awaitEnd()
	}
	if refusal := g.Do(ctx, head, body, s); refusal != nil {
		s.refuse(head.GetId(), refusal)
		return
	}
	s.end(result.OK)
}

// shouldForward reports whether another node owns the request's key and the
// request may be forwarded once more.
func (g *Gate) shouldForward(head *wire.RequestHead) bool {
	v := g.src.Current()
	if head.GetHops() == 0 || g.forward == nil || v == nil {
		return false
	}
	_, assigned, ok := v.Locate(head.GetService(), head.GetKey())
	return ok && assigned.Owner != v.Self
}

func readHead(conn net.Conn) (*wire.RequestHead, error) {
	kind, size, err := peer.ReadFrameHeader(conn)
	if err != nil {
		return nil, err
	}
	if kind != peer.FrameHead {
		return nil, peer.ErrMalformed.New("expected a head frame, got frame kind %d", kind)
	}
	head := &wire.RequestHead{}
	return head, peer.ReadMessage(conn, size, head)
}

// streamBody reads a request body from the frames of a stream. After the last
// frame it waits for the stream to close, because the peer closes it early if
// its caller disconnects.
type streamBody struct {
	conn   io.Reader
	cancel context.CancelFunc
	mu     sync.Mutex
	// frameBytesLeft is the unread rest of the current data frame.
	frameBytesLeft int
	bytesRead      uint64
	err            error
}

func newStreamBody(conn io.Reader, cancel context.CancelFunc) *streamBody {
	return &streamBody{conn: conn, cancel: cancel}
}

// Read implements io.Reader. It returns a *BodyError if the body is truncated.
func (b *streamBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.frameBytesLeft == 0 && b.err == nil {
		b.err = b.nextFrame()
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.conn.Read(p[:min(len(p), b.frameBytesLeft)])
	b.frameBytesLeft -= n
	b.bytesRead += uint64(n)
	if err != nil {
		b.err = truncatedBody(err)
	}
	return n, b.err
}

func truncatedBody(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &BodyError{Code: result.CancelledBefore, Err: err}
}

func (b *streamBody) nextFrame() error {
	kind, size, err := peer.ReadFrameHeader(b.conn)
	if err != nil {
		b.cancel()
		return truncatedBody(err)
	}
	switch kind {
	case peer.FrameData:
		b.frameBytesLeft = size
		return nil
	case peer.FrameEnd:
		return b.readEnd(size)
	default:
		return &BodyError{
			Code: result.PeerMalformed,
			Err:  peer.ErrMalformed.New("unexpected frame kind %d inside a request body", kind),
		}
	}
}

func (b *streamBody) readEnd(size int) error {
	var end wire.BodyEnd
	if err := peer.ReadMessage(b.conn, size, &end); err != nil {
		return truncatedBody(err)
	}
	if end.GetCode() != 0 {
		return &BodyError{Code: result.Code(end.GetCode()), Err: io.ErrUnexpectedEOF}
	}
	if end.GetLength() != b.bytesRead {
		return &BodyError{
			Code: result.PeerMalformed,
			Err:  peer.ErrMalformed.New("body has %d bytes, its end frame specifies %d", b.bytesRead, end.GetLength()),
		}
	}
	go b.cancelOnClose()
	return io.EOF
}

// awaitEnd reads the end frame of an empty body.
func (b *streamBody) awaitEnd() {
	_, _ = b.Read(make([]byte, 1))
}

// cancelOnClose cancels the request when the peer closes its side of the stream.
// The peer sends nothing after the body, so any return of the read cancels it.
func (b *streamBody) cancelOnClose() {
	var one [1]byte
	_, _ = b.conn.Read(one[:])
	b.cancel()
}

// streamSink writes a response as frames.
type streamSink struct {
	conn         net.Conn
	mu           sync.Mutex
	started      bool
	bytesWritten uint64
	frame        []byte
	// wantContinue is true if the peer sends the rest of the body only after
	// FrameContinue.
	wantContinue bool
}

// Dispatched implements ResponseSink. It asks the peer for the rest of the body.
func (s *streamSink) Dispatched() {
	if !s.wantContinue {
		return
	}
	frame, err := peer.AppendFrame(nil, peer.FrameContinue, nil)
	if err == nil {
		_ = s.write(frame)
	}
}

func (s *streamSink) write(frame []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.conn.Write(frame)
	return err
}

// Head implements ResponseSink.
func (s *streamSink) Head(h *wire.ResponseHead) error {
	frame, err := peer.AppendFrame(nil, peer.FrameHead, h)
	if err != nil {
		return err
	}
	s.started = true
	return s.write(frame)
}

// Write implements ResponseSink.
func (s *streamSink) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		n := min(len(p), peer.MaxDataBytes)
		s.frame = append(s.frame[:0], make([]byte, peer.FrameHeaderSize)...)
		peer.PutFrameHeader(s.frame, peer.FrameData, n)
		s.frame = append(s.frame, p[:n]...)
		if err := s.write(s.frame); err != nil {
			return written, err
		}
		s.bytesWritten += uint64(n)
		written += n
		p = p[n:]
	}
	return written, nil
}

// end writes the last frame. A code other than OK marks a truncated body.
func (s *streamSink) end(c result.Code) {
	end := &wire.BodyEnd{Length: s.bytesWritten}
	if c != result.OK {
		end.Code = uint32(c)
	}
	if frame, err := peer.AppendFrame(nil, peer.FrameEnd, end); err == nil {
		_ = s.write(frame)
	}
}

// refuse ends the response with an error.
func (s *streamSink) refuse(id string, e *result.Error) {
	if !s.started {
		head := &wire.ResponseHead{
			Id: id, Status: uint32(result.Lookup(e.Code).Status), Code: uint32(e.Code),
			RetryAfterMs: uint64(e.RetryAfter.Milliseconds()), Message: e.Message,
		}
		if s.Head(head) != nil {
			return
		}
	}
	s.end(e.Code)
}

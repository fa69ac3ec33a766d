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
	// headTimeout bounds how long a peer may take to send a request head.
	headTimeout = 5 * time.Second
	// endTimeout bounds the writing of the last frame after the request's own
	// deadline has passed.
	endTimeout = time.Second
)

// ReplaySize is how many bytes of a request body an entry keeps, so that it can
// send a request again that did not run. It sends more only after FrameContinue.
const ReplaySize = 64 << 10

// FitsReplay reports whether a body of this length, -1 if unknown, is kept
// whole.
func FitsReplay(length int64) bool { return length >= 0 && length <= ReplaySize }

// ServeStream answers one request of a peer.
func (g *Gate) ServeStream(ctx context.Context, from cluster.MemberRef, conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(headTimeout))
	head, err := readHead(conn)
	s := &streamSink{conn: conn, wantContinue: !FitsReplay(head.GetContentLength())}
	if err != nil {
		g.log.Warn("request of a peer cannot be read", "from", from, "error", err)
		s.refuse("", result.New(result.PeerMalformed))
		return
	}
	deadline := time.Now().Add(time.Duration(head.GetDeadlineMs()) * time.Millisecond)
	// A peer that is frozen must not hold the request beyond its deadline.
	_ = conn.SetReadDeadline(deadline.Add(endTimeout))
	if g.passesOn(head) {
		// It counts as in flight, so that a planned stop lets it end.
		g.count.total.Add(1)
		defer g.count.total.Add(-1)
		if refusal := g.passOn(ctx, head, conn); refusal != nil {
			_ = conn.SetWriteDeadline(time.Now().Add(endTimeout))
			s.refuse(head.GetId(), refusal)
		}
		return
	}
	_ = conn.SetWriteDeadline(deadline.Add(endTimeout))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A write that waits for the peer's window ends with the request.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetWriteDeadline(time.Now().Add(endTimeout)) })
	defer stop()
	body := newStreamBody(conn, cancel)
	if head.GetContentLength() == 0 {
		go body.finish()
	}
	if refusal := g.Do(ctx, head, body, s); refusal != nil {
		s.refuse(head.GetId(), refusal)
		return
	}
	s.end(result.OK)
}

// passesOn reports whether a request is for another node and may be passed on.
func (g *Gate) passesOn(head *wire.RequestHead) bool {
	v := g.src.Current()
	if head.GetHops() == 0 || g.passOn == nil || v == nil {
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
		return nil, peer.ErrMalformed.New("expected a head, got kind %d", kind)
	}
	head := &wire.RequestHead{}
	return head, peer.ReadMessage(conn, size, head)
}

// streamBody reads a request body from the frames of a stream. After the last
// frame it watches the stream: the peer ends it early if its caller has left.
type streamBody struct {
	conn   io.Reader
	cancel context.CancelFunc
	mu     sync.Mutex
	// left is what remains of the present data frame.
	left  int
	total uint64
	err   error
}

func newStreamBody(conn io.Reader, cancel context.CancelFunc) *streamBody {
	return &streamBody{conn: conn, cancel: cancel}
}

// Read implements io.Reader. A body that is cut gives a *BodyError.
func (b *streamBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.left == 0 && b.err == nil {
		b.err = b.nextFrame()
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.conn.Read(p[:min(len(p), b.left)])
	b.left -= n
	b.total += uint64(n)
	if err != nil {
		b.err = cutBody(err)
	}
	return n, b.err
}

func cutBody(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &BodyError{Code: result.CancelledBefore, Err: err}
}

func (b *streamBody) nextFrame() error {
	kind, size, err := peer.ReadFrameHeader(b.conn)
	if err != nil {
		b.cancel()
		return cutBody(err)
	}
	switch kind {
	case peer.FrameData:
		b.left = size
		return nil
	case peer.FrameEnd:
		return b.endFrame(size)
	default:
		return &BodyError{Code: result.PeerMalformed, Err: peer.ErrMalformed.New("kind %d inside a body", kind)}
	}
}

func (b *streamBody) endFrame(size int) error {
	var end wire.BodyEnd
	if err := peer.ReadMessage(b.conn, size, &end); err != nil {
		return cutBody(err)
	}
	if end.GetCode() != 0 {
		return &BodyError{Code: result.Code(end.GetCode()), Err: io.ErrUnexpectedEOF}
	}
	if end.GetLength() != b.total {
		return &BodyError{Code: result.PeerMalformed, Err: peer.ErrMalformed.New("body of %d bytes ends at %d", b.total, end.GetLength())}
	}
	go b.watch()
	return io.EOF
}

// finish reads the end of an empty body.
func (b *streamBody) finish() {
	_, _ = b.Read(make([]byte, 1))
}

// watch cancels the request once the peer closes its side. The peer sends
// nothing after the body, so any return ends the watch.
func (b *streamBody) watch() {
	var one [1]byte
	_, _ = b.conn.Read(one[:])
	b.cancel()
}

// streamSink writes an answer as frames.
type streamSink struct {
	conn    net.Conn
	mu      sync.Mutex
	started bool
	total   uint64
	buf     []byte
	// wantContinue is true if the peer holds back part of the body.
	wantContinue bool
}

// Dispatched tells the peer to send the rest of the body.
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
		n := min(len(p), peer.MaxData)
		s.buf = append(s.buf[:0], make([]byte, peer.FrameHeader)...)
		peer.PutFrameHeader(s.buf, peer.FrameData, n)
		s.buf = append(s.buf, p[:n]...)
		if err := s.write(s.buf); err != nil {
			return written, err
		}
		s.total += uint64(n)
		written += n
		p = p[n:]
	}
	return written, nil
}

// end writes the last frame; a code other than OK says that the body was cut.
func (s *streamSink) end(c result.Code) {
	end := &wire.BodyEnd{Length: s.total}
	if c != result.OK {
		end.Code = uint32(c)
	}
	if frame, err := peer.AppendFrame(nil, peer.FrameEnd, end); err == nil {
		_ = s.write(frame)
	}
}

// refuse ends the answer with an error.
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

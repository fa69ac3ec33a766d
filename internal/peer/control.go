package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/wire"
)

// Bounds of the queue to one address.
const (
	queueLength = 256
	// queueBytes bounds the memory that messages to an unreachable peer hold.
	queueBytes = 8 << 20
	// Leases must be renewed soon after a cut ends, so the backoff stays short.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
	// senderIdle ends the goroutine of an address that is no longer written to,
	// since VMs are replaced every day.
	senderIdle = 10 * time.Minute
	// staleAfter is the age at which a queued message is no longer worth
	// sending; its sender has repeated it by then.
	staleAfter = time.Second
)

type queued struct {
	bytes []byte
	at    time.Time
}

// sender owns the outgoing control session to one address.
type sender struct {
	t     *Transport
	addr  string
	queue chan queued
	bytes atomic.Int64
	// broken counts sessions that ended by an error.
	broken atomic.Int64
}

// Send queues a control message for a peer and returns at once. The message is
// dropped if the queue is full, or if the peer cannot be reached soon.
func (t *Transport) Send(addr string, m *wire.Control) {
	b, err := appendSized(nil, m, MaxControl)
	if err != nil {
		t.messagesDropped.Add(1)
		t.log.Warn("control message not sent", "to", addr, "error", err)
		return
	}
	s := t.sender(addr)
	if s.bytes.Add(int64(len(b))) > queueBytes {
		s.drop(len(b))
		return
	}
	select {
	case s.queue <- queued{bytes: b, at: time.Now()}:
	default:
		s.drop(len(b))
	}
}

func (s *sender) drop(size int) {
	s.bytes.Add(-int64(size))
	s.t.messagesDropped.Add(1)
}

func (t *Transport) sender(addr string) *sender {
	if s, ok := t.senders.Load(addr); ok {
		return s.(*sender)
	}
	s := &sender{t: t, addr: addr, queue: make(chan queued, queueLength)}
	if other, loaded := t.senders.LoadOrStore(addr, s); loaded {
		return other.(*sender)
	}
	go s.run()
	return s
}

// run connects whenever there is something to send, until the transport ends.
// A message whose write failed is sent again on the next session; receivers
// bear repetitions.
func (s *sender) run() {
	backoff := minBackoff
	var q queued
	for s.t.ctx.Err() == nil {
		if time.Since(q.at) > staleAfter {
			if q.bytes != nil {
				s.t.messagesDropped.Add(1)
			}
			var ok bool
			if q, ok = s.next(nil); !ok {
				if s.retire() {
					return
				}
				continue
			}
		}
		started := time.Now()
		unsent, err := s.session(q)
		q = unsent
		if time.Since(started) > maxBackoff {
			backoff = minBackoff
		}
		if err == nil || s.t.ctx.Err() != nil {
			continue
		}
		s.broken.Add(1)
		s.t.log.Warn("control session ended", "to", s.addr, "error", err)
		s.pause(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// retire removes an idle sender. It reports false if a message came in between;
// one that comes later still is lost, as it may be on any connection.
func (s *sender) retire() bool {
	s.t.senders.CompareAndDelete(s.addr, s)
	return len(s.queue) == 0 || s.t.ctx.Err() != nil
}

// next waits for a message that is not stale. It reports false if the session
// has closed, was idle for long, or the transport ended; a nil channel means
// that there is no session.
func (s *sender) next(closed <-chan struct{}) (queued, bool) {
	idleAfter := s.t.senderIdle
	if closed != nil {
		idleAfter = idleTimeout
	}
	idle := time.NewTimer(idleAfter)
	defer idle.Stop()
	for {
		select {
		case q := <-s.queue:
			if time.Since(q.at) > staleAfter {
				s.drop(len(q.bytes))
				continue
			}
			s.bytes.Add(-int64(len(q.bytes)))
			return q, true
		case <-closed:
			return queued{}, false
		case <-idle.C:
			return queued{}, false
		case <-s.t.ctx.Done():
			return queued{}, false
		}
	}
}

func (s *sender) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.t.ctx.Done():
	}
}

// session sends first and then all that is queued, until the session breaks or
// is idle. It returns the message that was not sent; an idle end is no error.
func (s *sender) session(first queued) (queued, error) {
	conn, _, err := s.t.dial(s.addr, controlSession)
	if err != nil {
		return first, err
	}
	defer conn.Close()
	stop := context.AfterFunc(s.t.ctx, func() { _ = conn.Close() })
	defer stop()
	counted := &countedConn{Conn: conn, t: s.t}
	mux, err := yamux.Client(counted, sessionConfig(controlKeepalive, controlWrite))
	if err != nil {
		return first, err
	}
	defer mux.Close()
	stream, err := mux.OpenStream()
	if err != nil {
		return first, err
	}
	return s.drain(mux, stream, first)
}

func (s *sender) drain(mux *yamux.Session, stream net.Conn, q queued) (queued, error) {
	for {
		// The write fails once the peer no longer takes what it is sent, so a
		// cut session does not hold the queue up for longer than this.
		if err := stream.SetWriteDeadline(time.Now().Add(controlWrite)); err != nil {
			return q, err
		}
		if _, err := stream.Write(q.bytes); err != nil {
			return q, err
		}
		s.t.messagesSent.Add(1)
		var ok bool
		if q, ok = s.next(mux.CloseChan()); ok {
			continue
		}
		if mux.IsClosed() {
			return queued{}, ErrUnreachable.New("the session broke")
		}
		return queued{}, nil
	}
}

// acceptControl reads control messages from a session that a peer opened.
func (t *Transport) acceptControl(from cluster.MemberRef, conn net.Conn) {
	counted := &countedConn{Conn: conn, t: t}
	mux, err := yamux.Server(counted, sessionConfig(acceptedKeepalive, acceptedWrite))
	if err != nil {
		return
	}
	defer mux.Close()
	stream, err := mux.AcceptStream()
	if err != nil {
		return
	}
	for {
		if err = stream.SetReadDeadline(time.Now().Add(idleTimeout + time.Second)); err != nil {
			return
		}
		m := &wire.Control{}
		if err = readSized(stream, m, MaxControl); err != nil {
			t.controlEnded(from, err)
			return
		}
		t.messagesReceived.Add(1)
		t.onControl(from, m)
	}
}

func (t *Transport) controlEnded(from cluster.MemberRef, err error) {
	if ErrMalformed.Has(err) {
		t.log.Warn("control session closed", "from", from, "error", err)
		return
	}
	if !errors.Is(err, io.EOF) && t.ctx.Err() == nil {
		t.log.Debug("control session ended", "from", from, "error", err)
	}
}

// countedConn counts the bytes of a control session.
type countedConn struct {
	net.Conn
	t *Transport
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.t.bytesReceived.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.t.bytesSent.Add(uint64(n))
	return n, err
}

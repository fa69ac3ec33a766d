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

// Limits and timeouts for the control messages to one address.
const (
	maxQueuedMessages = 256
	// maxQueuedBytes bounds the memory used by messages to an unreachable peer.
	maxQueuedBytes = 8 << 20
	// Leases must be renewed soon after a network partition ends, so the backoff
	// of reconnects stays short.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
	// senderIdleTimeout ends the goroutine of an address without new messages;
	// VMs are replaced every day, so old addresses would accumulate.
	senderIdleTimeout = 10 * time.Minute
	// maxMessageAge is the age above which a queued message is dropped, since
	// its sender has repeated it by then.
	maxMessageAge = time.Second
)

// queuedMessage is an encoded control message and the time when it was queued.
type queuedMessage struct {
	encoded  []byte
	queuedAt time.Time
}

// sender owns the outgoing control session to one address.
type sender struct {
	t           *Transport
	addr        string
	queue       chan queuedMessage
	queuedBytes atomic.Int64
	// failedSessions counts sessions that ended with an error.
	failedSessions atomic.Int64
}

// Send queues a control message for a peer without blocking. The message is
// dropped if the queue is full or if the peer cannot be reached within
// maxMessageAge.
func (t *Transport) Send(addr string, m *wire.Control) {
	b, err := appendSized(nil, m, MaxControlBytes)
	if err != nil {
		t.messagesDropped.Add(1)
		t.log.Warn("control message not sent", "to", addr, "error", err)
		return
	}
	s := t.senderFor(addr)
	if s.queuedBytes.Add(int64(len(b))) > maxQueuedBytes {
		s.drop(len(b))
		return
	}
	select {
	case s.queue <- queuedMessage{encoded: b, queuedAt: time.Now()}:
	default:
		s.drop(len(b))
	}
}

func (s *sender) drop(size int) {
	s.queuedBytes.Add(-int64(size))
	s.t.messagesDropped.Add(1)
}

func (t *Transport) senderFor(addr string) *sender {
	if s, ok := t.senders.Load(addr); ok {
		return s.(*sender)
	}
	s := &sender{t: t, addr: addr, queue: make(chan queuedMessage, maxQueuedMessages)}
	if other, loaded := t.senders.LoadOrStore(addr, s); loaded {
		return other.(*sender)
	}
	go s.run()
	return s
}

// run opens a session whenever there is a message to send, until the transport
// is closed. A message whose write failed is sent again on the next session;
// receivers tolerate duplicates.
func (s *sender) run() {
	backoff := minBackoff
	var q queuedMessage
	for s.t.ctx.Err() == nil {
		if time.Since(q.queuedAt) > maxMessageAge {
			if q.encoded != nil {
				s.t.messagesDropped.Add(1)
			}
			var ok bool
			if q, ok = s.next(nil); !ok {
				if s.unregister() {
					return
				}
				continue
			}
		}
		started := time.Now()
		unsent, err := s.runSession(q)
		q = unsent
		if time.Since(started) > maxBackoff {
			backoff = minBackoff
		}
		if err == nil || s.t.ctx.Err() != nil {
			continue
		}
		s.failedSessions.Add(1)
		s.t.log.Warn("control session ended", "to", s.addr, "error", err)
		s.sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// unregister removes an idle sender. It reports false if a message was queued in
// the meantime, so that run must continue. A message that is queued after this
// check is lost; senders tolerate that, since any connection can lose messages.
func (s *sender) unregister() bool {
	s.t.senders.CompareAndDelete(s.addr, s)
	return len(s.queue) == 0 || s.t.ctx.Err() != nil
}

// next waits for a message that is not older than maxMessageAge. It reports
// false if the session was closed, the idle timeout expired or the transport was
// closed. A nil channel means that there is no session.
func (s *sender) next(closed <-chan struct{}) (queuedMessage, bool) {
	idleTimeout := s.t.senderIdleTimeout
	if closed != nil {
		idleTimeout = controlIdleTimeout
	}
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case q := <-s.queue:
			if time.Since(q.queuedAt) > maxMessageAge {
				s.drop(len(q.encoded))
				continue
			}
			s.queuedBytes.Add(-int64(len(q.encoded)))
			return q, true
		case <-closed:
			return queuedMessage{}, false
		case <-idle.C:
			return queuedMessage{}, false
		case <-s.t.ctx.Done():
			return queuedMessage{}, false
		}
	}
}

func (s *sender) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.t.ctx.Done():
	}
}

// runSession opens a session and sends first and then all queued messages, until
// the session fails or is idle. It returns the message that was not sent. The
// end of an idle session is not an error.
func (s *sender) runSession(first queuedMessage) (queuedMessage, error) {
	conn, _, err := s.t.dial(s.addr, controlSession)
	if err != nil {
		return first, err
	}
	defer conn.Close()
	stop := context.AfterFunc(s.t.ctx, func() { _ = conn.Close() })
	defer stop()
	counted := newCountingConn(s.t, conn)
	mux, err := yamux.Client(counted, sessionConfig(controlKeepalive, controlWriteTimeout))
	if err != nil {
		return first, err
	}
	defer mux.Close()
	stream, err := mux.OpenStream()
	if err != nil {
		return first, err
	}
	return s.sendQueued(mux, stream, first)
}

// sendQueued sends q and then all queued messages on the stream; see runSession.
func (s *sender) sendQueued(mux *yamux.Session, stream net.Conn, q queuedMessage) (queuedMessage, error) {
	for {
		// The deadline makes the write fail if the peer does not read, so a
		// partitioned session blocks the queue for no longer than this.
		if err := stream.SetWriteDeadline(time.Now().Add(controlWriteTimeout)); err != nil {
			return q, err
		}
		if _, err := stream.Write(q.encoded); err != nil {
			return q, err
		}
		s.t.messagesSent.Add(1)
		var ok bool
		if q, ok = s.next(mux.CloseChan()); ok {
			continue
		}
		if mux.IsClosed() {
			return queuedMessage{}, ErrUnreachable.New("session closed unexpectedly")
		}
		return queuedMessage{}, nil
	}
}

// serveControl receives the control messages of a session that a peer opened.
func (t *Transport) serveControl(from cluster.MemberRef, conn net.Conn) {
	counted := newCountingConn(t, conn)
	mux, err := yamux.Server(counted, sessionConfig(acceptedKeepalive, acceptedWriteTimeout))
	if err != nil {
		return
	}
	defer mux.Close()
	stream, err := mux.AcceptStream()
	if err != nil {
		return
	}
	for {
		if err = stream.SetReadDeadline(time.Now().Add(controlIdleTimeout + time.Second)); err != nil {
			return
		}
		m := &wire.Control{}
		if err = readSized(stream, m, MaxControlBytes); err != nil {
			t.logControlEnd(from, err)
			return
		}
		t.messagesReceived.Add(1)
		t.onControl(from, m)
	}
}

func (t *Transport) logControlEnd(from cluster.MemberRef, err error) {
	if ErrMalformed.Has(err) {
		t.log.Warn("control session closed", "from", from, "error", err)
		return
	}
	if !errors.Is(err, io.EOF) && t.ctx.Err() == nil {
		t.log.Debug("control session ended", "from", from, "error", err)
	}
}

// countingConn counts the bytes of a control session.
type countingConn struct {
	sessionConn
	t *Transport
}

func newCountingConn(t *Transport, conn net.Conn) *countingConn {
	return &countingConn{sessionConn: sessionConn{Conn: conn}, t: t}
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.sessionConn.Read(p)
	c.t.bytesReceived.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.t.bytesSent.Add(uint64(n))
	return n, err
}

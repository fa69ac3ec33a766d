package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/disconnect"
	"fulmarhinge/internal/logging"
)

// trafficClient manages the outgoing traffic session to one address.
type trafficClient struct {
	mu  sync.Mutex
	mux *yamux.Session
	// dialDone is closed when the dial in progress ends; nil if there is none.
	dialDone chan struct{}
	dialErr  error
}

// Open opens a traffic stream to the peer at addr and dials if there is no
// session. If it returns an error, nothing of the request was sent; the error is
// of class ErrUnreachable.
func (t *Transport) Open(ctx context.Context, addr string) (net.Conn, error) {
	c := t.trafficClientFor(addr)
	mux, err := c.session(ctx, t, addr)
	if err != nil {
		return nil, ErrUnreachable.Wrap(err)
	}
	stream, err := mux.OpenStream()
	if err != nil {
		return nil, ErrUnreachable.Wrap(err)
	}
	return stream, nil
}

// Connected reports whether there is an open traffic session to the peer at
// addr, so that Open would not dial.
func (t *Transport) Connected(addr string) bool {
	c, ok := t.trafficClients.Load(addr)
	if !ok {
		return false
	}
	return c.(*trafficClient).connected()
}

func (c *trafficClient) connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mux != nil && !c.mux.IsClosed()
}

func (t *Transport) trafficClientFor(addr string) *trafficClient {
	if c, ok := t.trafficClients.Load(addr); ok {
		return c.(*trafficClient)
	}
	c, _ := t.trafficClients.LoadOrStore(addr, &trafficClient{})
	return c.(*trafficClient)
}

// session returns the open session. If there is none, it dials; concurrent
// callers share one dial.
func (c *trafficClient) session(ctx context.Context, t *Transport, addr string) (*yamux.Session, error) {
	c.mu.Lock()
	if c.mux != nil && !c.mux.IsClosed() {
		mux := c.mux
		c.mu.Unlock()
		return mux, nil
	}
	if c.dialDone == nil {
		done := make(chan struct{})
		c.dialDone = done
		go c.connect(t, addr, done)
	}
	done := c.dialDone
	c.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mux == nil || c.mux.IsClosed() {
		if c.dialErr != nil {
			return nil, c.dialErr
		}
		return nil, ErrUnreachable.New("session closed")
	}
	return c.mux, nil
}

// connect dials, publishes the session and closes done. It then waits until the session
// ends.
func (c *trafficClient) connect(t *Transport, addr string, done chan struct{}) {
	mux, conn, err := t.dialTraffic(addr)
	c.mu.Lock()
	c.mux = mux
	c.dialErr = err
	c.dialDone = nil
	c.mu.Unlock()
	close(done)
	if mux == nil {
		return
	}
	t.sessions.add(t.ctx, &dialedSession{mux: mux, conn: conn, lastActive: time.Now()})
	select {
	case <-mux.CloseChan():
	case <-t.ctx.Done():
	}
	t.sessions.remove(mux)
	_ = conn.Close()
}

// dialedSession is a session that this node dialed.
type dialedSession struct {
	mux *yamux.Session
	// conn is closed to end the session; see sessionConn.
	conn *activityConn
	// lastActive is when requests were last in flight.
	lastActive time.Time
	pinging    atomic.Bool
}

// trafficSessions checks all sessions that this node dialed with one timer: a timer for
// each would wake the process hundreds of times a second in a large fleet.
type trafficSessions struct {
	mu   sync.Mutex
	open map[*yamux.Session]*dialedSession
	// running is true while the checks run.
	running bool
}

func (l *trafficSessions) add(ctx context.Context, s *dialedSession) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[*yamux.Session]*dialedSession{}
	}
	l.open[s.mux] = s
	if !l.running {
		l.running = true
		go l.run(ctx)
	}
}

func (l *trafficSessions) remove(mux *yamux.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, mux)
}

// run checks the sessions until ctx ends.
func (l *trafficSessions) run(ctx context.Context) {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.check(now)
		}
	}
}

// check closes sessions that had no requests for trafficIdleTimeout, and those whose peer
// has sent nothing while requests are in flight and does not answer a ping. Sessions
// without requests send no pings, so they cause no traffic with many peers.
func (l *trafficSessions) check(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for mux, s := range l.open {
		silent := !s.conn.any.Swap(false)
		if mux.NumStreams() > 0 {
			s.lastActive = now
			if silent && s.pinging.CompareAndSwap(false, true) {
				go s.closeUnlessAnswered()
			}
		}
		if now.Sub(s.lastActive) > trafficIdleTimeout {
			go s.conn.Close()
		}
	}
}

func (s *dialedSession) closeUnlessAnswered() {
	defer s.pinging.Store(false)
	if ping(s.mux) != nil {
		_ = s.conn.Close()
	}
}

func ping(mux *yamux.Session) error {
	_, err := mux.Ping()
	return err
}

// activityConn records whether data was received.
type activityConn struct {
	net.Conn
	// any is true if data was received since the last check of monitor.
	any atomic.Bool
}

// Read implements net.Conn.
func (c *activityConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.any.Load() {
		c.any.Store(true)
	}
	return n, err
}

func (t *Transport) dialTraffic(addr string) (*yamux.Session, *activityConn, error) {
	conn, _, err := t.dial(addr, trafficSession)
	if err != nil {
		return nil, nil, err
	}
	activity := &activityConn{Conn: newBatchConn(conn)}
	mux, err := yamux.Client(activity, sessionConfig(0, trafficWriteTimeout))
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return mux, activity, nil
}

// serveTraffic calls onStream for each stream of a session that a peer opened.
func (t *Transport) serveTraffic(from cluster.MemberRef, conn net.Conn) {
	batched := newBatchConn(conn)
	defer batched.Close()
	mux, err := yamux.Server(batched, sessionConfig(0, trafficWriteTimeout))
	if err != nil {
		return
	}
	// The end of the session cancels its requests.
	ctx, cancel := context.WithCancel(disconnect.WithSession(t.ctx, conn))
	defer cancel()
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		go func() {
			defer stream.Close()
			defer logging.ContainPanic(t.log, "from", from, "in", "request of a peer")
			t.onStream(ctx, from, stream)
		}()
	}
}

package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"fulmarhinge/internal/cluster"
)

// route holds the outgoing traffic session to one address.
type route struct {
	mu  sync.Mutex
	mux *yamux.Session
	// dialing is closed when the dial under way ends; nil if there is none.
	dialing chan struct{}
	err     error
}

// Open returns a new traffic stream to the peer at addr. On an error of class
// ErrUnreachable nothing was sent.
func (t *Transport) Open(ctx context.Context, addr string) (net.Conn, error) {
	r := t.route(addr)
	mux, err := r.session(ctx, t, addr)
	if err != nil {
		return nil, ErrUnreachable.Wrap(err)
	}
	stream, err := mux.OpenStream()
	if err != nil {
		return nil, ErrUnreachable.Wrap(err)
	}
	return stream, nil
}

// Connected reports whether an open traffic session to the peer at addr exists,
// so that Open would not dial.
func (t *Transport) Connected(addr string) bool {
	r, ok := t.routes.Load(addr)
	if !ok {
		return false
	}
	return r.(*route).open()
}

func (r *route) open() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mux != nil && !r.mux.IsClosed()
}

func (t *Transport) route(addr string) *route {
	if r, ok := t.routes.Load(addr); ok {
		return r.(*route)
	}
	r, _ := t.routes.LoadOrStore(addr, &route{})
	return r.(*route)
}

// session returns the open session, or waits for one dial that all callers
// share.
func (r *route) session(ctx context.Context, t *Transport, addr string) (*yamux.Session, error) {
	r.mu.Lock()
	if r.mux != nil && !r.mux.IsClosed() {
		mux := r.mux
		r.mu.Unlock()
		return mux, nil
	}
	if r.dialing == nil {
		done := make(chan struct{})
		r.dialing = done
		go r.connect(t, addr, done)
	}
	done := r.dialing
	r.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.mux == nil || r.mux.IsClosed() {
		if r.err != nil {
			return nil, r.err
		}
		return nil, ErrUnreachable.New("session closed")
	}
	return r.mux, nil
}

// connect dials and publishes the session; it closes the session when the
// transport ends.
func (r *route) connect(t *Transport, addr string, done chan struct{}) {
	mux, heard, err := t.openTraffic(addr)
	r.mu.Lock()
	r.mux = mux
	r.err = err
	r.dialing = nil
	r.mu.Unlock()
	close(done)
	if mux == nil {
		return
	}
	watch(t.ctx, mux, heard)
	_ = mux.Close()
}

// watch returns when the session should end: with the transport, after a long
// time without requests, or when the peer is silent while it owes answers. A
// session without requests costs nothing, however many peers there are.
func watch(ctx context.Context, mux *yamux.Session, heard *heardConn) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	busy := time.Now()
	for {
		select {
		case <-mux.CloseChan():
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		silent := !heard.any.Swap(false)
		if mux.NumStreams() > 0 {
			busy = time.Now()
			if silent && ping(mux) != nil {
				return
			}
		}
		if time.Since(busy) > trafficIdle {
			return
		}
	}
}

func ping(mux *yamux.Session) error {
	_, err := mux.Ping()
	return err
}

// heardConn notes whether anything was received.
type heardConn struct {
	net.Conn
	any atomic.Bool
}

// Read implements net.Conn.
func (c *heardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.any.Load() {
		c.any.Store(true)
	}
	return n, err
}

func (t *Transport) openTraffic(addr string) (*yamux.Session, *heardConn, error) {
	conn, _, err := t.dial(addr, trafficSession)
	if err != nil {
		return nil, nil, err
	}
	heard := &heardConn{Conn: newBatchConn(conn)}
	mux, err := yamux.Client(heard, sessionConfig(0, trafficWrite))
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return mux, heard, nil
}

// acceptTraffic hands each stream of a session that a peer opened to onStream.
func (t *Transport) acceptTraffic(from cluster.MemberRef, conn net.Conn) {
	mux, err := yamux.Server(newBatchConn(conn), sessionConfig(0, trafficWrite))
	if err != nil {
		return
	}
	defer mux.Close()
	// A session that breaks cancels its requests.
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			return
		}
		go func() {
			defer stream.Close()
			t.onStream(ctx, from, stream)
		}()
	}
}

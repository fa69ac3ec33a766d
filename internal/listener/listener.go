// Package listener bounds the connections that a process accepts at an address, and what
// each of them holds.
package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"fulmarhinge/internal/bodymem"
	"fulmarhinge/internal/membudget"
)

const (
	// writeProgressTimeout is how long a reader may take for writeChunkBytes.
	writeProgressTimeout = 10 * time.Second
	writeChunkBytes      = 64 << 10
	// freeHeadBytes is the part of a head that costs no memory of the pool.
	freeHeadBytes = 4 << 10
	// headCost is the memory in bytes that a byte of a head costs: the buffer that it is
	// read into, and the strings of the request.
	headCost = 2
	// ControlConns bounds the connections at an address where a VM's own programs and
	// operators make small requests.
	ControlConns = 64
	// reservedDescriptors are those of a process's own files, of connections to peers, to
	// the backend server and to the platform.
	reservedDescriptors = 512
)

// Listener accepts connections, at most a given number of them at a time. A new connection
// beyond that ends the one that has been without a complete request for longest.
type Listener struct {
	net.Listener
	limit int
	pool  *bodymem.Pool

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// ended counts the connections that were closed because of the limit.
	ended uint64
}

// New returns a listener for at most limit connections. Their request heads take memory
// from the pool, which may be nil.
func New(ln net.Listener, limit int, pool *bodymem.Pool) *Listener {
	return &Listener{Listener: ln, limit: limit, pool: pool, conns: map[*Conn]struct{}{}}
}

// MaxConns returns the wanted number of connections, or less where the process's limit of
// descriptors does not allow so many.
func MaxConns(wanted int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return wanted
	}
	available := int64(min(limit.Cur, 1<<30))
	return int(max(min(int64(wanted), max(available-reservedDescriptors, available/2)), 1))
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, listener: l, waitingSince: time.Now(), readingHead: true}
		c.memory = l.pool.Open(membudget.Receiving, func() { _ = raw.Close() })
		if l.add(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// add adds a connection. It reports false if there is no place and all others run requests.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	var oldest *Conn
	if len(l.conns) >= l.limit {
		for other := range l.conns {
			if !other.running && (oldest == nil || other.waitingSince.Before(oldest.waitingSince)) {
				oldest = other
			}
		}
		l.ended++
		if oldest == nil {
			l.mu.Unlock()
			return false
		}
		delete(l.conns, oldest)
	}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	if oldest != nil {
		// Its server calls Conn.Close once the read has failed.
		_ = oldest.Conn.Close()
	}
	return true
}

// Len returns the number of open connections.
func (l *Listener) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Ended returns the number of connections that were closed because of the limit.
func (l *Listener) Ended() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	listener *Listener
	memory   *bodymem.Holder

	// The listener's mu guards running and waitingSince: when the connection opened, or
	// its latest request ended or began.
	running      bool
	waitingSince time.Time

	mu          sync.Mutex
	readingHead bool
	headBytes   int64
}

// TCP returns the connection below.
func (c *Conn) TCP() net.Conn { return c.Conn }

// Read implements net.Conn. While a head is read, it takes memory for it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 || c.memory == nil {
		return n, err
	}
	c.mu.Lock()
	reading := c.readingHead
	before := c.headBytes
	if reading {
		c.headBytes += int64(n)
	}
	c.mu.Unlock()
	if extra := before + int64(n) - max(before, freeHeadBytes); reading && extra > 0 {
		if memErr := c.memory.TryAcquire(context.Background(), extra*headCost); memErr != nil {
			_ = c.Close()
			return 0, memErr
		}
	}
	return n, err
}

// Write implements net.Conn. It fails once the reader has taken nothing for
// writeProgressTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	total := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(writeProgressTimeout)); err != nil {
			return total, err
		}
		n, err := c.Conn.Write(p[:min(len(p), writeChunkBytes)])
		total += n
		if err != nil || n == len(p) {
			return total, err
		}
		p = p[n:]
		c.memory.Progress()
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	err := c.Conn.Close()
	c.mu.Lock()
	readingHead := c.readingHead
	c.readingHead = false
	c.mu.Unlock()
	if readingHead {
		// Otherwise a request uses the memory until it ends.
		c.memory.Close()
	}
	return err
}

// BeginRequest is to be called once the head of a request has been read. It returns the
// memory of the request, which the caller need not close.
func (c *Conn) BeginRequest() *bodymem.Holder {
	c.mu.Lock()
	c.readingHead = false
	c.mu.Unlock()
	return c.memory
}

// SetRunning states whether the request has been read whole, so that the connection is not
// ended for another one.
func (c *Conn) SetRunning(running bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.running, c.waitingSince = running, time.Now()
}

// EndRequest is to be called when the handler of a request ends.
func (c *Conn) EndRequest() {
	c.SetRunning(false)
	c.memory.Close()
}

// ConnState is a ConnState of an http.Server.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok || state != http.StateIdle {
		return
	}
	c.memory.SetPhase(membudget.Receiving)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingHead, c.headBytes = true, 0
}

type contextKey struct{}

// WithConn is a ConnContext of an http.Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	if own, ok := c.(*Conn); ok {
		return context.WithValue(ctx, contextKey{}, own)
	}
	return ctx
}

// ConnOf returns the connection of a request, nil if it did not come through a Listener.
func ConnOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(contextKey{}).(*Conn)
	return c
}

// NewServer returns a server for an address at which small requests are made, with bounds
// for heads, idle connections and slow senders. Slow readers are bounded by the listener.
func NewServer(h http.Handler, timeout, idle time.Duration) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if c := ConnOf(r); c != nil {
				c.SetRunning(true)
				defer c.SetRunning(false)
			}
			h.ServeHTTP(w, r)
		}),
		ConnContext: WithConn, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: timeout, ReadTimeout: timeout, IdleTimeout: idle,
	}
}

// maxHeaderBytes bounds the heads that NewServer accepts.
const maxHeaderBytes = 16 << 10

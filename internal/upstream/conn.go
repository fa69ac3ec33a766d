// Package upstream speaks HTTP/1.1 with the node's backend server. It
// distinguishes requests that were never sent from those that may have run, and
// rejects a response that is incomplete or belongs to another request.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"fulmarhinge/internal/header"
	"fulmarhinge/internal/socket"
)

const (
	// dialTimeout bounds the set-up of a connection; the server is on the same
	// VM.
	dialTimeout = 600 * time.Millisecond
	// maxIdleTime is how long an idle connection is kept if the server does not
	// state its own timeout.
	maxIdleTime = 4 * time.Second
	// maxIdleTimeNonIdempotent is how long a connection may have been idle to
	// be used for a request that must not run twice: a server may have dropped
	// an idle connection.
	maxIdleTimeNonIdempotent = time.Second
	// keepAliveMargin is subtracted from the idle timeout that the server
	// states.
	keepAliveMargin = time.Second
	readBufferBytes = 16 << 10
	// maxRequestsPerConn is the number of requests after which a connection is closed:
	// it remembers all of them.
	maxRequestsPerConn = 1024
	// maxHeadBytes bounds the head of a response, interim responses included.
	maxHeadBytes = 64 << 10
)

var (
	errHeadTooLarge = errors.New("the head of the answer is too large")
	// errHeaderName is a header name with white space: what it says of the length of the
	// body would be ignored.
	errHeaderName = errors.New("a header name of the answer has white space")
	// errStatus is a status that neither an interim nor a final response has.
	errStatus = errors.New("the answer has the status")
)

// headLimiter bounds the bytes that are read from a connection while the head of a
// response is read.
type headLimiter struct {
	conn    net.Conn
	limited bool
	left    int
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.conn.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// conn is a connection to the backend server.
type conn struct {
	net.Conn
	in *headLimiter
	br *bufio.Reader
	// A connection that has been idle since idleSince for longer than idleLimit
	// is not used again.
	idleSince time.Time
	idleLimit time.Duration
	// carried holds the hashes of the ids of all requests that were sent on the
	// connection.
	carried []uint64
}

// hasCarried reports whether a request with this id was sent on the connection. The server
// may send an answer a second time, so a request that is sent once more must use another
// connection: by its id, a late copy of its earlier answer is its answer.
func (c *conn) hasCarried(id uint64) bool { return slices.Contains(c.carried, id) }

// pool keeps the idle connections to one address as a stack, the most recently
// used on top.
type pool struct {
	address string
	mu      sync.Mutex
	idle    []*conn
	closed  bool
}

// get returns an idle connection that is still usable and has not carried a request with
// this id, or a new one.
func (p *pool) get(ctx context.Context, id uint64, nonIdempotent bool) (*conn, error) {
	for {
		c := p.pop(id)
		if c == nil {
			break
		}
		limit := c.idleLimit
		if nonIdempotent {
			limit = min(limit, maxIdleTimeNonIdempotent)
		}
		if time.Since(c.idleSince) < limit && c.usable() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx)
}

// dial opens a new connection.
func (p *pool) dial(ctx context.Context) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	in := &headLimiter{conn: raw}
	return &conn{Conn: raw, in: in, br: bufio.NewReaderSize(in, readBufferBytes)}, nil
}

// readHead reads the head of the next final response, at most maxHeadBytes. The body
// of the response must not be closed, as that would read the rest of it: closing the
// connection ends it.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.in.limited, c.in.left = true, maxHeadBytes
	defer func() { c.in.limited = false }()
	for {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, shorten(err)
		}
		for name := range resp.Header {
			if strings.ContainsAny(name, " \t") {
				return nil, errHeaderName
			}
		}
		switch {
		case header.IsFinalStatus(resp.StatusCode):
			return resp, nil
		case resp.StatusCode/100 != 1 || resp.StatusCode == http.StatusSwitchingProtocols:
			// What follows its head is not another response.
			return nil, fmt.Errorf("%w %d", errStatus, resp.StatusCode)
		}
	}
}

// maxErrorBytes bounds the text of an error that quotes what a server sent.
const maxErrorBytes = 200

// shorten returns the error, without its end if its text is long.
func shorten(err error) error {
	if text := err.Error(); len(text) > maxErrorBytes {
		return errors.New(text[:maxErrorBytes] + " and so on")
	}
	return err
}

// pop takes the most recently used connection that has not carried a request with this id
// off the stack; nil if there is none.
func (p *pool) pop(id uint64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; !c.hasCarried(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	// Close expired connections, the oldest of which are at the bottom.
	for len(p.idle) > 0 && time.Since(p.idle[0].idleSince) > p.idle[0].idleLimit {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// usable reports whether the connection is open and has no unread bytes. A
// request must not be sent on a closed connection, and unsolicited bytes must
// not be read as its response.
func (c *conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	return socket.Peek(raw) == socket.Nothing
}

// keepAliveTimeout returns how long the connection may stay idle after a
// response with the given headers.
func keepAliveTimeout(h http.Header) time.Duration {
	_, rest, found := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !found {
		return maxIdleTime
	}
	digits, _, _ := strings.Cut(rest, ",")
	n, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil {
		return maxIdleTime
	}
	return max(0, min(time.Duration(n)*time.Second-keepAliveMargin, maxIdleTime))
}

package backend

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"fulmarhinge/internal/config"
	"fulmarhinge/internal/result"
)

// Limits of connections to the backend server.
const (
	backendDialTimeout  = 500 * time.Millisecond
	backendIdleTimeout  = 90 * time.Second
	maxAnswerHeader     = 128 << 10
	connectionBufferLen = 32 << 10
)

// server is the backend server beside this node with its connections.
type server struct {
	ann       Announcement
	slots     *slots
	transport *http.Transport
}

// nextServer returns the server for a new announcement. Slots and connections
// are kept as long as the address stays the same.
func nextServer(old *server, a *Announcement) *server {
	// A request needs a connection, so fewer connections mean fewer slots.
	limit := min(a.Slots, a.Connections)
	if old != nil && old.ann.Address == a.Address && old.ann.Connections == a.Connections {
		old.slots.resize(limit)
		return &server{ann: *a, slots: old.slots, transport: old.transport}
	}
	return &server{ann: *a, slots: newSlots(limit), transport: newTransport(a.Connections)}
}

func newTransport(connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: backendDialTimeout, KeepAlive: 15 * time.Second}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: conn}, nil
		},
		MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections,
		IdleConnTimeout: backendIdleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxAnswerHeader,
		WriteBufferSize:        connectionBufferLen, ReadBufferSize: connectionBufferLen,
	}
}

// check says why the server takes no requests of a service, or returns nil.
func (s *server) check(svc config.Service) *result.Error {
	if s == nil || !s.ann.Ready || s.ann.Leaving {
		return result.New(result.BackendNotReady)
	}
	if s.ann.Service != svc.Name {
		return result.Errorf(result.BackendNotReady, "The backend server here serves %s, not %s.", s.ann.Service, svc.Name)
	}
	return nil
}

// guardedConn asks the run that uses the connection before the first byte of
// its request is written, in the goroutine that writes, so that nothing can
// come between the check and the write.
type guardedConn struct {
	net.Conn
	run atomic.Pointer[run]
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	r := c.run.Load()
	if r == nil {
		return c.Conn.Write(p)
	}
	if err := r.beforeWrite(c); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

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

// Settings of the HTTP connections to the backend server.
const (
	backendDialTimeout     = 500 * time.Millisecond
	backendIdleTimeout     = 90 * time.Second
	maxResponseHeaderBytes = 128 << 10
	connectionBufferBytes  = 32 << 10
)

// server is the announced backend server of this node with its request slots
// and HTTP connections.
type server struct {
	announcement Announcement
	slots        *slots
	transport    *http.Transport
}

// nextServer returns the server for a new announcement. Slots and connections
// are reused while the address and the connection limit stay the same.
func nextServer(old *server, a *Announcement) *server {
	// Each request occupies a connection, so the smaller of the two limits applies.
	limit := min(a.Slots, a.Connections)
	if old != nil && old.announcement.Address == a.Address && old.announcement.Connections == a.Connections {
		old.slots.resize(limit)
		return &server{announcement: *a, slots: old.slots, transport: old.transport}
	}
	return &server{announcement: *a, slots: newSlots(limit), transport: newTransport(a.Connections)}
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
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        connectionBufferBytes, ReadBufferSize: connectionBufferBytes,
	}
}

// check returns a refusal if the server does not accept requests for the
// service, or nil if it does.
func (s *server) check(svc config.Service) *result.Error {
	if s == nil || !s.announcement.Ready || s.announcement.Leaving {
		return result.New(result.BackendNotReady)
	}
	if s.announcement.Service != svc.Name {
		return result.Errorf(result.BackendNotReady, "The backend server here serves %s, not %s.",
			s.announcement.Service, svc.Name)
	}
	return nil
}

// guardedConn calls beforeWrite of the request that uses the connection before
// each write. The check runs in the writing goroutine, so the request cannot be
// aborted between the check and the write.
type guardedConn struct {
	net.Conn
	request atomic.Pointer[request]
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	r := c.request.Load()
	if r == nil {
		return c.Conn.Write(p)
	}
	if err := r.beforeWrite(c); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

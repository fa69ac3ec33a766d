// Package disconnect tells whether the caller of a request has disconnected.
package disconnect

import (
	"context"
	"net"
	"syscall"
	"time"

	"fulmarhinge/internal/socket"
)

// checkDelay is the time allowed for the disconnect of a delayed request to
// arrive, or to be read by its goroutine where the socket cannot be looked at.
const checkDelay = 20 * time.Millisecond

// maxSessionWait bounds the wait for a session to be read: a busy one may have data
// whenever it is looked at.
const maxSessionWait = 300 * time.Millisecond

type (
	connKey    struct{}
	sessionKey struct{}
)

// WithConn returns a context for the requests of a caller's connection, so that
// Gone can look at its socket.
func WithConn(ctx context.Context, c net.Conn) context.Context { return withRaw(ctx, connKey{}, c) }

// WithSession returns a context for the requests that a peer sends on a session over
// this connection, so that StillConnected can look at its socket.
func WithSession(ctx context.Context, c net.Conn) context.Context {
	return withRaw(ctx, sessionKey{}, c)
}

func withRaw(ctx context.Context, key any, c net.Conn) context.Context {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return ctx
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		// The connection is closed already, which ends the context.
		return ctx
	}
	return context.WithValue(ctx, key, raw)
}

// Gone reports whether ctx has ended or the caller has closed its connection. On a
// node without processor time a close may be waiting behind the request, long
// before it is read and ends the context.
func Gone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	raw, ok := ctx.Value(connKey{}).(syscall.RawConn)
	return ok && socket.Peek(raw) == socket.Closed
}

// CloseMayWait reports whether the session of a peer's request has data that was not
// read yet, so that a disconnect may be in it.
func CloseMayWait(ctx context.Context) bool {
	raw, ok := ctx.Value(sessionKey{}).(syscall.RawConn)
	return ok && socket.Peek(raw) == socket.Data
}

// StillConnected waits for checkDelay and reports whether the caller is still
// connected. After a pause of the process or the network, a delayed request and
// the disconnect that follows it arrive together. While a peer's session has data that
// was not read yet, the wait goes on for up to maxSessionWait: the reader lacks
// processor time, and the disconnect may be in that data.
func StillConnected(ctx context.Context) bool {
	began := time.Now()
	ticker := time.NewTicker(checkDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		if !CloseMayWait(ctx) || time.Since(began) >= maxSessionWait {
			// Both may have come while this goroutine did not run.
			return !Gone(ctx)
		}
	}
}

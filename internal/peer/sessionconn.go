package peer

import (
	"net"
	"sync/atomic"
)

// sessionConn is the connection under a yamux session. It is closed before Read
// reports its end: between the shutdown of a session and the end of its streams,
// yamux does not block readers but lets them poll, so that span must not contain a
// system call.
type sessionConn struct {
	net.Conn
	closed atomic.Bool
}

// Read implements net.Conn.
func (c *sessionConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		_ = c.Close()
	}
	return n, err
}

// Close implements net.Conn. Only the first call closes the connection, and returns
// its error.
func (c *sessionConn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.Conn.Close()
}

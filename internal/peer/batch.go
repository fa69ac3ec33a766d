package peer

import (
	"net"
	"sync"
)

// batchLimit is how many bytes may wait to be written on one connection; more
// make the writer wait, so that a slow peer slows its senders down.
const batchLimit = 256 << 10

// idleBuffers is how many bytes of buffers an idle connection keeps.
const idleBuffers = 8 << 10

// batchConn writes what has gathered since the last write in one system call.
// yamux writes each header and each body on its own, and several streams share
// a session, so under load this takes a fraction of the calls. An error is
// reported by a later write.
type batchConn struct {
	net.Conn
	mu      sync.Mutex
	changed sync.Cond
	pending []byte
	spare   []byte
	err     error
}

// newBatchConn returns a connection whose writes are batched until Close.
func newBatchConn(conn net.Conn) *batchConn {
	c := &batchConn{Conn: conn}
	c.changed.L = &c.mu
	go c.flush()
	return c
}

// Write implements net.Conn.
func (c *batchConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > batchLimit && c.err == nil {
		c.changed.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	if len(c.pending) == 0 {
		c.changed.Broadcast()
	}
	c.pending = append(c.pending, p...)
	return len(p), nil
}

// flush writes until the connection fails or is closed.
func (c *batchConn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil {
		if len(c.pending) == 0 {
			c.shrink()
			c.changed.Wait()
			continue
		}
		batch := c.pending
		c.pending = c.spare[:0]
		c.mu.Unlock()
		_, err := c.Conn.Write(batch)
		c.mu.Lock()
		c.spare = batch
		if err != nil && c.err == nil {
			c.err = err
		}
		c.changed.Broadcast()
	}
}

// shrink lets go of large buffers while nothing is to be written, because a
// node has a session to every other one. The lock is held.
func (c *batchConn) shrink() {
	if cap(c.pending)+cap(c.spare) > idleBuffers {
		c.pending = nil
		c.spare = nil
	}
}

// Close implements net.Conn; what has not been written is lost.
func (c *batchConn) Close() error {
	c.mu.Lock()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

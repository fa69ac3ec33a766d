package peer

import (
	"net"
	"sync"
)

// maxPendingBytes is how many bytes may be buffered for one connection before
// Write blocks, so that a slow peer applies back-pressure to its senders.
const maxPendingBytes = 256 << 10

// maxIdleBufferBytes is the buffer capacity that an idle connection may keep.
const maxIdleBufferBytes = 8 << 10

// batchConn buffers writes and flushes everything buffered since the previous
// flush in one system call. yamux writes each header and each body separately,
// and several streams share a session, so batching saves most of the calls
// under load. A write error is returned by a later Write.
type batchConn struct {
	net.Conn
	mu      sync.Mutex
	changed sync.Cond
	pending []byte
	spare   []byte
	err     error
}

// newBatchConn returns a connection that batches its writes. The flushing
// goroutine runs until Close or the first write error.
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
	for len(c.pending) > maxPendingBytes && c.err == nil {
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

// flush writes the pending bytes until the connection fails or is closed.
func (c *batchConn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil {
		if len(c.pending) == 0 {
			c.releaseBuffers()
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

// releaseBuffers frees large buffers while nothing is pending, because a node
// has a session to every other node. The caller holds mu.
func (c *batchConn) releaseBuffers() {
	if cap(c.pending)+cap(c.spare) > maxIdleBufferBytes {
		c.pending = nil
		c.spare = nil
	}
}

// Close implements net.Conn. Pending bytes are discarded.
func (c *batchConn) Close() error {
	c.mu.Lock()
	if c.err == nil {
		c.err = net.ErrClosed
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

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
// under load.
//
// Only Read reports that the connection has ended; what is written after that is
// discarded, like what was buffered. If Write reported it, yamux would shut the
// session down while its receiving side still runs; see sessionConn.
type batchConn struct {
	sessionConn
	mu      sync.Mutex
	changed sync.Cond
	pending []byte
	spare   []byte
	ended   bool
}

// newBatchConn returns a connection that batches its writes. The flushing
// goroutine runs until Close, the first write error or the end of the connection.
func newBatchConn(conn net.Conn) *batchConn {
	c := &batchConn{sessionConn: sessionConn{Conn: conn}}
	c.changed.L = &c.mu
	go c.flush()
	return c
}

// Read implements net.Conn.
func (c *batchConn) Read(p []byte) (int, error) {
	n, err := c.sessionConn.Read(p)
	if err != nil {
		c.endWrites()
	}
	return n, err
}

// Write implements net.Conn. It blocks while too much is buffered, and returns no
// error.
func (c *batchConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > maxPendingBytes && !c.ended {
		c.changed.Wait()
	}
	if c.ended {
		return len(p), nil
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
	for !c.ended {
		if len(c.pending) == 0 {
			c.releaseBuffers()
			c.changed.Wait()
			continue
		}
		batch := c.pending
		c.pending = c.spare[:0]
		c.mu.Unlock()
		_, err := c.Conn.Write(batch)
		if err != nil {
			// This ends the read that reports the end.
			_ = c.Close()
		}
		c.mu.Lock()
		c.spare = batch
		c.changed.Broadcast()
	}
}

// endWrites ends the flushing goroutine and lets blocked writes return.
func (c *batchConn) endWrites() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.changed.Broadcast()
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
	c.endWrites()
	return c.sessionConn.Close()
}

package main

import (
	"net"
	"sync"
)

// limitedListener limits the number of open connections. Further connections wait
// in the kernel's accept queue.
type limitedListener struct {
	net.Listener
	semaphore chan struct{}
}

func limitConnections(l net.Listener, n int) net.Listener {
	return &limitedListener{Listener: l, semaphore: make(chan struct{}, n)}
}

// Accept waits until the number of open connections is below the limit, then
// accepts the next one.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.semaphore <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.semaphore
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.semaphore }}, nil
}

// limitedConn releases the semaphore when it is closed.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection and releases the semaphore once.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

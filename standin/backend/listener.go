package main

import (
	"net"
	"sync"
)

// limitedListener accepts no more than a set number of connections at a time;
// further ones wait in the kernel's queue.
type limitedListener struct {
	net.Listener
	free chan struct{}
}

func limitConnections(l net.Listener, n int) net.Listener {
	return &limitedListener{Listener: l, free: make(chan struct{}, n)}
}

// Accept waits until a connection may be opened, then for one to come.
func (l *limitedListener) Accept() (net.Conn, error) {
	l.free <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &limitedConn{Conn: c, release: func() { <-l.free }}, nil
}

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection and frees its place.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

package caller

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// closeAndDrain closes a listener and returns the connections that the kernel
// had already accepted for it. Closing alone would reset them, and a request
// may have been sent on each.
func closeAndDrain(ln net.Listener) []net.Conn {
	var conns []net.Conn
	if tcp, ok := ln.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { conns = drainAcceptQueue(int(fd)) })
		}
	}
	_ = ln.Close()
	return conns
}

// drainAcceptQueue accepts the connections in the accept queue of a listening
// socket.
func drainAcceptQueue(listener int) []net.Conn {
	var conns []net.Conn
	for {
		fd, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil {
			return conns
		}
		file := os.NewFile(uintptr(fd), "caller")
		conn, err := net.FileConn(file)
		_ = file.Close()
		if err == nil {
			conns = append(conns, conn)
		}
	}
}

// acceptedListener is a listener that returns connections accepted earlier.
type acceptedListener struct {
	net.Listener
	conns []net.Conn
}

// Accept returns the next connection, or net.ErrClosed when none is left.
func (a *acceptedListener) Accept() (net.Conn, error) {
	if len(a.conns) == 0 {
		return nil, net.ErrClosed
	}
	conn := a.conns[0]
	a.conns = a.conns[1:]
	return conn, nil
}

// Close implements net.Listener. The underlying listener is already closed.
func (a *acceptedListener) Close() error { return nil }

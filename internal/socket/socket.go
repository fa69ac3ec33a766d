// Package socket looks at what waits to be read on a TCP connection.
package socket

import (
	"errors"
	"syscall"
)

// Pending is what waits to be read on a connection.
type Pending int

// What may wait to be read.
const (
	Nothing Pending = iota
	Data
	// Closed means that the peer has closed or reset the connection, or that it is
	// closed on this side, and that no data is left to be read.
	Closed
)

// Peek returns what waits to be read. It reads nothing and does not wait, and may be
// called while another goroutine reads from the connection.
func Peek(raw syscall.RawConn) Pending {
	pending := Closed
	err := raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
			pending = Nothing
		case err == nil && n > 0:
			pending = Data
		}
	})
	if err != nil {
		return Closed
	}
	return pending
}

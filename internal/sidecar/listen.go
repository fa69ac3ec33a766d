package sidecar

import (
	"net"

	"fulmarhinge/internal/bodymem"
	"fulmarhinge/internal/listener"
)

// callerConnectionsPerMB is the default number of callers' connections per MB of memory.
// A connection takes some 12 KB, so that all of them take a tenth of the memory.
const callerConnectionsPerMB = 8

const (
	// idleMemoryMB is what an idle process has resident.
	idleMemoryMB = 16
	// bodyMemoryDivisor is the part for bodies of the memory beyond that. A body of 64 MiB
	// without a stated length fits on a VM of 184 MB, with the buffer before its last one.
	bodyMemoryDivisor = 2
	// minBodyMemoryDivisor is the least part of the whole memory for bodies.
	minBodyMemoryDivisor = 4
)

// bodyMemory returns the memory for bodies, in bytes.
func (r Resources) bodyMemory() int64 {
	return max((r.MemoryMB-idleMemoryMB)<<20/bodyMemoryDivisor, r.MemoryMB<<20/minBodyMemoryDivisor)
}

// callerConnections returns how many connections of callers are accepted at a time.
func (r Resources) callerConnections() int {
	if r.CallerConnections > 0 {
		return listener.MaxConns(r.CallerConnections)
	}
	return listener.MaxConns(int(min(r.MemoryMB, 1<<20)) * callerConnectionsPerMB)
}

// listenHTTP opens the listeners for callers, reports and readiness checks, in this order.
func (n *Node) listenHTTP(l Listen) error {
	for _, door := range []struct {
		address string
		limit   int
		memory  *bodymem.Pool
	}{
		{l.Callers, n.settings.Load().Resources.callerConnections(), n.memory},
		{l.Reports, listener.ControlConns, nil},
		{l.Ready, listener.ControlConns, nil},
	} {
		ln, err := net.Listen("tcp", door.address)
		if err != nil {
			return err
		}
		n.listeners = append(n.listeners, listener.New(ln, door.limit, door.memory))
	}
	return nil
}

// callerListener returns the listener for callers, once it is open.
func (n *Node) callerListener() (*listener.Listener, bool) {
	if len(n.listeners) == 0 {
		return nil, false
	}
	l, ok := n.listeners[0].(*listener.Listener)
	return l, ok
}

package main

import (
	"log"
	"net"
	"sync"
	"time"
)

// anyIP matches every IP in a cut.
const anyIP = "*"

// direction is a direction of traffic between two IPs.
type direction struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// network holds the relayed connections and the directions that are cut.
type network struct {
	mu   sync.Mutex
	cuts map[direction]bool
	// cutsChanged is closed and replaced when cuts change.
	cutsChanged chan struct{}
	conns       map[*relayedConn]bool
	// relayedBytes is the number of bytes relayed in each direction.
	relayedBytes map[direction]uint64
}

// relayedConn is a relayed connection.
type relayedConn struct {
	forward direction
	client  *net.TCPConn
	target  *net.TCPConn
	// closed stops the copying goroutines that are blocked by a cut.
	closed chan struct{}
	once   sync.Once
}

func newNetwork() *network {
	return &network{
		cuts:         make(map[direction]bool),
		cutsChanged:  make(chan struct{}),
		conns:        make(map[*relayedConn]bool),
		relayedBytes: make(map[direction]uint64),
	}
}

// isCutLocked reports whether the direction is cut. n.mu must be held.
func (n *network) isCutLocked(d direction) bool {
	return n.cuts[d] ||
		n.cuts[direction{anyIP, d.To}] ||
		n.cuts[direction{d.From, anyIP}] ||
		n.cuts[direction{anyIP, anyIP}]
}

// updateCuts adds or removes cuts and wakes the goroutines that are blocked by one.
func (n *network) updateCuts(fn func(cuts map[direction]bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	fn(n.cuts)
	close(n.cutsChanged)
	n.cutsChanged = make(chan struct{})
}

// waitWhileCut blocks while the direction is cut. It returns false if the
// connection was closed meanwhile.
func (n *network) waitWhileCut(conn *relayedConn, d direction) bool {
	for {
		n.mu.Lock()
		cut, changed := n.isCutLocked(d), n.cutsChanged
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-conn.closed:
			return false
		}
	}
}

// accept relays every connection of the listener to the target. If source is not
// empty, it replaces the IP of the client.
func (n *network) accept(l net.Listener, target, source string) {
	for {
		c, err := l.Accept()
		if err != nil {
			log.Fatalf("cannot accept on %s: %v", l.Addr(), err)
		}
		from := source
		if from == "" {
			from = hostOf(c.RemoteAddr().String())
		}
		go n.relay(c.(*net.TCPConn), from, target)
	}
}

// relay forwards the connection to the target until both directions have ended.
func (n *network) relay(client *net.TCPConn, from, target string) {
	const dialTimeout = 2 * time.Second
	conn := &relayedConn{
		forward: direction{from, hostOf(target)},
		client:  client,
		closed:  make(chan struct{}),
	}
	n.add(conn)
	defer n.remove(conn)
	// A cut also holds back new connections: the target is dialed only when the cut
	// has ended.
	if !n.waitWhileCut(conn, conn.forward) {
		return
	}
	t, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		n.waitWhileCut(conn, conn.backward())
		conn.reset()
		return
	}
	if !n.setTarget(conn, t.(*net.TCPConn)) {
		return
	}
	var copiers sync.WaitGroup
	copiers.Go(func() { n.copyDirection(conn, conn.target, conn.client, conn.forward) })
	copiers.Go(func() { n.copyDirection(conn, conn.client, conn.target, conn.backward()) })
	copiers.Wait()
}

// setTarget sets the target side of conn. It closes target and returns false if
// conn was already closed.
func (n *network) setTarget(conn *relayedConn, target *net.TCPConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-conn.closed:
		_ = target.Close()
		return false
	default:
		conn.target = target
		return true
	}
}

// copyDirection copies the bytes of one direction and closes or resets the other
// side when the stream ends. While the direction is cut, it holds back both.
func (n *network) copyDirection(conn *relayedConn, to, from *net.TCPConn, d direction) {
	const size = 64 << 10
	buf := make([]byte, size)
	for {
		count, readErr := from.Read(buf)
		if !n.waitWhileCut(conn, d) {
			return
		}
		if count > 0 {
			if _, err := to.Write(buf[:count]); err != nil {
				conn.reset()
				return
			}
			n.countBytes(d, count)
		}
		if readErr == nil {
			continue
		}
		if readErr.Error() == "EOF" {
			_ = to.CloseWrite()
		} else {
			conn.reset()
		}
		return
	}
}

// countBytes adds to the number of bytes relayed in a direction.
func (n *network) countBytes(d direction, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relayedBytes[d] += uint64(bytes)
}

func (n *network) add(conn *relayedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[conn] = true
}

func (n *network) remove(conn *relayedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, conn)
	conn.close()
}

// resetAll resets the connections of which either direction matches d, and
// returns their number.
func (n *network) resetAll(d direction) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for conn := range n.conns {
		if matches(d, conn.forward) || matches(d, conn.backward()) {
			conn.reset()
			count++
		}
	}
	return count
}

// matches reports whether d matches want, which may contain anyIP.
func matches(want, d direction) bool {
	return (want.From == anyIP || want.From == d.From) && (want.To == anyIP || want.To == d.To)
}

func (conn *relayedConn) backward() direction { return direction{conn.forward.To, conn.forward.From} }

// reset closes both ends with a TCP reset.
func (conn *relayedConn) reset() {
	_ = conn.client.SetLinger(0)
	if conn.target != nil {
		_ = conn.target.SetLinger(0)
	}
	conn.close()
}

// close closes both ends and stops the copying goroutines.
func (conn *relayedConn) close() {
	conn.once.Do(func() {
		close(conn.closed)
		_ = conn.client.Close()
		if conn.target != nil {
			_ = conn.target.Close()
		}
	})
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

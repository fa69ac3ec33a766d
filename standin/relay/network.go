package main

import (
	"log"
	"net"
	"sync"
	"time"
)

// anyIP stands for every IP in a cut.
const anyIP = "*"

// direction is the way that bytes go between two IPs.
type direction struct {
	From string `json:"from"`
	To   string `json:"to"`
}

// network is the set of connections and the cuts between them.
type network struct {
	mu   sync.Mutex
	cuts map[direction]bool
	// healed is closed, and replaced, when cuts change.
	healed chan struct{}
	conns  map[*pair]bool
	// bytes counts what was passed on in each direction.
	bytes map[direction]uint64
}

// pair is one relayed connection.
type pair struct {
	forward direction
	client  *net.TCPConn
	target  *net.TCPConn
	// closed ends the pumps that are held by a cut.
	closed chan struct{}
	once   sync.Once
}

func newNetwork() *network {
	return &network{
		cuts:   make(map[direction]bool),
		healed: make(chan struct{}),
		conns:  make(map[*pair]bool),
		bytes:  make(map[direction]uint64),
	}
}

// cutLocked reports whether bytes in the direction are held.
func (n *network) cutLocked(d direction) bool {
	return n.cuts[d] ||
		n.cuts[direction{anyIP, d.To}] ||
		n.cuts[direction{d.From, anyIP}] ||
		n.cuts[direction{anyIP, anyIP}]
}

// change adds or removes cuts and wakes the pumps that are held.
func (n *network) change(fn func(cuts map[direction]bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	fn(n.cuts)
	close(n.healed)
	n.healed = make(chan struct{})
}

// waitOpen returns true once the direction is open, false if the pair closed.
func (n *network) waitOpen(p *pair, d direction) bool {
	for {
		n.mu.Lock()
		cut, healed := n.cutLocked(d), n.healed
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-healed:
		case <-p.closed:
			return false
		}
	}
}

// accept relays every connection of the listener to the target. The source
// stands for the IP of the client where it is not empty.
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

// relay joins the connection to the target until both directions have ended.
func (n *network) relay(client *net.TCPConn, from, target string) {
	const dialTimeout = 2 * time.Second
	p := &pair{
		forward: direction{from, hostOf(target)},
		client:  client,
		closed:  make(chan struct{}),
	}
	n.add(p)
	defer n.remove(p)
	// A new connection is cut like any other: nothing reaches the target.
	if !n.waitOpen(p, p.forward) {
		return
	}
	t, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		n.waitOpen(p, p.backward())
		p.reset()
		return
	}
	if !n.setTarget(p, t.(*net.TCPConn)) {
		return
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { n.pump(p, p.target, p.client, p.forward) })
	pumps.Go(func() { n.pump(p, p.client, p.target, p.backward()) })
	pumps.Wait()
}

// setTarget completes the pair; it returns false if a reset came first.
func (n *network) setTarget(p *pair, target *net.TCPConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-p.closed:
		_ = target.Close()
		return false
	default:
		p.target = target
		return true
	}
}

// pump copies one direction, and its end, as long as it is not cut.
func (n *network) pump(p *pair, to, from *net.TCPConn, d direction) {
	const size = 64 << 10
	buf := make([]byte, size)
	for {
		count, readErr := from.Read(buf)
		if !n.waitOpen(p, d) {
			return
		}
		if count > 0 {
			if _, err := to.Write(buf[:count]); err != nil {
				p.reset()
				return
			}
			n.count(d, count)
		}
		if readErr == nil {
			continue
		}
		if readErr.Error() == "EOF" {
			_ = to.CloseWrite()
		} else {
			p.reset()
		}
		return
	}
}

// count adds to the bytes passed on.
func (n *network) count(d direction, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[d] += uint64(bytes)
}

func (n *network) add(p *pair) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[p] = true
}

func (n *network) remove(p *pair) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, p)
	p.close()
}

// resetAll resets the connections whose either direction is d.
func (n *network) resetAll(d direction) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for p := range n.conns {
		if matches(d, p.forward) || matches(d, p.backward()) {
			p.reset()
			count++
		}
	}
	return count
}

// matches reports whether d is the wanted direction, which may hold anyIP.
func matches(want, d direction) bool {
	return (want.From == anyIP || want.From == d.From) && (want.To == anyIP || want.To == d.To)
}

func (p *pair) backward() direction { return direction{p.forward.To, p.forward.From} }

// reset closes both ends with a reset.
func (p *pair) reset() {
	_ = p.client.SetLinger(0)
	if p.target != nil {
		_ = p.target.SetLinger(0)
	}
	p.close()
}

// close closes both ends and frees the pumps.
func (p *pair) close() {
	p.once.Do(func() {
		close(p.closed)
		_ = p.client.Close()
		if p.target != nil {
			_ = p.target.Close()
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

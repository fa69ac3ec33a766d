package soak

import (
	"net"
	"sync"
	"time"
)

// direction is a direction of traffic through a proxy.
type direction int

const (
	toTarget direction = iota
	toClient
)

// proxy forwards TCP connections from one listener to one target and injects
// network faults. Bytes of a blocked direction are held back, as on a link that
// loses packets.
type proxy struct {
	ln     net.Listener
	target string

	mu      sync.Mutex
	changed chan struct{}
	blocked [2]bool
	// blockedSources holds the client IPs whose traffic is held back in both
	// directions.
	blockedSources map[string]bool
	delay          time.Duration
	refuse         bool
	pairs          map[*connPair]bool
}

type connPair struct{ client, target net.Conn }

func (p *connPair) close() {
	// The peers may have closed the connections already.
	_ = p.client.Close()
	_ = p.target.Close()
}

// reset closes both connections with a TCP reset instead of a FIN.
func (p *connPair) reset() {
	for _, c := range []net.Conn{p.client, p.target} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.close()
}

func newProxy(listen, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{
		ln: ln, target: target, changed: make(chan struct{}), blockedSources: map[string]bool{}, pairs: map[*connPair]bool{},
	}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	p.mu.Lock()
	refuse := p.refuse
	p.mu.Unlock()
	t, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil || refuse {
		if err == nil {
			_ = t.Close()
		}
		_ = c.Close()
		return
	}
	pair := &connPair{c, t}
	p.mu.Lock()
	p.pairs[pair] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	source := sourceOf(c)
	go p.forward(c, t, source, toTarget, done)
	go p.forward(t, c, source, toClient, done)
	<-done
	pair.close()
	<-done
	p.mu.Lock()
	delete(p.pairs, pair)
	p.mu.Unlock()
}

// sourceOf returns the client IP of an accepted connection.
func sourceOf(c net.Conn) string {
	if addr, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return addr.IP.String()
	}
	return ""
}

// forward copies one direction until its stream ends, which closes both
// connections: no program in these tests half-closes one.
func (p *proxy) forward(from, to net.Conn, source string, d direction, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.waitUnblocked(source, d)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUnblocked waits while the direction or the source is blocked, then for the
// delay.
func (p *proxy) waitUnblocked(source string, d direction) {
	p.mu.Lock()
	for p.blocked[d] || p.blockedSources[source] {
		changed := p.changed
		p.mu.Unlock()
		<-changed
		p.mu.Lock()
	}
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
}

func (p *proxy) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

// setBlocked blocks or unblocks one direction.
func (p *proxy) setBlocked(d direction, blocked bool) { p.update(func() { p.blocked[d] = blocked }) }

// setSourceBlocked blocks or unblocks both directions for clients at an IP.
func (p *proxy) setSourceBlocked(source string, blocked bool) {
	p.update(func() { p.blockedSources[source] = blocked })
}

// setDelay sets the delay that is added to each read.
func (p *proxy) setDelay(delay time.Duration) { p.update(func() { p.delay = delay }) }

// reset resets all connections; new ones are closed immediately
// while refuse is set.
func (p *proxy) reset(refuse bool) {
	p.update(func() {
		p.refuse = refuse
		for pair := range p.pairs {
			pair.reset()
		}
	})
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.update(func() {
		p.blocked = [2]bool{}
		p.blockedSources = map[string]bool{}
		for pair := range p.pairs {
			pair.close()
		}
	})
}

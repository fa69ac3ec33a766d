package soak

import (
	"net"
	"sync"
	"time"
)

// direction is the way that bytes go through a proxy.
type direction int

const (
	toTarget direction = iota
	toDialer
)

// proxy passes TCP on between one listener and one target, and misbehaves when
// it is told to. Bytes of a silenced direction are held, as on a lossy link.
type proxy struct {
	ln     net.Listener
	target string

	mu     sync.Mutex
	wake   chan struct{}
	silent [2]bool
	// cutFrom holds the IPs of dialers that nothing passes from or to.
	cutFrom map[string]bool
	delay   time.Duration
	refuse  bool
	pairs   map[*pair]bool
}

type pair struct{ dialer, target net.Conn }

func (p *pair) close() {
	// The other side may have closed it already.
	_ = p.dialer.Close()
	_ = p.target.Close()
}

// reset ends both connections with a reset in place of an end of stream.
func (p *pair) reset() {
	for _, c := range []net.Conn{p.dialer, p.target} {
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
	p := &proxy{ln: ln, target: target, wake: make(chan struct{}), cutFrom: map[string]bool{}, pairs: map[*pair]bool{}}
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
	link := &pair{c, t}
	p.mu.Lock()
	p.pairs[link] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	source := sourceOf(c)
	go p.pass(c, t, source, toTarget, done)
	go p.pass(t, c, source, toDialer, done)
	<-done
	link.close()
	<-done
	p.mu.Lock()
	delete(p.pairs, link)
	p.mu.Unlock()
}

// sourceOf returns the IP that a connection was dialed from.
func sourceOf(c net.Conn) string {
	if addr, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return addr.IP.String()
	}
	return ""
}

// pass copies one direction. The end of a stream ends both: nothing here uses
// connections that are closed by halves.
func (p *proxy) pass(from, to net.Conn, source string, d direction, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.hold(source, d)
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

// hold waits while the direction is silent, then for the delay.
func (p *proxy) hold(source string, d direction) {
	p.mu.Lock()
	for p.silent[d] || p.cutFrom[source] {
		wake := p.wake
		p.mu.Unlock()
		<-wake
		p.mu.Lock()
	}
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
}

func (p *proxy) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.wake)
	p.wake = make(chan struct{})
}

// silence holds one direction or lets it pass.
func (p *proxy) silence(d direction, silent bool) { p.set(func() { p.silent[d] = silent }) }

// cut holds what comes from or goes to dialers at an IP, or lets it pass.
func (p *proxy) cut(source string, cut bool) { p.set(func() { p.cutFrom[source] = cut }) }

// slow delays each read by so much.
func (p *proxy) slow(by time.Duration) { p.set(func() { p.delay = by }) }

// reset ends all connections, and refuses new ones while refuse is set.
func (p *proxy) reset(refuse bool) {
	p.set(func() {
		p.refuse = refuse
		for link := range p.pairs {
			link.reset()
		}
	})
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.set(func() {
		p.silent = [2]bool{}
		p.cutFrom = map[string]bool{}
		for link := range p.pairs {
			link.close()
		}
	})
}

//go:build review

package rig2

import (
	"net"
	"sync"
	"time"
)

// pollInterval is how often a connection that is cut looks whether it is healed.
const pollInterval = 20 * time.Millisecond

// windowBytes is the size of the socket buffers of a link with a bandwidth.
const windowBytes = 64 << 10

// link is a proxy in front of an address. While a machine is cut off, nothing that it sends or is
// sent through the link arrives, and new connections get no answer. What was held up is lost:
// connections on which something was sent meanwhile end once the cut has healed.
type link struct {
	net.Listener
	target string
	// owner is the machine behind the link, nil for the store.
	owner *Machine
	rig   *Rig
}

// startLink starts a proxy at an address.
func (r *Rig) startLink(at, target string, owner *Machine) {
	ln, err := net.Listen("tcp", at)
	Must(err)
	l := &link{Listener: ln, target: target, owner: owner, rig: r}
	go l.serve()
	r.Defer(func() { _ = ln.Close() })
}

func (l *link) serve() {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go l.forward(c)
	}
}

// source returns the machine that dialled a connection.
func (l *link) source(c net.Conn) *Machine {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	for _, m := range l.rig.Machines {
		if m.IP == host {
			return m
		}
	}
	return nil
}

func (l *link) forward(c net.Conn) {
	defer c.Close()
	from := l.source(c)
	if awaitHealed(from, l.owner) {
		return
	}
	d := net.Dialer{Timeout: time.Second}
	t, err := d.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer t.Close()
	if l.rig.LinkMbps > 0 {
		// A link has small windows.
		for _, side := range []net.Conn{c, t} {
			_ = side.(*net.TCPConn).SetReadBuffer(windowBytes)
			_ = side.(*net.TCPConn).SetWriteBuffer(windowBytes)
		}
	}
	var both sync.WaitGroup
	both.Go(func() { l.pump(t, c, from, []*pacer{l.pacerOf(from, true), l.pacerOf(l.owner, false)}) })
	both.Go(func() { l.pump(c, t, from, []*pacer{l.pacerOf(l.owner, true), l.pacerOf(from, false)}) })
	both.Wait()
}

// pump copies what arrives on one connection to another until something arrives while a machine
// is cut off.
func (l *link) pump(to, from net.Conn, dialled *Machine, paced []*pacer) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if awaitHealed(dialled, l.owner) {
			return
		}
		for _, p := range paced {
			p.wait(n, l.rig.LinkMbps)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pacer spaces what a machine sends or receives by the bandwidth of its link.
type pacer struct {
	mu     sync.Mutex
	freeAt time.Time
}

// pacerOf returns the pacer of a machine's link in one direction, nil if there is none.
func (l *link) pacerOf(m *Machine, sends bool) *pacer {
	switch {
	case m == nil || l.rig.LinkMbps <= 0 || l.owner == nil:
		return nil
	case sends:
		return &m.sends
	default:
		return &m.receives
	}
}

// wait waits until n bytes have passed.
func (p *pacer) wait(n int, mbps float64) {
	if p == nil || n <= 0 {
		return
	}
	p.mu.Lock()
	now := time.Now()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(float64(n*8) / (mbps * 1e6) * float64(time.Second)))
	until := p.freeAt
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// awaitHealed waits until no end is cut off, and reports whether one was.
func awaitHealed(ends ...*Machine) (waited bool) {
	for _, m := range ends {
		for m != nil && m.cut.Load() {
			waited = true
			time.Sleep(pollInterval)
		}
	}
	return waited
}

// Cut partitions the machine from all others and from the store, silently, or heals that.
func (m *Machine) Cut(cut bool) { m.cut.Store(cut) }

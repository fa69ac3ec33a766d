//go:build review

package rig2

import (
	"net"
	"sync"
	"time"
)

// pollInterval is how often a connection that is cut looks whether it is healed.
const pollInterval = 20 * time.Millisecond

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
	var both sync.WaitGroup
	both.Go(func() { l.pump(t, c, from) })
	both.Go(func() { l.pump(c, t, from) })
	both.Wait()
}

// pump copies what arrives on one connection to another until something arrives while a machine
// is cut off.
func (l *link) pump(to, from net.Conn, dialled *Machine) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if awaitHealed(dialled, l.owner) {
			return
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

//go:build review

package harness

import (
	"net"
	"sync"
	"time"
)

// Network is the links between machines and to the platform. A machine that is cut off
// sends and receives nothing over them; the bytes are held back, as on a link that loses
// all packets, and arrive once the cut has ended.
type Network struct {
	mu      sync.Mutex
	cut     map[string]bool
	changed chan struct{}
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network { return &Network{cut: map[string]bool{}, changed: make(chan struct{})} }

// Cut cuts a machine off or ends the cut.
func (n *Network) Cut(machine string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[machine] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// pass waits until neither machine is cut off.
func (n *Network) pass(a, b string) {
	for {
		n.mu.Lock()
		blocked, changed := n.cut[a] || n.cut[b], n.changed
		n.mu.Unlock()
		if !blocked {
			return
		}
		<-changed
	}
}

// Link accepts connections at an address and forwards them to the target. The machine of the
// accepting side is given; that of the dialling side is told by name from its address.
func (n *Network) Link(listen, target, machine string, dialler func(net.Addr) string) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go n.forward(c, target, machine, dialler(c.RemoteAddr()))
		}
	}()
	return nil
}

func (n *Network) forward(c net.Conn, target, machine, from string) {
	defer c.Close()
	n.pass(machine, from)
	t, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	defer t.Close()
	var both sync.WaitGroup
	copyBytes := func(to, from net.Conn, a, b string) {
		buf := make([]byte, 64<<10)
		for {
			k, err := from.Read(buf)
			n.pass(a, b)
			if k > 0 {
				if _, err := to.Write(buf[:k]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		// An end or a reset is passed on after the bytes before it.
		_ = to.Close()
	}
	both.Go(func() { copyBytes(t, c, machine, from) })
	both.Go(func() { copyBytes(c, t, machine, from) })
	both.Wait()
}

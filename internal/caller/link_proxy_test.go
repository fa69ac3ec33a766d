package caller

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"fulmarhinge/internal/view"
)

// linkProxy is a TCP proxy on the link to one node. It can block a direction
// without closing the connection, as a network partition does, or break each
// connection after a number of bytes.
type linkProxy struct {
	net.Listener
	target string

	mu sync.Mutex
	// blocked is indexed by direction: 0 for bytes sent to the node, 1 for
	// bytes sent back.
	blocked [2]bool
	// limitBytes is the number of bytes, by direction, after which each new
	// connection is closed; -1 for no limit.
	limitBytes [2]int
}

func newLinkProxy(t *testing.T, target string) *linkProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &linkProxy{Listener: ln, target: target, limitBytes: [2]int{-1, -1}}
	t.Cleanup(func() { _ = ln.Close() })
	go p.serve(t.Context())
	return p
}

func (p *linkProxy) addr() string { return p.Addr().String() }

func (p *linkProxy) serve(ctx context.Context) {
	for {
		in, err := p.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		context.AfterFunc(ctx, func() {
			_ = in.Close()
			_ = out.Close()
		})
		p.mu.Lock()
		limit := p.limitBytes
		p.mu.Unlock()
		go p.forward(out, in, 0, limit[0])
		go p.forward(in, out, 1, limit[1])
	}
}

func (p *linkProxy) forward(to, from net.Conn, direction, limit int) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for limit != 0 {
		chunk := buf
		if limit > 0 {
			chunk = buf[:min(limit, len(buf))]
		}
		n, err := from.Read(chunk)
		if err != nil || !p.waitUnblocked(direction) {
			return
		}
		if _, err = to.Write(chunk[:n]); err != nil {
			return
		}
		if limit > 0 {
			limit -= n
		}
	}
}

// waitUnblocked waits while the direction is blocked. It returns false after
// about 10 s.
func (p *linkProxy) waitUnblocked(direction int) bool {
	for range 10_000 {
		p.mu.Lock()
		blocked := p.blocked[direction]
		p.mu.Unlock()
		if !blocked {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

func (p *linkProxy) set(blocked [2]bool, limitBytes [2]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked, p.limitBytes = blocked, limitBytes
}

func (p *linkProxy) blockBoth() { p.set([2]bool{true, true}, [2]int{-1, -1}) }

// proxiedLink makes a node reach another one through a proxy.
type proxiedLink struct {
	node  int
	to    string
	proxy *linkProxy
}

func (f *testFleet) publishProxied(t *testing.T, links ...proxiedLink) []*linkProxy {
	t.Helper()
	var proxies []*linkProxy
	for i := range links {
		var to string
		for _, n := range f.nodes {
			if n.name == links[i].to {
				to = n.transport.Addr()
			}
		}
		links[i].proxy = newLinkProxy(t, to)
		proxies = append(proxies, links[i].proxy)
	}
	f.publish(func(i int, v *view.View) {
		for _, l := range links {
			if l.node == i {
				v.Members[l.to].PeerAddr = l.proxy.addr()
			}
		}
	})
	return proxies
}

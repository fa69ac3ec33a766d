package peer

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// cutProxy forwards connections to a peer and can swallow what flows in one
// direction, as a cut network does, without closing anything.
type cutProxy struct {
	net.Listener
	cutThere, cutBack atomic.Bool
}

func newCutProxy(t *testing.T, to string) *cutProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &cutProxy{Listener: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			go relay(out, in, &p.cutThere)
			go relay(in, out, &p.cutBack)
		}
	}()
	return p
}

func relay(to, from net.Conn, cut *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		if cut.Load() {
			continue
		}
		if _, err = to.Write(buf[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

func TestControlRecoversFromOneWayCuts(t *testing.T) {
	for _, direction := range []string{"there", "back"} {
		t.Run(direction, func(t *testing.T) {
			a, b := start(t, "f", "a"), start(t, "f", "b")
			p := newCutProxy(t, b.Addr())
			cut := &p.cutThere
			if direction == "back" {
				cut = &p.cutBack
			}
			a.Send(p.Addr().String(), renew(1))
			receive(t, b)
			cut.Store(true)
			began := time.Now()
			for i := range uint64(50) {
				a.Send(p.Addr().String(), renew(i))
			}
			if d := time.Since(began); d > 100*time.Millisecond {
				t.Fatalf("sends to a cut peer took %v", d)
			}
			eventually(t, "the dead session is noticed", func() bool { return a.sender(p.Addr().String()).broken.Load() > 0 })
			if d := time.Since(began); d > 1500*time.Millisecond {
				t.Fatalf("the dead session was noticed after %v", d)
			}
			for len(b.got) > 0 {
				<-b.got
			}
			cut.Store(false)
			healed := time.Now()
			for found := false; !found; {
				a.Send(p.Addr().String(), renew(1000))
				select {
				case m := <-b.got:
					found = m.GetRenew().GetSeq() == 1000
				case <-time.After(10 * time.Millisecond):
				}
				if time.Since(healed) > 2*time.Second {
					t.Fatal("no message arrived within two seconds of the end of the cut")
				}
			}
		})
	}
}

func TestStreamOfASilentPeerEndsSoon(t *testing.T) {
	a, b := start(t, "f", "a"), start(t, "f", "b")
	p := newCutProxy(t, b.Addr())
	conn, err := a.Open(t.Context(), p.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	p.cutBack.Store(true)
	if _, err = conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if n, err := conn.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	if d := time.Since(began); d > 3*time.Second {
		t.Fatalf("the silent peer was noticed after %v", d)
	}
	p.cutBack.Store(false)
	again, err := a.Open(t.Context(), p.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = again.Write([]byte("y"))
	_ = again.Close()
	if got, err := io.ReadAll(again); err != nil || string(got) != "y" {
		t.Fatalf("after the cut: %q, %v", got, err)
	}
}

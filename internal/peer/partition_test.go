package peer

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// partitionProxy forwards connections to a peer. It can drop the data of one
// direction without closing the connections, as a network partition does.
type partitionProxy struct {
	net.Listener
	dropRequests, dropReplies atomic.Bool
}

func newPartitionProxy(t *testing.T, to string) *partitionProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &partitionProxy{Listener: ln}
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
			go forward(out, in, &p.dropRequests)
			go forward(in, out, &p.dropReplies)
		}
	}()
	return p
}

// forward copies data until a connection fails, and discards it while drop is set.
func forward(to, from net.Conn, drop *atomic.Bool) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		if drop.Load() {
			continue
		}
		if _, err = to.Write(buf[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// TestControlRecoversFromOneWayPartitions drops the data of one direction while
// the connection stays open. The sender must not block, must detect the
// half-open session in time and must deliver messages soon after the partition.
func TestControlRecoversFromOneWayPartitions(t *testing.T) {
	for _, dropped := range []string{"requests", "replies"} {
		t.Run(dropped, func(t *testing.T) {
			a, b := start(t, "f", "a"), start(t, "f", "b")
			p := newPartitionProxy(t, b.Addr())
			drop := &p.dropRequests
			if dropped == "replies" {
				drop = &p.dropReplies
			}
			a.Send(p.Addr().String(), renew(1))
			receive(t, b)
			drop.Store(true)
			began := time.Now()
			for i := range uint64(50) {
				a.Send(p.Addr().String(), renew(i))
			}
			if d := time.Since(began); d > 100*time.Millisecond {
				t.Fatalf("sends to a partitioned peer took %v", d)
			}
			eventually(t, "half-open session detected", func() bool {
				return a.senderFor(p.Addr().String()).failedSessions.Load() > 0
			})
			if d := time.Since(began); d > 1500*time.Millisecond {
				t.Fatalf("the half-open session was detected after %v", d)
			}
			for len(b.received) > 0 {
				<-b.received
			}
			drop.Store(false)
			healed := time.Now()
			for found := false; !found; {
				a.Send(p.Addr().String(), renew(1000))
				select {
				case m := <-b.received:
					found = m.GetRenew().GetSeq() == 1000
				case <-time.After(10 * time.Millisecond):
				}
				if time.Since(healed) > 2*time.Second {
					t.Fatal("no message arrived within two seconds of the end of the partition")
				}
			}
		})
	}
}

// TestStreamToUnresponsivePeerFails drops the replies of a peer while a stream is
// open: a read must fail soon, and a later Open must dial a new session.
func TestStreamToUnresponsivePeerFails(t *testing.T) {
	a, b := start(t, "f", "a"), start(t, "f", "b")
	p := newPartitionProxy(t, b.Addr())
	conn, err := a.Open(t.Context(), p.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	p.dropReplies.Store(true)
	if _, err = conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if n, err := conn.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	if d := time.Since(began); d > 3*time.Second {
		t.Fatalf("the unresponsive peer was detected after %v", d)
	}
	p.dropReplies.Store(false)
	again, err := a.Open(t.Context(), p.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = again.Write([]byte("y"))
	_ = again.Close()
	if got, err := io.ReadAll(again); err != nil || string(got) != "y" {
		t.Fatalf("after the partition: %q, %v", got, err)
	}
}

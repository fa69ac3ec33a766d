package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/wire"
)

// waitTimeout is how long a test waits for a condition before it fails.
const waitTimeout = 5 * time.Second

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// node is a listening transport with the control messages it has received and
// its log output.
type node struct {
	*Transport
	received chan *wire.Control
	log      *lockedBuffer
}

func start(t *testing.T, fleet, name string) *node {
	t.Helper()
	n := &node{received: make(chan *wire.Control, 100), log: &lockedBuffer{}}
	cfg := Config{
		Fleet: fleet, Self: cluster.MemberRef{Name: name, Incarnation: 1}, Listen: "127.0.0.1:0",
		DialFrom: "127.0.0.1", Logger: hclog.New(&hclog.LoggerOptions{Output: n.log}),
	}
	n.Transport = New(cfg, func(_ cluster.MemberRef, m *wire.Control) { n.received <- m }, echo)
	if err := n.Listen(); err != nil {
		t.Fatal(err)
	}
	go n.Serve(t.Context())
	t.Cleanup(n.Close)
	return n
}

func echo(_ context.Context, _ cluster.MemberRef, conn net.Conn) { _, _ = io.Copy(conn, conn) }

func renew(seq uint64) *wire.Control {
	return &wire.Control{Body: &wire.Control_Renew{Renew: &wire.Renew{Seq: seq}}}
}

// eventually polls until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met: " + what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func receive(t *testing.T, n *node) *wire.Control {
	t.Helper()
	select {
	case m := <-n.received:
		return m
	case <-time.After(waitTimeout):
		t.Fatal("no control message arrived")
		return nil
	}
}

func TestControlAndStreams(t *testing.T) {
	a, b := start(t, "f", "a"), start(t, "f", "b")
	for i := range uint64(3) {
		a.Send(b.Addr(), renew(i))
	}
	for i := range uint64(3) {
		if got := receive(t, b).GetRenew().GetSeq(); got != i {
			t.Fatalf("message %d arrived as %d", i, got)
		}
	}
	conn, err := a.Open(t.Context(), b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	if _, err = conn.Write([]byte("whole")); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	if got, err := io.ReadAll(conn); err != nil || string(got) != "whole" {
		t.Fatalf("stream gave %q, %v", got, err)
	}
	// The sender counts a message after its write has returned, which may be
	// after the receiver has got the message.
	eventually(t, "three messages counted", func() bool {
		s := a.Stats()
		return s.MessagesSent == 3 && s.BytesSent > 0
	})
}

func TestRefusesOtherFleetAndBothNodesLogIt(t *testing.T) {
	a, b := start(t, "north", "a"), start(t, "south", "b")
	if _, err := a.Open(t.Context(), b.Addr()); !ErrUnreachable.Has(err) {
		t.Fatalf("Open gave %v", err)
	}
	for _, n := range []*node{a, b} {
		eventually(t, "refusal logged", func() bool {
			return strings.Contains(n.log.String(), `belongs to fleet \"north\", this node to fleet \"south\"`)
		})
	}
}

func TestRefusesOtherProtocolVersion(t *testing.T) {
	b := start(t, "f", "b")
	conn, err := net.Dial("tcp", b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	hello, _ := appendSized(nil, &wire.Hello{Protocol: wire.ProtocolVersion + 1, Fleet: "f", Name: "x", Session: "control"}, maxHelloBytes)
	if _, err = conn.Write(hello); err != nil {
		t.Fatal(err)
	}
	var reply wire.HelloReply
	if err = readSized(conn, &reply, maxHelloBytes); err != nil || !strings.Contains(reply.Error, "protocol version 2") {
		t.Fatalf("reply %q, %v", reply.Error, err)
	}
}

func TestSendNeverBlocksAndRecovers(t *testing.T) {
	a := start(t, "f", "a")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	began := time.Now()
	for i := range uint64(2 * maxQueuedMessages) {
		a.Send(addr, renew(i))
	}
	if d := time.Since(began); d > time.Second {
		t.Fatalf("sends took %v", d)
	}
	b := New(Config{Fleet: "f", Self: cluster.MemberRef{Name: "b"}, Listen: addr}, func(cluster.MemberRef, *wire.Control) {}, echo)
	if err = b.Listen(); err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	go b.Serve(t.Context())
	up := time.Now()
	for b.Stats().MessagesReceived == 0 {
		a.Send(addr, renew(0))
		time.Sleep(5 * time.Millisecond)
		if time.Since(up) > time.Second {
			t.Fatal("the session did not recover within a second")
		}
	}
}

// TestMalformedControlEndsTheSessionOnly checks that a peer which sends malformed
// messages loses its session while the node continues to serve other peers.
func TestMalformedControlEndsTheSessionOnly(t *testing.T) {
	a, b := start(t, "f", "a"), start(t, "f", "b")
	for _, c := range []struct {
		name  string
		bytes []byte
	}{
		{"length above the limit", []byte{0xff, 0xff, 0xff, 0xff, 1, 2, 3}},
		{"invalid protobuf", []byte{0, 0, 0, 3, 0xff, 0xff, 0xff}},
		{"truncated message", []byte{0, 0, 1, 0, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, _, err := a.dial(b.Addr(), controlSession)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			mux, err := yamux.Client(conn, sessionConfig(0, trafficWriteTimeout))
			if err != nil {
				t.Fatal(err)
			}
			stream, err := mux.OpenStream()
			if err != nil {
				t.Fatal(err)
			}
			_, _ = stream.Write(c.bytes)
			_ = stream.Close()
			eventually(t, "session closed", mux.IsClosed)
		})
	}
	conn, err := net.Dial("tcp", b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	_ = conn.Close()
	a.Send(b.Addr(), renew(5))
	if got := receive(t, b).GetRenew().GetSeq(); got != 5 {
		t.Fatalf("got message %d", got)
	}
}

func TestIdleSenderStopsAndIsReplaced(t *testing.T) {
	a, b := start(t, "f", "a"), start(t, "f", "b")
	a.senderIdleTimeout = 20 * time.Millisecond
	a.Send(b.Addr(), renew(1))
	receive(t, b)
	first := a.senderFor(b.Addr())
	// The idle timeout starts when the session ends.
	b.Close()
	eventually(t, "the sender is removed", func() bool {
		_, found := a.senders.Load(b.Addr())
		return !found
	})
	if again := a.senderFor(b.Addr()); again == first {
		t.Fatal("a stopped sender is used again")
	}
}

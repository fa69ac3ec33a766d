package backend

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/peer"
	"fulmarhinge/internal/wire"
)

// scriptedConn provides the bytes sent by a peer and records the response.
type scriptedConn struct {
	net.Conn
	in  *bytes.Reader
	out bytes.Buffer
}

func (c *scriptedConn) Read(p []byte) (int, error)       { return c.in.Read(p) }
func (c *scriptedConn) Write(p []byte) (int, error)      { return c.out.Write(p) }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzServeStream sends arbitrary bytes to the gate as a peer's request. The
// gate must respond with a head that a peer can decode, and no request may remain
// in flight.
func FuzzServeStream(f *testing.F) {
	head := post("1")
	head.DeadlineMs = 20
	frames, _ := peer.AppendFrame(nil, peer.FrameHead, head)
	frames, _ = peer.AppendFrame(frames, peer.FrameEnd, &wire.BodyEnd{})
	f.Add(frames)
	head.ContentLength = 2
	frames, _ = peer.AppendFrame(nil, peer.FrameHead, head)
	frames = append(frames, 0, 0, 0, 2, byte(peer.FrameData), 'a', 'b')
	frames, _ = peer.AppendFrame(frames, peer.FrameEnd, &wire.BodyEnd{Length: 2})
	f.Add(frames)
	g := newGateTest(f, func(http.ResponseWriter, *http.Request) {})
	f.Fuzz(func(t *testing.T, b []byte) {
		conn := &scriptedConn{in: bytes.NewReader(b)}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		g.ServeStream(ctx, cluster.MemberRef{Name: "fuzz"}, conn)
		out := bytes.NewReader(conn.out.Bytes())
		kind, size, err := peer.ReadFrameHeader(out)
		if kind == peer.FrameContinue {
			kind, size, err = peer.ReadFrameHeader(out)
		}
		var answer wire.ResponseHead
		if err != nil || kind != peer.FrameHead || peer.ReadMessage(out, size, &answer) != nil || answer.GetCode() == 0 {
			t.Fatalf("frame kind %d, error %v, response head %v", kind, err, &answer)
		}
		if g.Total() != 0 {
			t.Fatal("a request is still counted as in flight")
		}
	})
}

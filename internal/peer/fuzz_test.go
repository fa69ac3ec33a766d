package peer

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"fulmarhinge/internal/wire"
)

// FuzzControl feeds arbitrary bytes to the decoder of control messages. An
// accepted message must stay the same when it is encoded and decoded again.
func FuzzControl(f *testing.F) {
	good, _ := appendSized(nil, renew(7), MaxControlBytes)
	f.Add(good)
	f.Fuzz(func(t *testing.T, b []byte) {
		var m wire.Control
		if readSized(bytes.NewReader(b), &m, MaxControlBytes) != nil {
			return
		}
		again, err := appendSized(nil, &m, 2*MaxControlBytes)
		if err != nil {
			t.Fatal(err)
		}
		var n wire.Control
		if err = readSized(bytes.NewReader(again), &n, 2*MaxControlBytes); err != nil || !proto.Equal(&m, &n) {
			t.Fatalf("decoding again gave %v, %v", &n, err)
		}
	})
}

// FuzzFrames feeds arbitrary bytes to the decoder of traffic frames.
func FuzzFrames(f *testing.F) {
	b, _ := AppendFrame(nil, FrameHead, &wire.RequestHead{Id: "1", Method: "GET"})
	b, _ = AppendFrame(b, FrameEnd, &wire.BodyEnd{Length: 0})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		r := bytes.NewReader(b)
		for {
			kind, size, err := ReadFrameHeader(r)
			if err != nil {
				return
			}
			if size < 0 || size > kind.maxPayloadBytes() {
				t.Fatalf("accepted %d bytes of kind %d", size, kind)
			}
			var m wire.RequestHead
			if err = ReadMessage(r, size, &m); err != nil {
				return
			}
		}
	})
}

// TestFalseLengthCostsNoMemory checks that a peer which announces large messages
// and sends only one byte of each can't make the node allocate large buffers.
func TestFalseLengthCostsNoMemory(t *testing.T) {
	frame := make([]byte, FrameHeaderSize, FrameHeaderSize+1)
	PutFrameHeader(frame, FrameHead, MaxHeadBytes)
	maxCap := 0
	for range 1000 {
		r := bytes.NewReader(append(frame, 0))
		_, size, err := ReadFrameHeader(r)
		if err != nil {
			t.Fatal(err)
		}
		buf, err := readPayload(r, size)
		if err == nil {
			t.Fatal("a truncated message was accepted")
		}
		maxCap = max(maxCap, cap(buf))
	}
	if maxCap > maxPreallocatedBytes {
		t.Fatalf("%d bytes were allocated for a message of one byte", maxCap)
	}
}

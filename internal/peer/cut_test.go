package peer

import (
	"bytes"
	"testing"

	"fulmarhinge/internal/wire"
)

// TestCutMessageIsNotWhole guards against an answer that is taken for whole although the session with the peer ended
// within it.
func TestCutMessageIsNotWhole(t *testing.T) {
	head := &wire.ResponseHead{Id: "r1", Status: 200, ContentLength: int64(MaxDataBytes + 3), Code: 1000}
	var whole bytes.Buffer
	if err := WriteUnary(&whole, head, make([]byte, MaxDataBytes+3)); err != nil {
		t.Fatal(err)
	}
	for cut := range whole.Len() {
		got := &wire.ResponseHead{}
		if body, err := ReadUnary(bytes.NewReader(whole.Bytes()[:cut]), got, got.GetContentLength); err == nil {
			t.Fatalf("cut after %d of %d bytes: got a body of %d bytes", cut, whole.Len(), len(body))
		}
	}
}

package disconnect

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// TestRequestWhoseSessionWasNotReadYet guards against requests of another node that run although the disconnect of
// their caller waits to be read on the session, as its reader lacks processor time.
func TestRequestWhoseSessionWasNotReadYet(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	far, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	near, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	ctx, cancel := context.WithCancel(WithSession(t.Context(), near))
	defer cancel()
	// The peer's close of the stream, which takes the session's reader a while to reach.
	if _, err := far.Write([]byte("close")); err != nil {
		t.Fatal(err)
	}
	go func() {
		time.Sleep(120 * time.Millisecond)
		_, _ = io.ReadFull(near, make([]byte, 5))
		cancel()
	}()
	if StillConnected(ctx) {
		t.Error("the caller counts as connected while its disconnect waits to be read")
	}
	<-ctx.Done()
	quiet := WithSession(t.Context(), near)
	began := time.Now()
	if !StillConnected(quiet) {
		t.Error("the caller on a quiet session counts as disconnected")
	}
	if took := time.Since(began); took > 5*checkDelay {
		t.Errorf("the check on a quiet session took %v", took)
	}
}

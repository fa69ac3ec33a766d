package socket

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

func rawConn(t *testing.T, c net.Conn) syscall.RawConn {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func awaitPending(t *testing.T, raw syscall.RawConn, want Pending) {
	t.Helper()
	for range 400 {
		if Peek(raw) == want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("Peek returned %d, expected %d", Peek(raw), want)
}

func TestPeek(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	near, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	raw := rawConn(t, far)
	awaitPending(t, raw, Nothing)
	if _, err := io.WriteString(near, "x"); err != nil {
		t.Fatal(err)
	}
	awaitPending(t, raw, Data)
	if _, err := far.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	awaitPending(t, raw, Nothing)
	reading := make(chan struct{})
	go func() {
		defer close(reading)
		_, _ = far.Read(make([]byte, 1))
	}()
	_ = near.Close()
	awaitPending(t, raw, Closed)
	<-reading
	awaitPending(t, raw, Closed)
	_ = far.Close()
	awaitPending(t, raw, Closed)
}

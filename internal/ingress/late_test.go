package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"fulmarhinge/internal/wire"
)

// heldListener accepts connections only once it is released, as a process without
// processor time does.
type heldListener struct {
	net.Listener
	released chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.Listener.Accept()
}

// TestRequestsReadAfterTheirCallersLeft guards against requests that reach a gate although their callers left before
// the node had read them.
func TestRequestsReadAfterTheirCallersLeft(t *testing.T) {
	const callers = 40
	var handled, reached atomic.Int64
	_, s, _ := newTestServer(t, func(context.Context, *wire.RequestHead, []byte) (*wire.ResponseHead, []byte) {
		reached.Add(1)
		return okResponse("b")
	}, nil)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.ServeHTTP(w, r)
		handled.Add(1)
	}))
	srv.Config.ConnContext = s.http.ConnContext
	held := &heldListener{Listener: srv.Listener, released: make(chan struct{})}
	srv.Listener = held
	srv.Config.ConnContext = s.http.ConnContext
	srv.Start()
	defer srv.Close()
	request := "GET /keyed/x HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: 5\r\nLeft-Ms: 900\r\n\r\n"
	send := func() net.Conn {
		conn, err := net.Dial("tcp", held.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	for range callers {
		_ = send().Close()
	}
	staying := send()
	defer staying.Close()
	close(held.released)
	for deadline := time.Now().Add(5 * time.Second); handled.Load() <= callers && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	if n := handled.Load(); n != callers+1 {
		t.Fatalf("%d of %d requests were handled", n, callers+1)
	}
	if n := reached.Load(); n != 1 {
		t.Errorf("%d requests reached a gate, expected only that of the caller that stayed", n)
	}
}

package gate

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/upstream"
)

// lateReader is a backend server that accepts connections and reads nothing until it is
// released.
type lateReader struct {
	released chan struct{}
	// found counts the requests that it finds after that, health checks aside.
	found atomic.Int64
}

func (l *lateReader) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go l.handle(conn)
	}
}

func (l *lateReader) handle(conn net.Conn) {
	defer conn.Close()
	<-l.released
	for r := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path != "/health" {
			l.found.Add(1)
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
	}
}

// TestServerThatDoesNotRead sends 100 requests a second, each of a caller that leaves
// after half a second, to a server with two slots that reads nothing for 3 s. The server
// then finds no more abandoned requests than it has slots, and it is sent requests again
// at once.
func TestServerThatDoesNotRead(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	server := &lateReader{released: make(chan struct{})}
	go server.serve(ln)
	client := upstream.NewClient(ln.Addr().String(), testHeaders)
	t.Cleanup(client.Close)
	g := New(Config{Client: client, Logger: hclog.NewNullLogger(), Owns: func(string, int) bool { return true }, OnConnectionRefused: func() {}})
	g.SetHealthPath("/health")
	g.SetServer(testServer(true), time.Now())
	g.SetHeld(testHeld(time.Minute))

	var callers sync.WaitGroup
	for start := time.Now(); time.Since(start) < 3*time.Second; time.Sleep(10 * time.Millisecond) {
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			g.Do(ctx, head("5"), nil)
		})
	}
	callers.Wait()
	close(server.released)
	time.Sleep(300 * time.Millisecond)
	if found, slots := server.found.Load(), int64(testServer(true).Slots); found > slots {
		t.Errorf("the server found %d abandoned requests, it has %d slots", found, slots)
	}
	served := 0
	for start := time.Now(); time.Since(start) < 2*time.Second && served == 0; time.Sleep(20 * time.Millisecond) {
		if h, _ := g.Do(t.Context(), head("5"), nil); h.GetStatus() == http.StatusOK {
			served++
		}
	}
	if served == 0 {
		t.Error("no request is served 2 s after the server reads again")
	}
}

// TestSlowServerIsNotSilent cuts requests to a server that answers others meanwhile: it is
// sent requests as before.
func TestSlowServerIsNotSilent(t *testing.T) {
	server := &backend{respond: func(w http.ResponseWriter, r *http.Request, n int64) {
		if n%2 == 0 {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, strings.Repeat("x", 10))
	}}
	g := newGate(t, server, always(true))
	var callers sync.WaitGroup
	for range 20 {
		callers.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			g.Do(ctx, head("5"), nil)
		})
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	if g.silence.isSilent() {
		t.Error("a server that answers every other request counts as silent")
	}
}

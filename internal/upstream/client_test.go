package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

var testHeaders = Headers{
	RequestID: "Id", Deadline: "Left-Ms", Instance: "Instance", NotRun: "Not-Run", Proof: "Proof",
}

// newScriptedServer starts a backend server that passes each request to handle,
// with n the number of requests read so far on all connections. It returns a
// client for the server and the count of accepted connections.
func newScriptedServer(t *testing.T, handle func(conn net.Conn, r *http.Request, n int)) (*Client, *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	var requests, accepted atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer conn.Close()
				br := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					handle(conn, r, int(requests.Add(1)))
				}
			}()
		}
	}()
	client := NewClient(ln.Addr().String(), testHeaders)
	t.Cleanup(client.Close)
	return client, &accepted
}

func request(id string) *Request {
	return &Request{
		ID: id, Method: http.MethodGet, Target: "/a?b=c", Host: "h", Instance: "i-1", Idempotent: true,
		Header: [][2]string{{"Id", id}}, Deadline: time.Now().Add(2 * time.Second),
	}
}

func response(id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(body), body)
}

// TestOutcomes checks the outcome that the client reports for each kind of
// response or failure of the server.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		name           string
		handle         func(conn net.Conn, r *http.Request)
		unknownOutcome bool
		notRun         bool
		status         int
		body           string
	}{
		{name: "complete response", handle: func(c net.Conn, r *http.Request) {
			fmt.Fprint(c, response(r.Header.Get("Id"), "", "hello"))
		}, status: 200, body: "hello"},
		{name: "response without a Content-Length", handle: func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\nConnection: close\r\n\r\nhello", r.Header.Get("Id"))
			_ = c.Close()
		}, status: 200, body: "hello"},
		{name: "server error", handle: func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 500 No\r\nId: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		}, status: 500},
		{name: "request not run", handle: func(c net.Conn, _ *http.Request) {
			fmt.Fprint(c, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}, status: 503, notRun: true},
		{name: "request for another instance", handle: func(c net.Conn, _ *http.Request) {
			fmt.Fprint(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		}, status: 421, notRun: true},
		{name: "response to another request", handle: func(c net.Conn, _ *http.Request) {
			fmt.Fprint(c, response("other", "", "hello"))
		}, unknownOutcome: true},
		{name: "encoded response", handle: func(c net.Conn, r *http.Request) {
			fmt.Fprint(c, response(r.Header.Get("Id"), "Content-Encoding: gzip\r\n", "hello"))
		}, unknownOutcome: true},
		{name: "response without the proof header", handle: func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		}, unknownOutcome: true},
		{name: "truncated response", handle: func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\nContent-Length: 9\r\n\r\nhel", r.Header.Get("Id"))
			_ = c.Close()
		}, unknownOutcome: true},
		{name: "connection closed without a response", handle: func(c net.Conn, _ *http.Request) {
			_ = c.Close()
		}, unknownOutcome: true},
		{name: "response that is not HTTP", handle: func(c net.Conn, _ *http.Request) {
			fmt.Fprint(c, "what?\r\n\r\n")
			_ = c.Close()
		}, unknownOutcome: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			client, _ := newScriptedServer(t, func(c net.Conn, r *http.Request, _ int) { tc.handle(c, r) })
			resp, err := client.Do(context.Background(), request("r1"))
			if tc.unknownOutcome {
				if !ErrUnknownOutcome.Has(err) {
					t.Fatalf("got %v, %v; expected an error of class ErrUnknownOutcome", resp, err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if resp.Status != tc.status || string(resp.Body) != tc.body || resp.NotRun != tc.notRun {
				t.Errorf("got status %d, body %q, NotRun %v", resp.Status, resp.Body, resp.NotRun)
			}
		})
	}
}

// TestConnectionRefused checks that a refused connection counts as not sent.
func TestConnectionRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	_, err = NewClient(addr, testHeaders).Do(context.Background(), request("r1"))
	if !ErrNotSent.Has(err) || !IsConnectionRefused(err) {
		t.Errorf("got %v; expected a refused connection of class ErrNotSent", err)
	}
}

// TestUnsolicitedResponse has the server send a second response after the
// first. The connection must not be reused, or the next request would be given
// that response.
func TestUnsolicitedResponse(t *testing.T) {
	client, conns := newScriptedServer(t, func(c net.Conn, r *http.Request, n int) {
		id := r.Header.Get("Id")
		fmt.Fprint(c, response(id, "", "hello"))
		if n == 1 {
			fmt.Fprint(c, response(id, "", "again"))
		}
	})
	for i := range 3 {
		id := fmt.Sprint("r", i)
		resp, err := client.Do(context.Background(), request(id))
		if err != nil {
			t.Fatal(err)
		}
		if got := resp.Header.Get("Id"); got != id || string(resp.Body) != "hello" {
			t.Errorf("request %s got body %q of response %s", id, resp.Body, got)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections were opened, expected 2", n)
	}
}

// TestClosedIdleConnection checks that a request is not sent on an idle
// connection that the server has closed.
func TestClosedIdleConnection(t *testing.T) {
	client, conns := newScriptedServer(t, func(c net.Conn, r *http.Request, n int) {
		fmt.Fprint(c, response(r.Header.Get("Id"), "", "hello"))
		if n == 1 {
			_ = c.Close()
		}
	})
	for i := range 2 {
		r := request(fmt.Sprint("r", i))
		r.Idempotent = false
		if _, err := client.Do(context.Background(), r); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		time.Sleep(30 * time.Millisecond)
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections were opened, expected 2", n)
	}
}

// TestCallerCancels checks that an idempotent request is aborted immediately
// when the caller cancels, and that any other request runs to its end.
func TestCallerCancels(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprint("idempotent ", idempotent), func(t *testing.T) {
			client, _ := newScriptedServer(t, func(c net.Conn, r *http.Request, _ int) {
				time.Sleep(300 * time.Millisecond)
				fmt.Fprint(c, response(r.Header.Get("Id"), "", "hello"))
			})
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(50*time.Millisecond, cancel)
			r := request("r1")
			r.Idempotent = idempotent
			start := time.Now()
			_, err := client.Do(ctx, r)
			if elapsed := time.Since(start); idempotent && (!ErrUnknownOutcome.Has(err) || elapsed > 200*time.Millisecond) {
				t.Errorf("call ended after %v with error %v; expected ErrUnknownOutcome within 200ms", elapsed, err)
			}
			if !idempotent && err != nil {
				t.Error(err)
			}
		})
	}
}

// TestDeadlinePropagation checks the remaining time that is sent to the server,
// and that the client does not wait for a server that has not answered by the
// deadline.
func TestDeadlinePropagation(t *testing.T) {
	var remaining, instance atomic.Value
	client, _ := newScriptedServer(t, func(_ net.Conn, r *http.Request, _ int) {
		remaining.Store(r.Header.Get("Left-Ms"))
		instance.Store(r.Header.Get("Instance"))
		if r.RequestURI != "/a?b=c" || r.Host != "h" {
			t.Errorf("the server received path %s and host %s", r.RequestURI, r.Host)
		}
	})
	r := request("r1")
	r.Deadline = time.Now().Add(200 * time.Millisecond)
	start := time.Now()
	if _, err := client.Do(context.Background(), r); !ErrUnknownOutcome.Has(err) {
		t.Errorf("got %v; expected an error of class ErrUnknownOutcome", err)
	}
	if elapsed := time.Since(start); elapsed > 400*time.Millisecond {
		t.Errorf("call ended after %v; expected at most 400ms", elapsed)
	}
	var ms int
	if _, err := fmt.Sscan(remaining.Load().(string), &ms); err != nil || ms < 100 || ms > 200 {
		t.Errorf("the server received a deadline of %v ms; expected 100 to 200", remaining.Load())
	}
	if instance.Load() != "i-1" {
		t.Errorf("the server received instance %v; expected i-1", instance.Load())
	}
}

// TestKeepAliveTimeout checks the idle limit that is derived from the
// Keep-Alive header.
func TestKeepAliveTimeout(t *testing.T) {
	tests := map[string]time.Duration{
		"": maxIdleTime, "timeout=3": 2 * time.Second, "timeout=60, max=5": maxIdleTime,
		"timeout=1": 0, "timeout=soon": maxIdleTime,
	}
	for header, want := range tests {
		if got := keepAliveTimeout(http.Header{"Keep-Alive": {header}}); got != want {
			t.Errorf("%q: got %v, expected %v", header, got, want)
		}
	}
	if !strings.Contains(ErrUnknownOutcome.New("x").Error(), "broken") {
		t.Error("the error text does not contain the class")
	}
}

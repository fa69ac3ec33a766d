package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// answers are whole answers to the request r1. EndsWithConnection is true if nothing but the end of the connection shows
// where the body ends.
var answers = []struct {
	name, head, body   string
	endsWithConnection bool
}{
	{name: "length", head: "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nContent-Length: 12\r\n\r\n", body: "hello, world"},
	{name: "length first", head: "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: r1\r\nProof: p\r\n\r\n", body: "hello, world"},
	{name: "no body", head: "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nContent-Length: 0\r\n\r\n"},
	{name: "chunks", head: "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n", body: "5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"},
	{name: "bare line feeds", head: "HTTP/1.1 200 OK\nId: r1\nProof: p\nContent-Length: 12\n\n", body: "hello, world"},
	{name: "after an interim response", head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\nContent-Length: 2\r\n\r\n", body: "ok"},
	{name: "end of the connection", head: "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n\r\n", body: "hello, world", endsWithConnection: true},
	{name: "rejection", head: "HTTP/1.1 503 Full\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\n", body: "full"},
}

// TestCutAnswerIsNotWhole guards against a success with an empty or short body that is framed as whole: the server stopped
// anywhere in its answer, and closed or reset the connection.
func TestCutAnswerIsNotWhole(t *testing.T) {
	for _, a := range answers {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", a.name, reset), func(t *testing.T) {
				t.Parallel()
				whole := a.head + a.body
				for cut := range len(whole) {
					client, _ := newScriptedServer(t, func(c net.Conn, _ *http.Request, _ int) {
						fmt.Fprint(c, whole[:cut])
						if reset {
							// The reset must not overtake the bytes.
							time.Sleep(2 * time.Millisecond)
							_ = c.(*net.TCPConn).SetLinger(0)
						}
						_ = c.Close()
					})
					resp, err := client.Do(context.Background(), request("r1"))
					if a.endsWithConnection && !reset && cut >= len(a.head) {
						continue
					}
					if !ErrUnknownOutcome.Has(err) {
						t.Errorf("cut after %q: got %+v, %v", whole[:cut], resp, err)
					}
				}
			})
		}
	}
}

// TestMalformedFraming guards against a body of a length that the server did not mean.
func TestMalformedFraming(t *testing.T) {
	for _, framing := range []string{
		"Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: -5\r\n", "Content-Length: +5\r\n", "Content-Length: 5x\r\n", "Content-Length: 5, 6\r\n",
		"Content-Length: 99999999999999999999\r\n", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: gzip, chunked\r\n",
		"Transfer-Encoding: identity\r\n", "Content-Length : 5\r\n", "Content-Length: 5\r\n: x\r\n", "Content-Length:\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	} {
		t.Run(strings.TrimSpace(framing), func(t *testing.T) {
			client, _ := newScriptedServer(t, func(c net.Conn, r *http.Request, _ int) {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\n%s\r\nhello", r.Header.Get("Id"), framing)
				_ = c.Close()
			})
			if resp, err := client.Do(context.Background(), request("r1")); !ErrUnknownOutcome.Has(err) {
				t.Errorf("got %+v, %v", resp, err)
			}
		})
	}
}

// TestAnswerWithoutBody checks answers that have no body whatever their header says.
func TestAnswerWithoutBody(t *testing.T) {
	tests := []struct{ name, method, head string }{
		{"HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n"},
		{"204", http.MethodGet, "HTTP/1.1 204 No Content\r\n"},
		{"304", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			client, accepted := newScriptedServer(t, func(c net.Conn, r *http.Request, _ int) {
				fmt.Fprintf(c, "%sId: %s\r\nProof: p\r\n\r\n", tc.head, r.Header.Get("Id"))
			})
			for _, id := range []string{"r1", "r2"} {
				r := request(id)
				r.Method = tc.method
				if resp, err := client.Do(context.Background(), r); err != nil || len(resp.Body) != 0 {
					t.Errorf("got %+v, %v", resp, err)
				}
			}
			if n := accepted.Load(); n != 1 {
				t.Errorf("%d connections, expected 1", n)
			}
		})
	}
}

package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// rejections are the responses that state that the request was not run.
var rejections = []string{"400 No id", "421 Misdirected Request", "429 Too many", "503 Full"}

func rejection(status, id string) string {
	head := "HTTP/1.1 " + status + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
	if id != "" {
		head += "Id: " + id + "\r\n"
	}
	return head + "\r\n"
}

// TestLateCopyOfRejectionIsNoAnswer guards against a request that ran and is taken for rejected: the server rejected it
// once and sends that rejection again while the same request, sent once more, runs.
func TestLateCopyOfRejectionIsNoAnswer(t *testing.T) {
	for _, status := range append(rejections, "500 Failed") {
		t.Run(status, func(t *testing.T) {
			client, accepted := newScriptedServer(t, func(c net.Conn, r *http.Request, n int) {
				id := r.Header.Get("Id")
				if n > 1 {
					time.Sleep(100 * time.Millisecond)
					fmt.Fprint(c, response(id, "", "done"))
					return
				}
				fmt.Fprint(c, rejection(status, id))
				time.AfterFunc(50*time.Millisecond, func() { fmt.Fprint(c, rejection(status, id)) })
			})
			first, err := client.Do(context.Background(), request("r1"))
			if err != nil || !first.NotRun {
				t.Fatalf("got %v, %v; expected a rejection", first, err)
			}
			again, err := client.Do(context.Background(), request("r1"))
			if err != nil || again.NotRun || string(again.Body) != "done" {
				t.Errorf("got %v, %v; expected the answer of the run", again, err)
			}
			if n := accepted.Load(); n != 2 {
				t.Errorf("%d connections, expected one for each sending", n)
			}
		})
	}
}

// TestRejectionWithoutIDOnUsedConnection guards against a request that ran and is taken for rejected: a rejection without
// an id on a connection that carried other requests may be a late copy of theirs.
func TestRejectionWithoutIDOnUsedConnection(t *testing.T) {
	for _, status := range rejections {
		t.Run(status, func(t *testing.T) {
			client, _ := newScriptedServer(t, func(c net.Conn, _ *http.Request, _ int) { fmt.Fprint(c, rejection(status, "")) })
			first, err := client.Do(context.Background(), request("r1"))
			if err != nil || !first.NotRun {
				t.Errorf("got %v, %v for the first request of a connection; expected a rejection", first, err)
			}
			if second, err := client.Do(context.Background(), request("r2")); !ErrUnknownOutcome.Has(err) {
				t.Errorf("got %v, %v on a used connection; expected an unknown outcome", second, err)
			}
		})
	}
}

// TestRejectionWithSuccessStatus guards against a request that is sent again after a success: a response that names both
// is no statement that the request was not run.
func TestRejectionWithSuccessStatus(t *testing.T) {
	client, _ := newScriptedServer(t, func(c net.Conn, r *http.Request, _ int) {
		fmt.Fprint(c, response(r.Header.Get("Id"), "Not-Run: 1\r\n", "hello"))
	})
	if resp, err := client.Do(context.Background(), request("r1")); !ErrUnknownOutcome.Has(err) {
		t.Errorf("got %v, %v; expected an unknown outcome", resp, err)
	}
}

// TestConnectionCarriesBoundedRequests checks that a connection is replaced before what it remembers grows without bound.
func TestConnectionCarriesBoundedRequests(t *testing.T) {
	client, accepted := newScriptedServer(t, func(c net.Conn, r *http.Request, _ int) {
		fmt.Fprint(c, response(r.Header.Get("Id"), "", "hello"))
	})
	for i := range maxRequestsPerConn + 1 {
		if _, err := client.Do(context.Background(), request(fmt.Sprint("r", i))); err != nil {
			t.Fatal(err)
		}
	}
	if n := accepted.Load(); n != 2 {
		t.Errorf("%d connections for %d requests, expected 2", n, maxRequestsPerConn+1)
	}
}

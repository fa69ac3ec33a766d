package caller

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmarhinge/internal/header"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/view"
)

// A draining node must still forward requests and close its connections. It
// reports Draining only if nothing else is wrong with the request.
func TestDrainingNodeForwardsRequests(t *testing.T) {
	f := newTestFleet(t, 2, keyedService, echoHandler)
	f.publish(func(i int, v *view.View) { v.Draining = i == 1 })
	n := f.nodes[1]
	got := n.send(t, "POST", "/p/k", strings.NewReader("b"))
	if got.code != result.OK || !got.connClosed {
		t.Fatalf("got %d, connection closed: %t", got.code, got.connClosed)
	}
	got = n.send(t, "POST", "/p/k", strings.NewReader("b"), header.IdempotencyKey, "no-uuid")
	if got.code != result.IdempotencyKeyBad {
		t.Fatalf("an invalid idempotency key got code %d", got.code)
	}
	f.publish(func(i int, v *view.View) {
		v.Draining = i == 1
		v.Config.Contracts["acme"] = contractWithMaxWaiting(v, 0)
		clear(v.Members)
	})
	got = n.send(t, "POST", "/p/k", strings.NewReader("b"))
	if got.code != result.Draining || got.kind != "not-run" || got.header.Get("Retry-After") == "" {
		t.Fatalf("got %d %s", got.code, got.body)
	}
}

// A planned shutdown must not abort requests in flight, neither those that
// were received by the stopping node nor those that its gate runs for other
// nodes.
func TestShutdownWaitsForInFlightRequests(t *testing.T) {
	finishResponses := make(chan struct{})
	f := newTestFleet(t, 2, keyedService, func(n *testNode) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			n.runs.Add(1)
			fmt.Fprint(w, strings.Repeat("x", 100_000))
			_ = http.NewResponseController(w).Flush()
			<-finishResponses
			fmt.Fprint(w, "end")
		}
	})
	replies := make(chan callerResponse, 20)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			replies <- f.nodes[i%2].send(t, "POST", fmt.Sprintf("/p/k%d", i), nil)
		}()
	}
	eventually(t, "all requests run", func() bool { return f.nodes[0].runs.Load() == 20 })
	f.publish(func(i int, v *view.View) { v.Draining = i == 0 })
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		stopped <- f.nodes[0].callerServer.Shutdown(ctx)
	}()
	eventually(t, "the entry node refuses connections", func() bool {
		return f.nodes[0].send(t, "GET", "/q", nil).err != nil
	})
	close(finishResponses)
	wg.Wait()
	for range 20 {
		if got := <-replies; got.err != nil || got.code != result.OK || len(got.body) != 100_003 {
			t.Fatalf("a request in flight ended with %d, %d bytes, %v", got.code, len(got.body), got.err)
		}
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	if total := f.nodes[0].gate.Total(); total != 0 {
		t.Fatalf("%d requests are left at the gate", total)
	}
}

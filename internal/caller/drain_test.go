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

// A stopping node still forwards what it can, closes its connections, and says
// draining only where nothing else is wrong with the request.
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
		t.Fatalf("a bad key got %d", got.code)
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

// A planned stop cuts off no request in flight: those that came in through the
// stopping node and those that its gate runs for others all end whole.
func TestShutdownWaitsForInFlightRequests(t *testing.T) {
	release := make(chan struct{})
	f := newTestFleet(t, 2, keyedService, func(n *testNode) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			n.runs.Add(1)
			fmt.Fprint(w, strings.Repeat("x", 100_000))
			_ = http.NewResponseController(w).Flush()
			<-release
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
	eventually(t, "all run", func() bool { return f.nodes[0].runs.Load() == 20 })
	f.publish(func(i int, v *view.View) { v.Draining = i == 0 })
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		stopped <- f.nodes[0].callerServer.Shutdown(ctx)
	}()
	eventually(t, "the entry takes no more connections", func() bool {
		return f.nodes[0].send(t, "GET", "/q", nil).err != nil
	})
	close(release)
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

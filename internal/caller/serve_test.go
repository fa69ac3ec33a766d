package caller

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/header"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/view"
)

func TestLocalAndTwoNodePath(t *testing.T) {
	f := newTestFleet(t, 2, keyedService, echoHandler)
	for i, n := range f.nodes {
		for _, size := range []int{0, 10, 64 << 10, 64<<10 + 1, 3 << 20} {
			t.Run(fmt.Sprintf("node %d, %d bytes", i, size), func(t *testing.T) {
				got := n.send(t, "POST", "/p/k1/x%2Fy?q=1", bodyOfSize(size))
				want := "POST /p/k1/x%2Fy?q=1 " + strings.Repeat("z", size)
				if got.err != nil || got.status != 200 || got.code != result.OK || got.body != want {
					t.Fatalf("status %d code %d length %d of %d, %v", got.status, got.code, len(got.body), len(want), got.err)
				}
				if got.header.Get(header.Owner) != f.nodes[0].callerServer.Addr() {
					t.Fatalf("owner header is %q", got.header.Get(header.Owner))
				}
			})
		}
	}
	if f.nodes[1].runs.Load() != 0 {
		t.Fatal("a node that is not the owner ran a request")
	}
	eventually(t, "no request is in flight", func() bool { return f.nodes[0].gate.Total() == 0 })
}

func TestRefusalsOfInvalidRequests(t *testing.T) {
	f := newTestFleet(t, 1, keyedService, echoHandler)
	n := f.nodes[0]
	for _, c := range []struct {
		name, path string
		headers    []string
		code       result.Code
		status     int
	}{
		{"no customer", "/p/k", []string{"Customer", ""}, result.MissingCustomer, 400},
		{"unknown customer", "/p/k", []string{"Customer", "zzz"}, result.UnknownCustomer, 403},
		{"no key", "/p/", nil, result.MissingKey, 400},
		{"no route", "/q/k", nil, result.NoRoute, 404},
		{"no service", "/x/k", nil, result.NoService, 404},
		{"bad timeout", "/p/k", []string{header.RequestTimeoutMs, "1s"}, result.BadRequest, 400},
		{"large header", "/p/k", []string{"X", strings.Repeat("x", 70<<10)}, result.HeaderTooLarge, 431},
		{"no backend server", "/a/k", nil, result.DeadlineBefore, 504},
	} {
		t.Run(c.name, func(t *testing.T) {
			headers := append([]string{header.RequestTimeoutMs, "50"}, c.headers...)
			got := n.send(t, "GET", c.path, nil, headers...)
			if got.code != c.code || got.status != c.status || got.kind != "not-run" {
				t.Fatalf("got %d, status %d, %s: %s", got.code, got.status, got.kind, got.body)
			}
			if b := got.refusal(t); b.Code != uint32(c.code) || b.Result != "not-run" || b.Message == "" {
				t.Fatalf("body %+v", b)
			}
		})
	}
	if n.runs.Load() != 0 {
		t.Fatal("a refused request ran")
	}
}

func TestPendingUnitDelaysRequests(t *testing.T) {
	f := newTestFleet(t, 2, keyedService, echoHandler)
	pending := func(_ int, v *view.View) {
		for u := range v.Owned {
			v.Owned[u] = view.Ownership{State: view.Pending, Epoch: 1}
		}
	}
	f.publish(pending)
	replies := make(chan callerResponse, 2)
	for _, n := range f.nodes {
		go func() { replies <- n.send(t, "POST", "/p/k1", strings.NewReader("b")) }()
	}
	eventually(t, "both requests wait", func() bool { return f.nodes[0].gate.Total() == 2 })
	f.publish(func(int, *view.View) {})
	for range 2 {
		if got := <-replies; got.code != result.OK {
			t.Fatalf("got %d %s", got.code, got.body)
		}
	}
}

func TestRequestsFollowMovedOwnerAndNeedLease(t *testing.T) {
	f := newTestFleet(t, 2, keyedService, echoHandler)
	// The entry node's view still names the old owner, which has stopped.
	f.publish(func(_ int, v *view.View) {
		for u := range v.Owned {
			v.Owned[u] = view.Ownership{State: view.Stopping, Epoch: 1}
		}
	})
	answered := make(chan callerResponse, 1)
	go func() { answered <- f.nodes[1].send(t, "POST", "/p/k1", strings.NewReader("b")) }()
	eventually(t, "the request waits", func() bool { return f.nodes[1].callerServer.waitLimiter.Waiting("acme") == 1 })
	f.publish(func(i int, v *view.View) {
		newOwner := cluster.MemberRef{Name: "n1", Incarnation: 1}
		for s := range testShards {
			u := cluster.Unit{Service: keyedService, Shard: s}
			v.Tables[keyedService].Shards[s] = cluster.Assignment{Owner: newOwner, Epoch: 2}
			delete(v.Owned, u)
			if i == 1 {
				v.Owned[u] = view.Ownership{State: view.Serving, Epoch: 2}
			}
		}
	})
	if got := <-answered; got.code != result.OK || f.nodes[1].runs.Load() != 1 || f.nodes[0].runs.Load() != 0 {
		t.Fatalf("got %d %s", got.code, got.body)
	}
	f.nodes[1].views.SetLease(clock.Now())
	got := f.nodes[0].send(t, "POST", "/p/k1", nil, header.RequestTimeoutMs, "100")
	if got.code != result.DeadlineBefore || !strings.Contains(got.body, "lease lapsed") || got.header.Get("Retry-After") == "" {
		t.Fatalf("got %d %s", got.code, got.body)
	}
	if f.nodes[1].runs.Load() != 1 {
		t.Fatal("a request ran without a lease")
	}
}

func TestTruncatedResponseIsAnErrorForTheCaller(t *testing.T) {
	abortedResponse := func(n *testNode) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			n.runs.Add(1)
			if strings.HasSuffix(r.URL.Path, "length") {
				w.Header().Set("Content-Length", "100000")
			}
			_, _ = w.Write(make([]byte, 50000))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	f := newTestFleet(t, 2, keyedService, abortedResponse)
	for _, n := range f.nodes {
		for _, path := range []string{"/p/k/length", "/p/k/chunks"} {
			if got := n.send(t, "POST", path, nil); got.err == nil {
				t.Fatalf("%s of %s: a truncated response was received as a complete one of %d bytes", path, n.name, len(got.body))
			}
		}
	}
	if runs := f.nodes[0].runs.Load(); runs != 4 {
		t.Fatalf("%d runs of 4 requests that are not idempotent", runs)
	}
}

func TestDeadlineAndCancellationReachTheBackendServer(t *testing.T) {
	ended := make(chan string, 10)
	f := newTestFleet(t, 2, keyedService, func(n *testNode) http.HandlerFunc {
		return func(_ http.ResponseWriter, r *http.Request) {
			n.runs.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			ended <- r.Header.Get(header.DeadlineMs)
		}
	})
	for _, n := range f.nodes {
		got := n.send(t, "POST", "/p/k", strings.NewReader("b"), header.RequestTimeoutMs, "100")
		if got.code != result.DeadlineAfter || got.kind != "unknown" || got.status != 504 {
			t.Fatalf("%s: got %d %s", n.name, got.code, got.body)
		}
		select {
		case ms := <-ended:
			if ms == "" {
				t.Fatal("no remaining time was sent to the backend server")
			}
		case <-time.After(2 * time.Second):
			t.Fatal("the backend server's request was not cancelled")
		}
	}
}

func TestPlainServiceAvoidsFailingServer(t *testing.T) {
	f := newTestFleet(t, 3, plainService, func(n *testNode) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			n.runs.Add(1)
			if n.name == "n1" {
				w.Header().Set(header.Shed, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = w.Write([]byte("ok"))
		}
	})
	for range 100 {
		if got := f.nodes[0].send(t, "POST", "/a/x", strings.NewReader("b")); got.code != result.OK {
			t.Fatalf("got %d %s", got.code, got.body)
		}
	}
	if n := f.nodes[1].runs.Load(); n > 10 {
		t.Fatalf("the shedding server got %d of 100 requests", n)
	}
}

package caller

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"fulmarhinge/internal/backend"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/header"
	"fulmarhinge/internal/peer"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/view"
	"fulmarhinge/internal/wire"
)

// The proxy blocks the direct link in one or both directions before its first
// use. Requests must reach the owner through a relay, the later ones without
// waiting for the link again.
func TestBrokenLinkUsesRelay(t *testing.T) {
	for _, c := range []struct {
		name    string
		blocked [2]bool
	}{
		{"to the owner", [2]bool{true, false}},
		{"from the owner", [2]bool{false, true}},
		{"both ways", [2]bool{true, true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t, 3, keyedService, func(n *testNode) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					n.runs.Add(1)
					k, _ := io.Copy(io.Discard, r.Body)
					fmt.Fprintf(w, "%s %d", r.Header.Get(header.RequestID), k)
				}
			})
			f.publishProxied(t, proxiedLink{node: 1, to: "n0"})[0].set(c.blocked, [2]int{-1, -1})
			n := f.nodes[1]
			for i, size := range []int{10, 0, 1000, 3 << 20} {
				start := time.Now()
				got := n.send(t, "POST", "/p/k", bodyOfSize(size), header.RequestTimeoutMs, "5000")
				if want := fmt.Sprintf("%s %d", got.header.Get(header.RequestID), size); got.code != result.OK || got.body != want {
					t.Fatalf("body of %d bytes: got %d %q, want %q, %v", size, got.code, got.body, want, got.err)
				}
				if got.header.Get(header.Owner) != f.nodes[0].callerServer.Addr() {
					t.Fatalf("owner header is %q", got.header.Get(header.Owner))
				}
				if runs := f.nodes[0].runs.Load(); runs != int64(i+1) {
					t.Fatalf("%d runs of %d requests", runs, i+1)
				}
				if took := time.Since(start); took > 2*maxOpenTimeout {
					t.Fatalf("request %d took %v", i, took)
				}
			}
		})
	}
}

// With a short deadline, too, opening a broken link must leave enough time for
// a relay.
func TestBrokenLinkWithShortDeadline(t *testing.T) {
	f := newTestFleet(t, 3, keyedService, echoHandler)
	f.publishProxied(t, proxiedLink{node: 1, to: "n0"})[0].blockBoth()
	for range 3 {
		if got := f.nodes[1].send(t, "POST", "/p/k", strings.NewReader("b"), header.RequestTimeoutMs, "400"); got.code != result.OK {
			t.Fatalf("got %d %s", got.code, got.body)
		}
	}
}

// When linkRetryDelay of a broken link is over, only one request may try it,
// and a link that works again is used.
func TestRecoveredLinkIsUsedAgain(t *testing.T) {
	f := newTestFleet(t, 3, keyedService, echoHandler)
	p := f.publishProxied(t, proxiedLink{node: 1, to: "n0"})[0]
	p.blockBoth()
	n := f.nodes[1]
	n.send(t, "POST", "/p/k", strings.NewReader("b"))
	ref := cluster.MemberRef{Name: "n0", Incarnation: 1}
	if !n.callerServer.links.isBroken(ref, time.Now()) {
		t.Fatal("the link is not marked as broken")
	}
	later := time.Now().Add(linkRetryDelay)
	if !n.callerServer.links.allowAttempt(ref, later) || n.callerServer.links.allowAttempt(ref, later) {
		t.Fatal("not exactly one request may try the link again")
	}
	p.set([2]bool{}, [2]int{-1, -1})
	n.callerServer.links.get(ref).brokenUntil.Store(1)
	if got := n.send(t, "POST", "/p/k", strings.NewReader("b")); got.code != result.OK {
		t.Fatalf("got %d %s", got.code, got.body)
	}
	if n.callerServer.links.get(ref).brokenUntil.Load() != 0 {
		t.Fatal("the working link is still marked as broken")
	}
}

// The link breaks while a session on it is in use. The loss is detected, and an
// idempotent request is sent again through a relay.
func TestLinkBreaksDuringSession(t *testing.T) {
	f := newTestFleet(t, 3, keyedService, echoHandler)
	p := f.publishProxied(t, proxiedLink{node: 1, to: "n0"})[0]
	n := f.nodes[1]
	if got := n.send(t, "GET", "/p/k", nil); got.code != result.OK {
		t.Fatalf("before the link broke: got %d %s", got.code, got.body)
	}
	p.blockBoth()
	start := time.Now()
	got := n.send(t, "GET", "/p/k", nil, header.RequestTimeoutMs, "10000")
	if got.code != result.OK {
		t.Fatalf("got %d %s", got.code, got.body)
	}
	took := time.Since(start)
	t.Logf("answered through a relay %v after the link broke", took.Round(time.Millisecond))
	if took > 3*time.Second {
		t.Fatal("the response took more than 3s")
	}
}

// A relay that can't be reached either must be skipped.
func TestUnreachableRelayIsSkipped(t *testing.T) {
	f := newTestFleet(t, 4, keyedService, echoHandler)
	for _, p := range f.publishProxied(t, proxiedLink{node: 1, to: "n0"}, proxiedLink{node: 1, to: "n2"}) {
		p.blockBoth()
	}
	for i := range 5 {
		if got := f.nodes[1].send(t, "POST", "/p/k", strings.NewReader("b"), header.RequestTimeoutMs, "5000"); got.code != result.OK {
			t.Fatalf("request %d: got %d %s", i, got.code, got.body)
		}
	}
	if runs := f.nodes[0].runs.Load(); runs != 5 {
		t.Fatalf("%d runs of 5 requests", runs)
	}
}

// If the relay can't reach the owner either, the request must be reported as not
// run. A request must not be relayed a second time.
func TestAtMostOneHop(t *testing.T) {
	f := newTestFleet(t, 3, keyedService, echoHandler)
	for _, p := range f.publishProxied(t, proxiedLink{node: 1, to: "n0"}, proxiedLink{node: 2, to: "n0"}) {
		p.blockBoth()
	}
	got := f.nodes[1].send(t, "POST", "/p/k", strings.NewReader("b"), header.RequestTimeoutMs, "1500")
	if got.kind != result.NotRun.String() || f.nodes[0].runs.Load() != 0 {
		t.Fatalf("got %d %s, %d runs", got.code, got.kind, f.nodes[0].runs.Load())
	}
	f.publish(func(i int, v *view.View) {
		if i == 2 {
			// In the view of node 2 the entry node n1 owns all shards.
			for s := range testShards {
				v.Tables[keyedService].Shards[s].Owner = cluster.MemberRef{Name: "n1", Incarnation: 1}
			}
		}
	})
	for _, c := range []struct {
		hops uint32
		want result.Code
	}{{0, result.Moved}, {1, result.Moved}, {2, result.PeerMalformed}} {
		if code := f.sendHeadTo(t, 2, c.hops); code != c.want {
			t.Errorf("%d hops: code %d, want %d", c.hops, code, c.want)
		}
	}
	if runs := f.nodes[0].runs.Load(); runs != 0 {
		t.Fatalf("%d requests took more than one hop", runs)
	}
}

// sendHeadTo sends a request head with the given number of hops to a node and
// returns the code of its response.
func (f *testFleet) sendHeadTo(t *testing.T, node int, hops uint32) result.Code {
	t.Helper()
	conn, err := f.nodes[0].transport.Open(t.Context(), f.nodes[node].transport.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = conn.Write(join(encodeFrame(peer.FrameHead, &wire.RequestHead{
		Id: "x.1", Method: "POST", Path: "/p/k", Service: keyedService, Customer: "acme", Key: "k", DeadlineMs: 3000, Hops: hops,
	}), encodeFrame(peer.FrameEnd, &wire.BodyEnd{})))
	_, size, err := peer.ReadFrameHeader(conn)
	var h wire.ResponseHead
	if err != nil || peer.ReadMessage(conn, size, &h) != nil {
		t.Fatalf("no head: %v", err)
	}
	return result.Code(h.GetCode())
}

// The link between entry node and relay or between relay and owner breaks at
// byte offsets spread over the exchange, in either direction. A request that is
// not idempotent must run at most once, and must be reported as not run only if
// it did not run.
func TestRelayLinkBreaksAtByteOffsets(t *testing.T) {
	r := &runCounter{runs: map[string]int{}}
	f := newTestFleet(t, 3, keyedService, r.handler)
	p := f.publishProxied(t, proxiedLink{node: 1, to: "n0"}, proxiedLink{node: 1, to: "n2"}, proxiedLink{node: 2, to: "n0"})
	p[0].blockBoth()
	owner := cluster.MemberRef{Name: "n0", Incarnation: 1}
	const step, maxBytes = 23, 1000
	kinds := map[string]int{}
	notRun := map[string]string{}
	for _, link := range []int{1, 2} {
		for direction := range 2 {
			for k := 0; k < maxBytes; k += step {
				limit := [2]int{-1, -1}
				limit[direction] = k
				p[link].set([2]bool{}, limit)
				f.nodes[1].callerServer.links.byMember.Clear()
				f.nodes[2].callerServer.links.byMember.Clear()
				f.nodes[1].callerServer.links.markBroken(owner)
				got := f.nodes[1].send(t, "POST", "/p/k", bodyOfSize(300), header.RequestTimeoutMs, "100")
				kinds[got.kind]++
				id := got.header.Get(header.RequestID)
				if got.kind == result.NotRun.String() {
					notRun[id] = fmt.Sprintf("link %d, direction %d, byte %d, code %d", link, direction, k, got.code)
				}
				if got.err == nil && got.code == result.OK && (got.body != "POST /p/k "+strings.Repeat("z", 300) || r.count(id) != 1) {
					t.Fatalf("link %d, direction %d, byte %d: a truncated response was passed on as complete, or the request ran %d times", link, direction, k, r.count(id))
				}
			}
			p[link].set([2]bool{}, [2]int{-1, -1})
		}
	}
	eventually(t, "all requests have left the gate", func() bool { return f.nodes[0].gate.Total() == 0 })
	r.check(t, notRun)
	t.Logf("requests by result kind: %v", kinds)
	if kinds["unknown"] == 0 || kinds["not-run"] == 0 || kinds["answered"] == 0 {
		t.Fatalf("not every result kind occurred: %v", kinds)
	}
}

// runCounter counts runs by request id.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (r *runCounter) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *runCounter) handler(n *testNode) http.HandlerFunc {
	echo := echoHandler(n)
	return func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		r.runs[req.Header.Get(header.RequestID)]++
		r.mu.Unlock()
		echo(w, req)
	}
}

// check fails if a request ran twice, or was reported as not run and ran.
func (r *runCounter) check(t *testing.T, notRun map[string]string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, n := range r.runs {
		if n > 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
		if attemptInfo, reported := notRun[id]; reported {
			t.Errorf("request %s was reported as not run but ran: %s", id, attemptInfo)
		}
	}
}

// A relay must not buffer a large response.
func TestLargeRelayedResponseIsNotBuffered(t *testing.T) {
	const size, maxHeapBytes = downloadSize, 24 << 20
	f := newTestFleet(t, 3, keyedService, largeResponse(size))
	f.publishProxied(t, proxiedLink{node: 1, to: "n0"})[0].blockBoth()
	runtime.GC()
	got, peak := f.nodes[1].download(t, "/p/k", liveHeap())
	t.Logf("%d MB over three nodes raised the heap by %d KB", size>>20, peak>>10)
	if got != size || peak > maxHeapBytes {
		t.Fatalf("%d bytes of %d arrived, the heap grew by %d", got, size, peak)
	}
}

// The relay fails while the request runs. With an idempotency key the entry
// node sends the request again through another relay, and the caller gets the
// response of the only run.
func TestBrokenRelayWithIdempotencyKeyRunsOnce(t *testing.T) {
	ran := make(chan struct{}, 10)
	f := newTestFleet(t, 4, keyedService, func(n *testNode) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			n.runs.Add(1)
			ran <- struct{}{}
			time.Sleep(50 * time.Millisecond)
			fmt.Fprint(w, "charged")
		}
	})
	f.nodes[0].gate.SetIdempotency(backend.IdempotencyLimits{MaxClockSkew: time.Nanosecond})
	time.Sleep(3 * time.Millisecond)
	f.publishProxied(t, proxiedLink{node: 1, to: "n0"})[0].blockBoth()
	key, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	answered := make(chan callerResponse, 1)
	go func() {
		answered <- f.nodes[1].send(t, "POST", "/p/k", strings.NewReader("b"), header.IdempotencyKey, key.String())
	}()
	<-ran
	for _, n := range f.nodes[2:] {
		if n.gate.Total() > 0 {
			n.transport.Close()
		}
	}
	got := <-answered
	if got.code != result.OK || got.body != "charged" || f.nodes[0].runs.Load() != 1 {
		t.Fatalf("got %d %q, %d runs", got.code, got.body, f.nodes[0].runs.Load())
	}
}

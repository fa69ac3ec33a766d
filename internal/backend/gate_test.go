package backend

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/contract"
	"fulmarhinge/internal/header"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/view"
	"fulmarhinge/internal/wire"
)

var testUnit = cluster.Unit{Service: "painel", Shard: 0}

// recordingSink stores the response in memory.
type recordingSink struct {
	head *wire.ResponseHead
	body bytes.Buffer
}

func (s *recordingSink) Dispatched()                     {}
func (s *recordingSink) Head(h *wire.ResponseHead) error { s.head = h; return nil }
func (s *recordingSink) Write(p []byte) (int, error)     { return s.body.Write(p) }

type gateTest struct {
	*Gate
	src    *view.Source
	server *httptest.Server
	runs   atomic.Int64
}

func newGateTest(t testing.TB, handler http.HandlerFunc) *gateTest {
	t.Helper()
	g := &gateTest{src: &view.Source{}}
	g.Gate = NewGate(g.src, hclog.NewNullLogger())
	g.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.runs.Add(1)
		handler(w, r)
	}))
	t.Cleanup(g.server.Close)
	g.SetBackend(&Announcement{
		Service: "painel", Address: g.server.Listener.Addr().String(), Slots: 4, Connections: 4, Ready: true,
	})
	g.src.SetLease(clock.Now().Add(time.Hour))
	g.publish(view.Serving, 7)
	return g
}

// publish publishes a view in which this node owns the only shard, in the given
// state.
func (g *gateTest) publish(state view.UnitState, epoch uint64) {
	terms := contract.Terms{MaxWaiting: 2, MaxTime: contract.Duration(time.Minute)}
	self := cluster.MemberRef{Name: "n", Incarnation: 1}
	g.src.Publish(&view.View{
		Self: self, Admitting: true,
		Config: &config.Config{
			Services:  map[string]config.Service{"painel": {Name: "painel", DividedByKey: true, Shards: 1}},
			Contracts: map[string]contract.Contract{"acme": {Customer: "acme", Total: terms}},
		},
		Tables: map[string]*view.Table{"painel": {Shards: []cluster.Assignment{{Owner: self, Epoch: epoch}}}},
		Owned:  map[cluster.Unit]view.Ownership{testUnit: {State: state, Epoch: epoch}},
	})
}

func post(id string) *wire.RequestHead {
	return &wire.RequestHead{
		Id: id, Method: "POST", Path: "/p/k", Service: "painel", Customer: "acme", Key: "k", DeadlineMs: 2000,
	}
}

func (g *gateTest) do(head *wire.RequestHead) (*recordingSink, *result.Error) {
	s := &recordingSink{}
	return s, g.Do(context.Background(), head, strings.NewReader(""), s)
}

func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 5s: " + condition)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func codeOf(e *result.Error) result.Code {
	if e == nil {
		return result.OK
	}
	return e.Code
}

func TestRequestCarriesFencingHeaders(t *testing.T) {
	var got http.Header
	g := newGateTest(t, func(_ http.ResponseWriter, r *http.Request) { got = r.Header.Clone() })
	head := post("r1")
	head.Headers = []*wire.Header{{Name: "Idempotency-Key", Value: "i"}}
	if s, err := g.do(head); err != nil || s.head.GetId() != "r1" {
		t.Fatal(err)
	}
	for name, want := range map[string]string{
		header.Unit: "painel/0", header.Epoch: "7", header.RequestID: "r1", header.Customer: "acme",
		header.Key: "k", header.IdempotencyKey: "i", header.LeaseUntil: fmt.Sprint(int64(g.src.LeaseUntil())),
	} {
		if got.Get(name) != want {
			t.Errorf("%s is %q, want %q", name, got.Get(name), want)
		}
	}
}

func TestRefusedRequestsAreNotRunOrCounted(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(g *gateTest)
		want    result.Code
		ran     int64
	}{
		{"stopping", func(g *gateTest) { g.publish(view.Stopping, 7) }, result.Moved, 0},
		{"lease expired", func(g *gateTest) { g.src.SetLease(clock.Now()) }, result.LeaseLapsed, 0},
		{"backend server withdrawn", func(g *gateTest) { g.SetBackend(nil) }, result.BackendNotReady, 0},
		{"backend server unreachable", func(g *gateTest) { g.server.Close() }, result.BackendUnreachable, 0},
		{"no configuration", func(g *gateTest) { g.src.Publish(&view.View{}) }, result.NotAdmitting, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGateTest(t, func(http.ResponseWriter, *http.Request) {})
			c.prepare(g)
			if _, err := g.do(post("r")); codeOf(err) != c.want || g.runs.Load() != c.ran {
				t.Fatalf("got code %d with %d runs", codeOf(err), g.runs.Load())
			}
			if g.InFlight(testUnit) != 0 || g.Total() != 0 {
				t.Fatal("a refused request is still in flight")
			}
		})
	}
}

func TestBackendRefusalsAreNotRun(t *testing.T) {
	for _, c := range []struct {
		name, header, value string
		status              int
		want                result.Code
	}{
		{"shed", header.Shed, "1", 503, result.BackendShed},
		{"stale fence", header.Fence, header.FenceStale, 409, result.StaleFence},
		{"503 without the shed header is a response", "X", "1", 503, result.OK},
		{"409 without the fence header is a response", "X", "1", 409, result.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newGateTest(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(c.header, c.value)
				w.WriteHeader(c.status)
			})
			if _, err := g.do(post("r")); codeOf(err) != c.want {
				t.Fatalf("got code %d", codeOf(err))
			}
		})
	}
}

// TestLateCopyOfRefusalIsNoAnswer guards against a request that ran and is taken for refused, as a second copy of an earlier
// refusal came late on its connection.
func TestLateCopyOfRefusalIsNoAnswer(t *testing.T) {
	refusal := "HTTP/1.1 503 Full\r\n" + header.Shed + ": 1\r\nContent-Length: 0\r\n\r\n"
	var requests atomic.Int64
	g := newGateTest(t, func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) > 1 {
			time.Sleep(100 * time.Millisecond)
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = conn.Write([]byte(refusal))
		br := bufio.NewReader(conn)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		// The next request runs while the refusal comes once more.
		_, _ = conn.Write([]byte(refusal))
	})
	if _, err := g.do(post("r1")); codeOf(err) != result.BackendShed {
		t.Fatalf("got code %d", codeOf(err))
	}
	if _, err := g.do(post("r2")); codeOf(err) != result.OK {
		t.Errorf("got code %d for the next request", codeOf(err))
	}
}

// TestAnswerToAnotherRequestIsBroken guards against an answer that names another request and is taken for that to this one.
func TestAnswerToAnotherRequestIsBroken(t *testing.T) {
	g := newGateTest(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(header.RequestID, "other") })
	if _, err := g.do(post("r1")); codeOf(err) != result.AnswerCut {
		t.Errorf("got code %d", codeOf(err))
	}
}

func TestLeaseExpiryDuringRequestMakesOutcomeUnknown(t *testing.T) {
	var g *gateTest
	g = newGateTest(t, func(http.ResponseWriter, *http.Request) { g.src.SetLease(clock.Now()) })
	if _, err := g.do(post("r")); codeOf(err) != result.LeaseLapsedDuring || g.runs.Load() != 1 {
		t.Fatalf("got code %d", codeOf(err))
	}
}

// Dissolving a pin raises the epoch of its shard under the same owner. A request
// that is running at that time must still get its response.
func TestEpochRiseDuringRequestKeepsResponse(t *testing.T) {
	var g *gateTest
	g = newGateTest(t, func(w http.ResponseWriter, _ *http.Request) {
		g.publish(view.Serving, 8)
		fmt.Fprint(w, "whole")
	})
	if s, err := g.do(post("r")); err != nil || s.body.String() != "whole" {
		t.Fatalf("response %q, error %v", s.body.String(), err)
	}
}

// The lease is checked after the connection is established, regardless of how
// long that took, and immediately before the first byte is written.
func TestLeaseIsCheckedBeforeFirstByte(t *testing.T) {
	g := newGateTest(t, func(http.ResponseWriter, *http.Request) {})
	r := &request{gate: g.Gate, head: post("r"), sink: &recordingSink{}, keyed: true}
	g.src.SetLease(clock.Now())
	c := &guardedConn{}
	c.request.Store(r)
	if n, err := c.Write([]byte("x")); n != 0 || err != errLeaseExpired {
		t.Fatalf("wrote %d bytes, error %v", n, err)
	}
}

func TestRequestIsDispatchedOnce(t *testing.T) {
	g := newGateTest(t, func(http.ResponseWriter, *http.Request) {})
	r := &request{gate: g.Gate, head: post("r"), sink: &recordingSink{}, keyed: true}
	first, second := &guardedConn{}, &guardedConn{}
	if err := r.beforeWrite(first); err != nil {
		t.Fatal(err)
	}
	if err := r.beforeWrite(first); err != nil {
		t.Fatal(err)
	}
	if err := r.beforeWrite(second); !errAborted.Has(err) {
		t.Fatalf("second dispatch was not refused: %v", err)
	}
}

// net/http retries a request with an Idempotency-Key header when a reused
// connection fails. Here the server closes the connection after it has read the
// request, and a retry would run the request twice.
func TestNetHTTPDoesNotRetryDispatchedRequest(t *testing.T) {
	abortConnections := atomic.Bool{}
	g := newGateTest(t, func(http.ResponseWriter, *http.Request) {
		if abortConnections.Load() {
			panic(http.ErrAbortHandler)
		}
	})
	if _, err := g.do(post("warm")); err != nil {
		t.Fatal(err)
	}
	abortConnections.Store(true)
	head := post("r")
	head.Headers = []*wire.Header{{Name: "Idempotency-Key", Value: "i"}}
	_, err := g.do(head)
	if codeOf(err) != result.AnswerCut || g.runs.Load() != 2 {
		t.Fatalf("got code %d with %d runs", codeOf(err), g.runs.Load())
	}
}

func TestRequestsForPendingUnitWaitWithinContract(t *testing.T) {
	g := newGateTest(t, func(http.ResponseWriter, *http.Request) {})
	g.publish(view.Pending, 7)
	codes := make(chan result.Code, 3)
	for i := range 3 {
		go func() {
			_, err := g.do(post(fmt.Sprint(i)))
			codes <- codeOf(err)
		}()
	}
	if c := <-codes; c != result.WaitingFull {
		t.Fatalf("the request beyond the contract's limit got code %d", c)
	}
	if g.InFlight(testUnit) != 0 {
		t.Fatal("a waiting request is counted as in flight")
	}
	g.publish(view.Serving, 7)
	for range 2 {
		if c := <-codes; c != result.OK {
			t.Fatalf("a waiting request got code %d", c)
		}
	}
}

func TestInFlightOfPinCountsRequestsAdmittedThroughShard(t *testing.T) {
	release := make(chan struct{})
	g := newGateTest(t, func(http.ResponseWriter, *http.Request) { <-release })
	done := make(chan struct{})
	go func() { defer close(done); _, _ = g.do(post("r")) }()
	eventually(t, "the request reaches the backend server", func() bool { return g.runs.Load() == 1 })
	pin := cluster.Unit{Service: "painel", Shard: 0, Key: "k"}
	other := cluster.Unit{Service: "painel", Shard: 0, Key: "other"}
	if g.InFlight(pin) != 1 || g.InFlight(other) != 0 || g.InFlight(testUnit) != 1 {
		t.Fatalf("in flight: pinned key %d, other key %d, shard %d", g.InFlight(pin), g.InFlight(other), g.InFlight(testUnit))
	}
	close(release)
	<-done
	if g.InFlight(pin) != 0 || g.InFlight(testUnit) != 0 {
		t.Fatal("requests are still counted as in flight")
	}
}

// publishPin publishes a view in which the shard is stopping and key k is pinned
// at the epoch, or not pinned if the epoch is 0.
func (g *gateTest) publishPin(epoch uint64, state view.UnitState) {
	v := *g.src.Current()
	self := cluster.MemberRef{Name: "n", Incarnation: 1}
	table := &view.Table{Shards: v.Tables["painel"].Shards, Pins: map[string]cluster.Pin{}}
	v.Owned = map[cluster.Unit]view.Ownership{testUnit: {State: view.Stopping, Epoch: 7}}
	if epoch > 0 {
		table.Pins["k"] = cluster.Pin{Key: "k", Assignment: cluster.Assignment{Owner: self, Epoch: epoch}}
		v.Owned[cluster.Unit{Service: "painel", Key: "k"}] = view.Ownership{State: state, Epoch: epoch}
	}
	v.Tables = map[string]*view.Table{"painel": table}
	g.src.Publish(&v)
}

// A request admitted through a pin does not delay the release of the shard while
// the pin is held. It must delay it once that pin is handed over or dissolved,
// even if the key is pinned again.
func TestInFlightOfShardCountsRequestsOfDissolvedPin(t *testing.T) {
	release := make(chan struct{})
	g := newGateTest(t, func(http.ResponseWriter, *http.Request) { <-release })
	g.publishPin(8, view.Serving)
	done := make(chan struct{})
	go func() { defer close(done); _, _ = g.do(post("r")) }()
	eventually(t, "the request reaches the backend server", func() bool { return g.runs.Load() == 1 })
	steps := []struct {
		name  string
		epoch uint64
		state view.UnitState
		want  int
	}{
		{"pin held", 8, view.Serving, 0},
		{"pin handed over", 8, view.Stopping, 1},
		{"pin dissolved", 0, 0, 1},
		{"pinned again", 11, view.Pending, 1},
	}
	for _, s := range steps {
		g.publishPin(s.epoch, s.state)
		if n := g.InFlight(testUnit); n != s.want {
			t.Errorf("%s: %d in flight, want %d", s.name, n, s.want)
		}
	}
	close(release)
	<-done
	if n := g.InFlight(testUnit); n != 0 {
		t.Errorf("%d requests are still counted as in flight", n)
	}
}

func TestCancelledRequestStaysInFlightUntilDeadline(t *testing.T) {
	release := make(chan struct{})
	g := newGateTest(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	ctx, cancel := context.WithCancel(context.Background())
	codes := make(chan result.Code, 1)
	head := post("r")
	head.DeadlineMs = 500
	go func() { codes <- codeOf(g.Do(ctx, head, strings.NewReader(""), &recordingSink{})) }()
	eventually(t, "the request reaches the backend server", func() bool { return g.runs.Load() == 1 })
	cancel()
	if c := <-codes; c != result.CancelledAfter {
		t.Fatalf("got code %d", c)
	}
	if g.InFlight(testUnit) != 1 {
		t.Fatal("the unit could be handed over while the backend server may still run the request")
	}
	eventually(t, "no request of the unit is in flight", func() bool { return g.InFlight(testUnit) == 0 })
}

// Requests race with a hand-over. Once the unit is Stopping in the view and no
// request is in flight, no request may reach the backend server.
func TestNoDispatchAfterStoppingWithNoneInFlight(t *testing.T) {
	var released atomic.Bool
	var dispatchedLate atomic.Int64
	g := newGateTest(t, func(http.ResponseWriter, *http.Request) {
		if released.Load() {
			dispatchedLate.Add(1)
		}
	})
	for epoch := uint64(1); epoch <= 20; epoch++ {
		released.Store(false)
		g.publish(view.Serving, epoch)
		var wg sync.WaitGroup
		for i := range 16 {
			wg.Add(1)
			go func() { defer wg.Done(); _, _ = g.do(post(fmt.Sprint(i))) }()
		}
		g.publish(view.Stopping, epoch)
		eventually(t, "nothing is in flight", func() bool { return g.InFlight(testUnit) == 0 })
		released.Store(true)
		wg.Wait()
	}
	if dispatchedLate.Load() != 0 {
		t.Fatalf("%d requests were dispatched after the unit was released", dispatchedLate.Load())
	}
}

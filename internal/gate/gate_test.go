package gate

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/peer"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/upstream"
	"fulmarhinge/internal/wire"
)

var testHeaders = upstream.Headers{
	RequestID: "Id", Deadline: "Left-Ms", Instance: "Instance", NotRun: "Not-Run", Proof: "Proof",
}

// backend is a server that counts what it is sent.
type backend struct {
	calls atomic.Int64
	// answer writes the answer of the n-th call.
	answer func(w http.ResponseWriter, r *http.Request, n int64)
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := b.calls.Add(1)
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Proof", "p")
	if b.answer != nil {
		b.answer(w, r, n)
		return
	}
	fmt.Fprint(w, "fine")
}

const keyedLife = 17

// newGate returns a gate in front of a backend that holds the keys 0 to 99.
func newGate(t *testing.T, b *backend, owns func(int) bool) *Gate {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: b, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	client := upstream.NewClient(ln.Addr().String(), testHeaders)
	t.Cleanup(client.Close)
	g := New(Config{
		Client: client, Logger: hclog.NewNullLogger(), Owns: func(_ string, key int) bool { return owns(key) },
		Down: func() {}, Drain: 2 * time.Second,
	})
	g.SetServer(testServer(true))
	g.SetHeld(testHeld(time.Minute))
	return g
}

func testServer(ready bool) *fleet.Server {
	return &fleet.Server{Life: fleet.Life{ID: "i-1", Born: keyedLife}, Service: "svc", Slots: 2, Ready: ready}
}

func testHeld(d time.Duration) *fleet.Held {
	return &fleet.Held{Life: fleet.Life{ID: "i-1", Born: keyedLife}, Rows: []fleet.Row{{From: 0, To: 99, Epoch: 1}}, Until: clock.Now().Add(d)}
}

func head(key string) *wire.RequestHead {
	return &wire.RequestHead{Id: "r1", Method: http.MethodGet, Path: "/x", Service: "svc", Key: key, DeadlineMs: 500, TargetMs: 300, Idempotent: true,
		Headers: []*wire.Header{{Name: "Id", Value: "r1"}, {Name: "Host", Value: "h"}}}
}

func always(owns bool) func(int) bool { return func(int) bool { return owns } }

// TestGate checks what the gate lets through, and what it says otherwise.
func TestGate(t *testing.T) {
	tests := []struct {
		name  string
		key   string
		owns  bool
		setUp func(*Gate)
		want  result.Code
		calls int64
	}{
		{"held key", "5", true, nil, result.OK, 1},
		{"service without keys", "", true, nil, result.OK, 1},
		{"key that is on its way elsewhere", "500", false, nil, result.Moved, 0},
		{"key whose grant does not come", "500", true, nil, result.NoOwner, 0},
		{"hold that has run out", "5", true, func(g *Gate) { g.SetHeld(testHeld(-time.Second)) }, result.NoOwner, 0},
		{"no server", "5", true, func(g *Gate) { g.SetServer(nil) }, result.BackendNotReady, 0},
		{"another service", "", true, func(g *Gate) {
			s := testServer(true)
			s.Service = "other"
			g.SetServer(s)
		}, result.BackendNotReady, 0},
		{"closed gate", "5", true, func(g *Gate) { g.Close() }, result.PeerUnreachable, 0},
		{"server that has just said that it leaves", "5", true, func(g *Gate) { g.Leave() }, result.OK, 1},
		{"server that said so a while ago", "5", true, func(g *Gate) {
			g.Leave()
			time.Sleep(leaveGrace + 20*time.Millisecond)
		}, result.Draining, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			b := &backend{}
			g := newGate(t, b, always(tc.owns))
			if tc.setUp != nil {
				tc.setUp(g)
			}
			h, _ := g.Do(context.Background(), head(tc.key), nil)
			if got := result.Code(h.GetCode()); got != tc.want || b.calls.Load() != tc.calls {
				t.Errorf("got %d after %d calls", got, b.calls.Load())
			}
		})
	}
}

// TestGrantArrives has a request wait for a key that is granted soon.
func TestGrantArrives(t *testing.T) {
	g := newGate(t, &backend{}, always(true))
	g.SetHeld(&fleet.Held{})
	time.AfterFunc(100*time.Millisecond, func() { g.SetHeld(testHeld(time.Minute)) })
	if h, _ := g.Do(context.Background(), head("5"), nil); result.Code(h.GetCode()) != result.OK {
		t.Errorf("got %d", h.GetCode())
	}
}

// TestDoubt plays a server that says it does not hold a key although it was
// granted: it is asked once, and not again before its next report.
func TestDoubt(t *testing.T) {
	b := &backend{answer: func(w http.ResponseWriter, _ *http.Request, _ int64) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}}
	g := newGate(t, b, always(true))
	for range 5 {
		if h, _ := g.Do(context.Background(), head("5"), nil); result.Lookup(result.Code(h.GetCode())).Kind != result.NotRun {
			t.Errorf("got %d", h.GetCode())
		}
	}
	if n := b.calls.Load(); n != 1 {
		t.Errorf("the server was asked %d times", n)
	}
	b.answer = nil
	g.SetHeld(testHeld(time.Minute))
	if h, _ := g.Do(context.Background(), head("5"), nil); result.Code(h.GetCode()) != result.OK {
		t.Errorf("after the next report: %d", h.GetCode())
	}
}

// TestLeavingWhileQueued has a server leave while a request waits for a slot:
// the request is not sent to it too late.
func TestLeavingWhileQueued(t *testing.T) {
	b := &backend{answer: func(w http.ResponseWriter, _ *http.Request, _ int64) {
		time.Sleep(1800 * time.Millisecond)
		fmt.Fprint(w, "fine")
	}}
	g := newGate(t, b, always(true))
	slow := head("5")
	slow.DeadlineMs, slow.TargetMs = 10000, 9000
	var wg sync.WaitGroup
	for range 3 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.Do(context.Background(), slow, nil)
		}()
	}
	time.Sleep(50 * time.Millisecond)
	g.Leave()
	wg.Wait()
	if n := b.calls.Load(); n != 2 {
		t.Errorf("%d requests were sent; the third waited until the server's time was over", n)
	}
}

// TestHeldUpRequest has a peer's request arrive long after it was sent: its
// time counts from then.
func TestHeldUpRequest(t *testing.T) {
	b := &backend{}
	g := newGate(t, b, always(true))
	from := cluster.MemberRef{Name: "p", Incarnation: 1}
	ask := func(late time.Duration) result.Code {
		near, far := net.Pipe()
		defer near.Close()
		go func() {
			g.ServeStream(context.Background(), from, far)
			_ = far.Close()
		}()
		h := head("5")
		h.SentUs = int64((time.Duration(clock.Now()) - late) / time.Microsecond)
		if err := peer.WriteUnary(near, h, nil); err != nil {
			t.Fatal(err)
		}
		out := &wire.ResponseHead{}
		if _, err := peer.ReadUnary(near, out, out.GetContentLength); err != nil {
			t.Fatal(err)
		}
		return result.Code(out.GetCode())
	}
	if c := ask(0); c != result.OK {
		t.Fatalf("request in time: %d", c)
	}
	if c := ask(2 * time.Second); c != result.DeadlineBefore || b.calls.Load() != 1 {
		t.Errorf("request that was held up: %d, %d calls", c, b.calls.Load())
	}
}

// TestLeftBehindRequest has requests arrive late with the peer's departure right
// behind them, as after a pause of the node: none reaches the backend server.
func TestLeftBehindRequest(t *testing.T) {
	b := &backend{}
	g := newGate(t, b, always(true))
	from := cluster.MemberRef{Name: "p", Incarnation: 1}
	g.transit.excess(from, time.Duration(clock.Now()), time.Duration(clock.Now()))
	for range 50 {
		near, far := net.Pipe()
		ended := make(chan struct{})
		go func() {
			g.ServeStream(context.Background(), from, far)
			close(ended)
		}()
		h := head("5")
		h.SentUs = int64((time.Duration(clock.Now()) - 300*time.Millisecond) / time.Microsecond)
		if err := peer.WriteUnary(near, h, nil); err != nil {
			t.Fatal(err)
		}
		_ = near.Close()
		<-ended
	}
	if n := b.calls.Load(); n != 0 {
		t.Errorf("%d of 50 requests of a peer that had left reached the backend server", n)
	}
}

// TestTransit checks the estimate of how long messages were held up.
func TestTransit(t *testing.T) {
	var tr transit
	from := cluster.MemberRef{Name: "p", Incarnation: 1}
	offset := 17 * time.Hour
	for i, late := range []time.Duration{3 * time.Millisecond, time.Millisecond, 2 * time.Second} {
		got := tr.excess(from, time.Duration(i)*time.Second+offset, time.Duration(i)*time.Second+late)
		if want := max(0, late-time.Millisecond); i > 0 && got != want {
			t.Errorf("message %d: %v, expected %v", i, got, want)
		}
	}
	if got := tr.excess(cluster.MemberRef{Name: "p", Incarnation: 2}, 0, time.Hour); got != 0 {
		t.Errorf("first message of another incarnation: %v", got)
	}
}

// TestThinLink plays large answers on a link of 8 Mbit/s: they leave one after
// the other at the link's pace, and more than fits the time is refused.
func TestThinLink(t *testing.T) {
	l := newLink(8)
	now := time.Now()
	if _, ok := l.begin(now, 50*time.Millisecond); ok {
		t.Error("an answer was begun that takes longer than its limit")
	}
	begun := 0
	for range 20 {
		if _, ok := l.begin(now, 500*time.Millisecond); ok {
			begun++
		}
	}
	// 64 KiB take 87 ms at three quarters of 1 MB/s.
	if begun != 5 {
		t.Errorf("%d answers were begun for half a second", begun)
	}
	start := time.Now()
	for range 3 {
		if err := l.pass(context.Background(), 64<<10); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(start); took < 150*time.Millisecond || took > 300*time.Millisecond {
		t.Errorf("the third answer was let onto the link after %v", took)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := l.pass(ctx, 64<<10); err == nil {
		t.Error("an answer for a caller that left was let onto the link")
	}
}

// TestLoads checks the spans that are reported.
func TestLoads(t *testing.T) {
	g := newGate(t, &backend{}, always(true))
	for range 90 {
		g.loads.asked(7)
	}
	for key := range 10 {
		g.loads.asked(1000 + key)
	}
	g.loads.served(40 * time.Millisecond)
	spans, mean := g.Sample()
	if mean != 40*time.Millisecond || len(spans) < 2 || spans[0].GetFrom() != 7 || spans[0].GetTo() != 7 {
		t.Errorf("mean %v, spans %v", mean, spans)
	}
}

package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
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
	"fulmarhinge/internal/route"
	"fulmarhinge/internal/wire"
)

var testHeaders = Headers{
	RequestID: "Id", Deadline: "Left-Ms", Key: "Key", Caller: "Caller", Instance: "Instance",
}

// gateFunc is a gate that a function plays.
type gateFunc func(ctx context.Context, h *wire.RequestHead, body []byte) (*wire.ResponseHead, []byte)

func (f gateFunc) Do(ctx context.Context, h *wire.RequestHead, body []byte) (*wire.ResponseHead, []byte) {
	out, answer := f(ctx, h, body)
	out.Id = h.GetId()
	out.ContentLength = int64(len(answer))
	return out, answer
}

// fakePeers plays the other nodes by their address.
type fakePeers map[string]gateFunc

func (p fakePeers) Open(_ context.Context, addr string) (net.Conn, error) {
	gate := p[addr]
	if gate == nil {
		return nil, errors.New("nobody there")
	}
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		h := &wire.RequestHead{}
		body, err := peer.ReadUnary(far, h, h.GetContentLength)
		if err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			// The entry sends nothing more: the read ends when it closes.
			var one [1]byte
			_, _ = far.Read(one[:])
			cancel()
		}()
		out, answer := gate.Do(ctx, h, body)
		if out.GetCode() == 0 {
			return
		}
		_ = peer.WriteUnary(far, out, answer)
	}()
	return near, nil
}

func ok(body string) (*wire.ResponseHead, []byte) {
	return &wire.ResponseHead{Code: uint32(result.OK), Status: 200, Offered: true, Headers: []*wire.Header{{Name: "Proof", Value: "p"}}}, []byte(body)
}

func refused(c result.Code, offered bool) (*wire.ResponseHead, []byte) {
	return &wire.ResponseHead{Code: uint32(c), Offered: offered, RetryAfterMs: 200}, nil
}

// always answers each request alike.
func always(c result.Code, offered bool) gateFunc {
	return func(context.Context, *wire.RequestHead, []byte) (*wire.ResponseHead, []byte) {
		return refused(c, offered)
	}
}

func testConfig() *route.Config {
	part := func(s string) []route.Part { return []route.Part{{Service: s, Weight: 1}} }
	return route.New(3, []*route.Route{
		{Name: "read", Host: "h", Prefix: "/read/", Idempotent: true, Timeout: time.Second, Target: 300 * time.Millisecond, MaxAttempts: 2, Split: part("plain")},
		{Name: "act", Host: "h", Prefix: "/act/", Timeout: time.Second, Target: 300 * time.Millisecond, MaxAttempts: 2, Split: part("plain")},
		{Name: "keyed", Host: "h", Prefix: "/keyed/", Idempotent: true, Timeout: time.Second, Target: 300 * time.Millisecond, MaxAttempts: 2, Split: part("keyed")},
	}, map[string]route.Service{"plain": {Name: "plain"}, "keyed": {Name: "keyed", Keyed: true}}, route.Limits{MaxBody: 100})
}

func testDocument() *fleet.Document {
	member := func(name, service string) *fleet.Member {
		return &fleet.Member{
			MemberRef: cluster.MemberRef{Name: name, Incarnation: 1}, Addr: name, Zone: "z",
			Server: &fleet.Server{Life: fleet.Life{ID: "i-" + name, Born: 1}, Service: service, Slots: 4, Ready: true},
		}
	}
	return &fleet.Document{
		Members: map[string]*fleet.Member{"self": member("self", "keyed"), "p1": member("p1", "plain"), "p2": member("p2", "plain")},
		Tables: map[string]fleet.Table{"keyed": {
			{From: 0, To: 999, Epoch: 1, Owner: "self"}, {From: 1000, To: 1999, Epoch: 2, Owner: "p1"}, {From: 2000, To: fleet.MaxKey, Epoch: 3},
		}},
	}
}

// newEntry returns an entry with a gate and peers, and its log.
func newEntry(t *testing.T, local gateFunc, peers fakePeers) (*httptest.Server, *Server, *lockedBuffer) {
	t.Helper()
	out := &lockedBuffer{}
	log := hclog.New(&hclog.LoggerOptions{Output: out, JSONFormat: true})
	s := New(Config{
		Self: cluster.MemberRef{Name: "self", Incarnation: 1}, Zone: "z", Service: "own", Headers: testHeaders,
		Gate: local, Peers: peers, Logger: hclog.NewNullLogger(), Decisions: log,
	})
	s.SetConfig(testConfig())
	s.SetView(NewView(testDocument(), 7))
	s.SetBudget(Share{Ratio: 0.2, Extra: 20, Window: 10 * time.Second, Nodes: 1})
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return srv, s, out
}

type lockedBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// call sends a request and returns the answer.
func call(t *testing.T, srv *httptest.Server, method, path, id, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, srv.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", id)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(b)
}

// TestAnswers checks what callers get for each thing that may become of a
// request, and how many servers it is offered to.
func TestAnswers(t *testing.T) {
	fine := func(context.Context, *wire.RequestHead, []byte) (*wire.ResponseHead, []byte) { return ok("fine") }
	tests := []struct {
		name, path, key string
		peers           fakePeers
		local           gateFunc
		status          int
		retryAfter      bool
	}{
		{"answered", "/read/x", "", fakePeers{"p1": fine, "p2": fine}, nil, 200, false},
		{"no route", "/none/x", "", nil, nil, 404, false},
		{"broken, may be repeated", "/read/x", "", fakePeers{"p1": once(result.AnswerCut, true), "p2": once(result.AnswerCut, true)}, nil, 502, false},
		{"broken, must not be repeated", "/act/x", "", fakePeers{"p1": always(result.AnswerCut, true), "p2": always(result.AnswerCut, true)}, nil, 502, false},
		{"refused by one server", "/act/x", "", fakePeers{"p1": always(result.BackendShed, true), "p2": fine}, nil, 200, false},
		{"busy everywhere", "/act/x", "", fakePeers{"p1": always(result.BackendBusy, false), "p2": always(result.BackendBusy, false)}, nil, 503, true},
		{"one node away", "/act/x", "", fakePeers{"p2": fine}, nil, 200, false},
		{"all nodes away", "/act/x", "", fakePeers{}, nil, 503, true},
		{"node lost under way", "/act/x", "", fakePeers{"p1": silent, "p2": silent}, nil, 502, false},
		{"key of this node", "/keyed/x", "5", nil, fine, 200, false},
		{"key of another node", "/keyed/x", "1500", fakePeers{"p1": fine}, nil, 200, false},
		{"key of nobody", "/keyed/x", "3000", nil, nil, 503, true},
		{"no key", "/keyed/x", "", nil, nil, 400, false},
		{"key out of range", "/keyed/x", "65536", nil, nil, 400, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			srv, _, _ := newEntry(t, tc.local, tc.peers)
			headers := []string{"Left-Ms", "400"}
			if tc.key != "" {
				headers = append(headers, "Key", tc.key)
			}
			begun := time.Now()
			resp, body := call(t, srv, http.MethodPost, tc.path, "r1", "", headers...)
			if resp.StatusCode != tc.status || resp.StatusCode == 200 && (body != "fine" || resp.Header.Get("Proof") != "p") {
				t.Errorf("got %d %q", resp.StatusCode, body)
			}
			if got := resp.Header.Get("Retry-After") != ""; got != tc.retryAfter {
				t.Errorf("Retry-After %q", resp.Header.Get("Retry-After"))
			}
			if took := time.Since(begun); took > 600*time.Millisecond {
				t.Errorf("took %v", took)
			}
		})
	}
}

// once breaks every request; the budget and the route bound the attempts.
func once(c result.Code, offered bool) gateFunc { return always(c, offered) }

// silent closes the stream without an answer.
func silent(context.Context, *wire.RequestHead, []byte) (*wire.ResponseHead, []byte) {
	return &wire.ResponseHead{}, nil
}

// TestAttempts checks to how many servers a request goes.
func TestAttempts(t *testing.T) {
	tests := []struct {
		path string
		code result.Code
		want int
	}{
		{"/read/x", result.AnswerCut, 2}, {"/act/x", result.AnswerCut, 1},
		{"/read/x", result.DeadlineAfter, 1}, {"/act/x", result.BackendShed, 2},
	}
	for _, tc := range tests {
		t.Run(fmt.Sprint(tc.path, tc.code), func(t *testing.T) {
			var mu sync.Mutex
			offers := 0
			gate := gateFunc(func(context.Context, *wire.RequestHead, []byte) (*wire.ResponseHead, []byte) {
				mu.Lock()
				offers++
				mu.Unlock()
				return refused(tc.code, true)
			})
			srv, _, _ := newEntry(t, nil, fakePeers{"p1": gate, "p2": gate})
			call(t, srv, http.MethodGet, tc.path, "r1", "", "Left-Ms", "500")
			if offers != tc.want {
				t.Errorf("%d offers, expected %d", offers, tc.want)
			}
		})
	}
}

// TestNotRunStaysTrue plays a request that broke at one server and was refused
// by the next: the answer must not say that it has not run.
func TestNotRunStaysTrue(t *testing.T) {
	var mu sync.Mutex
	n := 0
	gate := gateFunc(func(context.Context, *wire.RequestHead, []byte) (*wire.ResponseHead, []byte) {
		mu.Lock()
		defer mu.Unlock()
		if n++; n == 1 {
			return refused(result.AnswerCut, true)
		}
		return refused(result.BackendBusy, false)
	})
	srv, _, _ := newEntry(t, nil, fakePeers{"p1": gate, "p2": gate})
	if resp, _ := call(t, srv, http.MethodGet, "/read/x", "r1", "", "Left-Ms", "500"); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("got %d", resp.StatusCode)
	}
}

// TestForwarded checks what the gate is handed.
func TestForwarded(t *testing.T) {
	got := make(chan *wire.RequestHead, 1)
	gate := gateFunc(func(_ context.Context, h *wire.RequestHead, body []byte) (*wire.ResponseHead, []byte) {
		got <- h
		return ok(string(body))
	})
	srv, _, _ := newEntry(t, gate, nil)
	_, body := call(t, srv, http.MethodPost, "/keyed/x?a=%20b", "r1", "payload", "Key", "5", "Left-Ms", "5000", "Caller", "forged", "Instance", "forged", "Own", "kept", "Connection", "Gone", "Gone", "x")
	h := <-got
	seen := map[string]string{}
	for _, line := range h.GetHeaders() {
		seen[line.GetName()] = line.GetValue()
	}
	if body != "payload" || h.GetPath() != "/keyed/x?a=%20b" || h.GetMethod() != http.MethodPost || h.GetId() != "r1" {
		t.Errorf("handed on %v, body %q", h, body)
	}
	if seen["Caller"] != "own" || seen["Own"] != "kept" || seen["Host"] != "h" || seen["Instance"] != "" || seen["Gone"] != "" || seen["Key"] != "5" {
		t.Errorf("headers %v", seen)
	}
	if ms := h.GetDeadlineMs(); ms < 900 || ms > 1000 {
		t.Errorf("%d ms left of a route's 1000", ms)
	}
}

// TestLimits checks what a caller may send.
func TestLimits(t *testing.T) {
	srv, s, _ := newEntry(t, func(context.Context, *wire.RequestHead, []byte) (*wire.ResponseHead, []byte) { return ok("fine") }, nil)
	if resp, _ := call(t, srv, http.MethodPost, "/keyed/x", "r1", strings.Repeat("x", 101), "Key", "5"); resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("large body: %d", resp.StatusCode)
	}
	s.Refuse()
	if resp, _ := call(t, srv, http.MethodPost, "/keyed/x", "r1", "", "Key", "5"); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("refusing entry: %d", resp.StatusCode)
	}
	empty := New(Config{Headers: testHeaders, Logger: hclog.NewNullLogger(), Decisions: hclog.NewNullLogger()})
	w := httptest.NewRecorder()
	empty.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil))
	if w.Code != http.StatusServiceUnavailable || empty.Ready() {
		t.Errorf("entry without a configuration: %d, ready %v", w.Code, empty.Ready())
	}
}

// TestEveryFailureIsInTheLog sends many requests that are refused: each id is
// in a line, though few have one of their own.
func TestEveryFailureIsInTheLog(t *testing.T) {
	srv, s, out := newEntry(t, always(result.BackendBusy, false), nil)
	for i := range 60 {
		call(t, srv, http.MethodGet, "/keyed/x", fmt.Sprintf("req-%03d", i), "", "Key", "5", "Left-Ms", "900")
	}
	s.outcomes.flush(time.Now().Add(2 * outcomePeriod))
	log := out.String()
	for i := range 60 {
		if !strings.Contains(log, fmt.Sprintf("req-%03d", i)) {
			t.Errorf("request req-%03d is in no line", i)
		}
	}
	if n := strings.Count(log, "\n"); n > 20 {
		t.Errorf("%d lines for 60 refusals of one kind", n)
	}
	if !strings.Contains(log, `"code":`+strconv.Itoa(int(result.BackendBusy))) || !strings.Contains(log, `"document":7`) {
		t.Errorf("the lines lack what decided: %s", log)
	}
}

// TestBudget checks that retries stay within the share over a sliding window.
func TestBudget(t *testing.T) {
	b := newBudget()
	b.share = Share{Ratio: 0.2, Extra: 56, Window: 10 * time.Second, Nodes: 10}
	now := time.Unix(1000, 0)
	for step := range 400 {
		now = now.Add(50 * time.Millisecond)
		for range 5 {
			b.earn(now, "s")
		}
		for range 5 {
			b.spend(now, "s")
		}
		w := b.services["s"]
		requests, retries := 0.0, 0.0
		for i := range slices {
			requests += w.requests[i]
			retries += w.retries[i]
		}
		if most := 0.2*requests + 5.6; retries > most {
			t.Fatalf("step %d: %v retries for %v requests", step, retries, requests)
		}
	}
	if b.services["s"].slot == 0 {
		t.Error("nothing was counted")
	}
	if newBudget().spend(now, "s") {
		t.Error("a budget without a share allowed a retry")
	}
}

// TestPick checks that busy, far and failing servers are passed over.
func TestPick(t *testing.T) {
	member := func(name, zone string) *fleet.Member {
		return &fleet.Member{MemberRef: cluster.MemberRef{Name: name}, Zone: zone,
			Server: &fleet.Server{Life: fleet.Life{ID: name, Born: 1}, Slots: 4}}
	}
	near, far := member("near", "z"), member("far", "y")
	members := []*fleet.Member{near, far}
	now := time.Unix(1000, 0)
	count := func(p *picker, bulk bool) map[string]int {
		n := map[string]int{}
		for range 100 {
			m := p.pick(now, members, nil, bulk)
			n[m.Name]++
			p.done(now, m, &wire.ResponseHead{Code: uint32(result.OK), ServedUs: 50000})
		}
		return n
	}
	if n := count(newPicker("self", "z"), true); n["near"] != 100 {
		t.Errorf("idle servers: %v", n)
	}
	p := newPicker("self", "z")
	p.pick(now, []*fleet.Member{near}, nil, false)
	p.done(now, near, &wire.ResponseHead{Code: uint32(result.BackendShed)})
	if n := count(p, false); n["far"] != 100 {
		t.Errorf("after a failure of the near one: %v", n)
	}
	for _, tc := range []struct {
		name             string
		running, waiting uint32
		want             string
	}{
		{"the near server with a free slot", 3, 0, "near"},
		{"the near server with a queue", 4, 4, "far"},
	} {
		p = newPicker("self", "z")
		p.done(now, near, &wire.ResponseHead{Code: uint32(result.OK), ServedUs: 50000, Slots: 4, InFlight: tc.running, Waiting: tc.waiting})
		if m := p.pick(now, members, nil, false); m.Name != tc.want {
			t.Errorf("%s: picked %s", tc.name, m.Name)
		}
	}
	p = newPicker("self", "z")
	for range 40 {
		p.pick(now, members, nil, false)
	}
	if a, b := p.seen["near"].open, p.seen["far"].open; a < 15 || b < 15 {
		t.Errorf("40 open requests went %d and %d", a, b)
	}
	if m := p.pick(now, members, []string{"near", "far"}, false); m != nil {
		t.Errorf("picked %s again", m.Name)
	}
}

// TestAge checks that a caller that comes back is told from one that has just
// begun.
func TestAge(t *testing.T) {
	var a ages
	now := time.Unix(1000, 0)
	if got := a.of(now, "r", 2*time.Second); got != 0 {
		t.Errorf("first caller: %v", got)
	}
	if got := a.of(now, "r", 1500*time.Millisecond); got != 500*time.Millisecond {
		t.Errorf("caller that came back: %v", got)
	}
	if got := a.of(now, "other", time.Second); got != 0 {
		t.Errorf("other route: %v", got)
	}
	now = now.Add(agePeriod + time.Second)
	a.of(now, "r", time.Second)
	now = now.Add(agePeriod + time.Second)
	if got := a.of(now, "r", time.Second); got != 0 {
		t.Errorf("after the callers' time has changed: %v", got)
	}
}

// TestServedRequestsAreSampled sends requests that are served at the first try:
// they cost no line by default, and one in so many if that is set.
func TestServedRequestsAreSampled(t *testing.T) {
	srv, s, out := newEntry(t, func(context.Context, *wire.RequestHead, []byte) (*wire.ResponseHead, []byte) { return ok("b") }, nil)
	serve := func() int {
		before := strings.Count(out.String(), "request served")
		for i := range 40 {
			call(t, srv, http.MethodGet, "/keyed/x", fmt.Sprintf("req-%03d", i), "", "Key", "5", "Left-Ms", "900")
		}
		return strings.Count(out.String(), "request served") - before
	}
	if n := serve(); n != 0 {
		t.Errorf("%d lines for 40 served requests by default", n)
	}
	s.SampleServed(10)
	if n := serve(); n != 4 {
		t.Errorf("%d lines for 40 served requests, one in 10", n)
	}
}

// TestLeftWhileStandingStill has callers leave while the process stands still:
// what it finds of them on waking reaches no gate.
func TestLeftWhileStandingStill(t *testing.T) {
	reached := atomic.Int64{}
	srv, s, _ := newEntry(t, func(context.Context, *wire.RequestHead, []byte) (*wire.ResponseHead, []byte) {
		reached.Add(1)
		return ok("b")
	}, nil)
	s.Alive()
	for range 30 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(srv.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		s.awake.last.Store(int64(clock.Now().Add(-time.Second)))
		if _, err := io.WriteString(conn, "GET /keyed/x HTTP/1.1\r\nHost: h\r\nId: r\r\nKey: 5\r\nLeft-Ms: 900\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	if n := reached.Load(); n != 0 {
		t.Errorf("%d of 30 requests of callers that had left reached a gate", n)
	}
	s.awake.last.Store(int64(clock.Now()))
	s.awake.woke.Store(0)
	if resp, _ := call(t, srv, http.MethodGet, "/keyed/x", "r1", "", "Key", "5", "Left-Ms", "900"); resp.StatusCode != http.StatusOK {
		t.Errorf("a request in time: %d", resp.StatusCode)
	}
}

// TestLeftWhileWaiting has a caller leave while its request waits at another
// node's gate: the gate hears of it, whatever may be repeated. It is the gate
// that lets go on what runs and must not be cut.
func TestLeftWhileWaiting(t *testing.T) {
	for _, path := range []string{"/read/x", "/act/x"} {
		waiting, left := make(chan struct{}), make(chan struct{})
		gate := func(ctx context.Context, _ *wire.RequestHead, _ []byte) (*wire.ResponseHead, []byte) {
			close(waiting)
			<-ctx.Done()
			close(left)
			return refused(result.CancelledBefore, false)
		}
		srv, _, _ := newEntry(t, nil, fakePeers{"p1": gate, "p2": gate})
		ctx, leave := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h"
		req.Header.Set("Id", "r1")
		req.Header.Set("Left-Ms", "5000")
		go func() {
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}()
		<-waiting
		leave()
		select {
		case <-left:
		case <-time.After(500 * time.Millisecond):
			t.Errorf("%s: the gate has not heard after 0.5 s that the caller left", path)
		}
	}
}

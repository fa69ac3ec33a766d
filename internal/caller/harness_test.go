package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/backend"
	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/contract"
	"fulmarhinge/internal/header"
	"fulmarhinge/internal/peer"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/view"
	"fulmarhinge/internal/wire"
)

const (
	keyedService = "painel"
	plainService = "arquivo"
	testShards   = 8
	longLease    = time.Hour
)

// admitAll is an admitter that admits every request.
type admitAll struct{}

func (admitAll) Admit(context.Context, string, string) (func(), *result.Error) {
	return func() {}, nil
}

// testNode is the part of a node that handles requests: caller server, peer
// transport, gate and backend server.
type testNode struct {
	name          string
	views         *view.Source
	gate          *backend.Gate
	transport     *peer.Transport
	callerServer  *Server
	runs          atomic.Int64
	backendServer *httptest.Server
	announcement  backend.Announcement
}

// testFleet is a fleet of nodes and their common configuration.
type testFleet struct {
	nodes []*testNode
	cfg   *config.Config
}

func testConfig() *config.Config {
	terms := contract.Terms{Rate: 1e6, Burst: 1e6, MaxWaiting: 100, MaxTime: contract.Duration(30 * time.Second)}
	return &config.Config{
		Revision: 1,
		Services: map[string]config.Service{
			keyedService: {Name: keyedService, DividedByKey: true, Shards: testShards, ChecksFence: true},
			plainService: {Name: plainService},
		},
		Routes: map[string]config.Route{
			"p": {Name: "p", PathPrefix: "/p/", Service: keyedService, CustomerHeader: "Customer", KeySegment: 2},
			"a": {Name: "a", PathPrefix: "/a/", Service: plainService, CustomerHeader: "Customer"},
			"x": {Name: "x", PathPrefix: "/x/", Service: "absent", CustomerHeader: "Customer"},
		},
		Contracts: map[string]contract.Contract{"acme": {Customer: "acme", Total: terms}},
	}
}

// newTestFleet starts n nodes, each with a backend server that runs handler for
// service.
func newTestFleet(t testing.TB, n int, service string, handler func(node *testNode) http.HandlerFunc) *testFleet {
	t.Helper()
	f := &testFleet{cfg: testConfig()}
	for i := range n {
		f.nodes = append(f.nodes, newTestNode(t, fmt.Sprintf("n%d", i), service, handler))
	}
	f.publish(func(int, *view.View) {})
	return f
}

func newTestNode(t testing.TB, name, service string, handler func(node *testNode) http.HandlerFunc) *testNode {
	t.Helper()
	n := &testNode{name: name, views: &view.Source{}}
	n.views.SetLease(clock.Now().Add(longLease))
	log := hclog.NewNullLogger()
	n.gate = backend.NewGate(n.views, log)
	n.backendServer = httptest.NewServer(handler(n))
	t.Cleanup(n.backendServer.Close)
	n.announcement = backend.Announcement{
		Service: service, Address: n.backendServer.Listener.Addr().String(), Slots: 50, Connections: 50, Ready: true,
	}
	n.gate.SetBackend(&n.announcement)
	self := cluster.MemberRef{Name: name, Incarnation: 1}
	n.transport = peer.New(peer.Config{Fleet: "t", Self: self, Listen: "127.0.0.1:0"},
		func(cluster.MemberRef, *wire.Control) {}, n.gate.ServeStream)
	n.callerServer = New(Config{Listen: "127.0.0.1:0"}, n.views, n.transport, n.gate, admitAll{}, log)
	for _, listen := range []func() error{n.transport.Listen, n.callerServer.Listen} {
		if err := listen(); err != nil {
			t.Fatal(err)
		}
	}
	go n.transport.Serve(context.Background())
	go n.callerServer.Serve()
	t.Cleanup(func() {
		n.transport.Close()
		_ = n.callerServer.httpServer.Close()
	})
	return n
}

// publish gives every node a view in which node 0 owns and serves all shards,
// after edit has changed it.
func (f *testFleet) publish(edit func(i int, v *view.View)) {
	for i := range f.nodes {
		v := f.view(i)
		edit(i, v)
		f.nodes[i].views.Publish(v)
	}
}

func (f *testFleet) view(i int) *view.View {
	owner := cluster.MemberRef{Name: f.nodes[0].name, Incarnation: 1}
	v := &view.View{
		Self: cluster.MemberRef{Name: f.nodes[i].name, Incarnation: 1}, Config: f.cfg, Admitting: true,
		Members: map[string]*cluster.Member{}, Owned: map[cluster.Unit]view.Ownership{},
		Tables: map[string]*view.Table{keyedService: {Shards: make([]cluster.Assignment, testShards)}},
	}
	for _, n := range f.nodes {
		v.Members[n.name] = &cluster.Member{
			MemberRef: cluster.MemberRef{Name: n.name, Incarnation: 1}, State: cluster.StateActive,
			PeerAddr: n.transport.Addr(), CallerAddr: n.callerServer.Addr(),
			Backend: &cluster.BackendInfo{Service: n.announcement.Service, Slots: n.announcement.Slots, Ready: true},
		}
	}
	for s := range testShards {
		v.Tables[keyedService].Shards[s] = cluster.Assignment{Owner: owner, Epoch: 1}
		if i == 0 {
			v.Owned[cluster.Unit{Service: keyedService, Shard: s}] = view.Ownership{State: view.Serving, Epoch: 1}
		}
	}
	return v
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	code   result.Code
	kind   string
	body   string
	header http.Header
	// connClosed is true if the connection is closed after the response.
	connClosed bool
	err        error
}

var testClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

func (n *testNode) send(t testing.TB, method, path string, body io.Reader, headers ...string) callerResponse {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+n.callerServer.Addr()+path, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Customer", "acme")
	for i := 0; i < len(headers); i += 2 {
		if req.Header.Set(headers[i], headers[i+1]); headers[i+1] == "" {
			req.Header.Del(headers[i])
		}
	}
	resp, err := testClient.Do(req)
	if err != nil {
		return callerResponse{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	r := callerResponse{status: resp.StatusCode, body: string(b), header: resp.Header, connClosed: resp.Close, err: err, kind: resp.Header.Get(header.Result)}
	_, _ = fmt.Sscan(resp.Header.Get(header.Code), (*uint32)(&r.code))
	return r
}

// refusal decodes the JSON body of a refusal.
func (r callerResponse) refusal(t testing.TB) refusalBody {
	t.Helper()
	var b refusalBody
	if err := json.Unmarshal([]byte(r.body), &b); err != nil {
		t.Fatalf("%v in %q", err, r.body)
	}
	return b
}

// echoHandler responds with the request's method, path and body.
func echoHandler(n *testNode) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.runs.Add(1)
		b, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), b)
	}
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

func bodyOfSize(n int) io.Reader { return strings.NewReader(strings.Repeat("z", n)) }

// largeResponse responds with size bytes; size must be a multiple of the chunk
// size.
func largeResponse(size int) func(*testNode) http.HandlerFunc {
	return func(*testNode) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(size))
			chunk := make([]byte, 64<<10)
			for sent := 0; sent < size; sent += len(chunk) {
				if _, err := w.Write(chunk); err != nil {
					return
				}
			}
		}
	}
}

// download discards a response and returns its length and the largest increase
// of the heap above base, in bytes.
func (n *testNode) download(t *testing.T, path string, base uint64) (int, uint64) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+n.callerServer.Addr()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Customer", "acme")
	resp, err := testClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	const sampleIntervalBytes = 16 << 20
	buf := make([]byte, 64<<10)
	total, sampled := 0, 0
	var peak uint64
	for {
		k, err := resp.Body.Read(buf)
		total += k
		if total-sampled >= sampleIntervalBytes {
			sampled = total
			// Only live memory counts, not garbage that is not collected yet:
			// on a busy machine the garbage collector lags behind.
			runtime.GC()
			live := liveHeap()
			peak = max(peak, live-min(base, live))
		}
		if err == io.EOF {
			return total, peak
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// liveHeap returns the number of bytes that the last garbage collection found
// in use. The heap size read just after a collection would be larger, since
// other goroutines allocate until it is read, which takes long on a busy
// machine.
func liveHeap() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// contractWithMaxWaiting returns the test's contract with another limit of
// waiting requests.
func contractWithMaxWaiting(v *view.View, limit int) contract.Contract {
	c := v.Config.Contracts["acme"]
	c.Total.MaxWaiting = limit
	return c
}

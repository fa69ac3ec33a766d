package operator

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/timeline"
)

// fakeNode returns fixed answers and records the requests it receives.
type fakeNode struct {
	notReady string
	drained  bool
	evicted  []EvictRequest
	refusal  error
}

func (f *fakeNode) Status() Status {
	return Status{Name: "n1", Incarnation: 7, RevisionInForce: 3, Shards: map[string]int{"painel": 4}}
}

func (f *fakeNode) Ready() (bool, string) { return f.notReady == "", f.notReady }

func (f *fakeNode) Events() []timeline.Event {
	shard := cluster.ShardOf("k", 4)
	return []timeline.Event{
		{Text: "one", Kind: timeline.KindMove, Unit: &cluster.Unit{Service: "painel", Shard: shard}},
		{Text: "two", Kind: timeline.KindLimit, Customer: "c"},
	}
}

func (f *fakeNode) Drain(context.Context) error {
	f.drained = true
	return f.refusal
}

func (f *fakeNode) Evict(_ context.Context, member string, force bool) error {
	f.evicted = append(f.evicted, EvictRequest{Member: member, Force: force})
	return f.refusal
}

// startServer serves the endpoint of a node until the test ends.
func startServer(t *testing.T, node Deps) string {
	t.Helper()
	s, err := New(Config{Listen: "127.0.0.1:0"}, node, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s.Addr()
}

func TestEndpoint(t *testing.T) {
	tests := []struct {
		name     string
		node     *fakeNode
		method   string
		path     string
		body     string
		status   int
		contains string
	}{
		{"health of a node that is not ready", &fakeNode{notReady: "no lease"}, "GET", PathHealth, "", 200, `"ok":true`},
		{"ready", &fakeNode{}, "GET", PathReady, "", 200, `"ok":true`},
		{"not ready", &fakeNode{notReady: "no lease"}, "GET", PathReady, "", 503, "no lease"},
		{"metrics", &fakeNode{}, "GET", PathMetrics, "", 200, "process_"},
		{"metrics of the status", &fakeNode{}, "GET", PathMetrics, "", 200, "fulmarhinge_revision_in_force 3"},
		{"status", &fakeNode{}, "GET", PathStatus, "", 200, `"revision_in_force":3`},
		{"status without members", &fakeNode{}, "GET", PathStatus, "", 200, `"members":[]`},
		{"events of a key", &fakeNode{}, "GET", PathEvents + "?key=k", "", 200, `"text":"one"`},
		{"unknown filter", &fakeNode{}, "GET", PathEvents + "?kee=k", "", 400, "kee"},
		{"bad time", &fakeNode{}, "GET", PathEvents + "?after=now", "", 400, "expected a time"},
		{"bad shard", &fakeNode{}, "GET", PathEvents + "?shard=x", "", 400, "whole number"},
		{"drain", &fakeNode{}, "POST", PathDrain, "", 200, `"ok":true`},
		{"drain by GET", &fakeNode{}, "GET", PathDrain, "", 405, ""},
		{"drain refused", &fakeNode{refusal: errors.New("left already")}, "POST", PathDrain, "", 409, "left already"},
		{"evict without a member", &fakeNode{}, "POST", PathEvict, `{"force":true}`, 400, "member"},
		{"evict with an unknown field", &fakeNode{}, "POST", PathEvict, `{"member":"a","farce":true}`, 400, "expected"},
		{"evict, too long", &fakeNode{}, "POST", PathEvict, `{"member":"` + strings.Repeat("a", maxCommandBytes) + `"}`, 400, "expected"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := &Server{deps: tc.node, log: hclog.NewNullLogger()}
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, httptest.NewRequest(tc.method, tc.path, strings.NewReader(tc.body)))
			if w.Code != tc.status || !strings.Contains(w.Body.String(), tc.contains) {
				t.Errorf("got status %d, body %s", w.Code, w.Body)
			}
		})
	}
}

func TestClientReportsNodesThatDoNotAnswer(t *testing.T) {
	node := &fakeNode{}
	unresponsive := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer unresponsive.Close()
	members := []cluster.Member{
		{MemberRef: cluster.MemberRef{Name: "n1"}, OperatorAddr: startServer(t, node)},
		{MemberRef: cluster.MemberRef{Name: "n2"}, OperatorAddr: strings.TrimPrefix(unresponsive.URL, "http://")},
	}
	c := NewClient(200 * time.Millisecond)
	answers := c.StatusAll(context.Background(), members)
	if answers[0].Err != nil || answers[0].Value.Incarnation != 7 {
		t.Errorf("first answer: %+v", answers[0])
	}
	if !ErrUnreachable.Has(answers[1].Err) || answers[1].Member.Name != "n2" {
		t.Errorf("second answer: %+v", answers[1])
	}
	events := c.EventsAll(context.Background(), members[:1], timeline.Filter{})
	if len(events[0].Value.Events) != 2 || events[0].Value.Shards["painel"] != 4 {
		t.Errorf("events: %+v", events[0])
	}
}

func TestFilterQueryRoundTrip(t *testing.T) {
	shard := 7
	f := timeline.Filter{Service: "s", Key: "a b&c", Shard: &shard, VM: "v", Customer: "ä", After: time.Unix(5, 6).UTC()}
	got, err := filterFromQuery(queryFromFilter(f))
	if err != nil || !reflect.DeepEqual(got, f) {
		t.Errorf("got filter %+v, error %v", got, err)
	}
}

func TestClientEvictAndDrain(t *testing.T) {
	node := &fakeNode{}
	addr := startServer(t, node)
	c := NewClient(time.Second)
	request := EvictRequest{Member: "n9", Force: true}
	if err := c.Evict(context.Background(), addr, request); err != nil || node.evicted[0] != request {
		t.Errorf("evict: %v, %+v", err, node.evicted)
	}
	node.refusal = errors.New("already stopping")
	if err := c.Drain(context.Background(), addr); !ErrRefused.Has(err) || !strings.Contains(err.Error(), "already stopping") {
		t.Errorf("drain: %v", err)
	}
}

func TestMembersOmitsGoneMembers(t *testing.T) {
	store := platform.NewMemory()
	ctx := context.Background()
	for name, state := range map[string]cluster.MemberState{"b": cluster.StateActive, "a": cluster.StateDraining, "c": cluster.StateEvicted} {
		m := cluster.Member{MemberRef: cluster.MemberRef{Name: name, Incarnation: 1}, State: state}
		if _, err := store.Put(ctx, cluster.MemberKey(name), 0, cluster.Encode(m)); err != nil {
			t.Fatal(err)
		}
	}
	list, err := Members(ctx, store, false)
	if err != nil || len(list) != 2 || list[0].Name != "a" {
		t.Errorf("members %+v, %v", list, err)
	}
	if _, err := Member(ctx, store, "x"); !ErrNoMember.Has(err) {
		t.Errorf("unknown member: %v", err)
	}
}

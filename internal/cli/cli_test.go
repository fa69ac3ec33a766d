package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/operator"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/settings"
	"fulmarhinge/internal/timeline"
	"fulmarhinge/standin/platform/objectapi"
)

// fakeNode returns fixed answers; drain and evict write the new state to the
// store.
type fakeNode struct {
	store   platform.Store
	status  operator.Status
	events  []timeline.Event
	refusal error
}

func (f *fakeNode) Status() operator.Status  { return f.status }
func (f *fakeNode) Ready() (bool, string)    { return true, "" }
func (f *fakeNode) Events() []timeline.Event { return f.events }

func (f *fakeNode) Drain(ctx context.Context) error {
	return f.setState(ctx, f.status.Name, cluster.StateLeft)
}

func (f *fakeNode) Evict(ctx context.Context, member string, _ bool) error {
	return f.setState(ctx, member, cluster.StateEvicted)
}

// setState stores the state of the member, or returns the refusal if one is
// set.
func (f *fakeNode) setState(ctx context.Context, member string, state cluster.MemberState) error {
	if f.refusal != nil {
		return f.refusal
	}
	m, err := operator.Member(ctx, f.store, member)
	if err != nil {
		return err
	}
	o, err := f.store.Get(ctx, cluster.MemberKey(member))
	if err != nil {
		return err
	}
	m.State = state
	_, err = f.store.Put(ctx, o.Key, o.Version, cluster.Encode(m))
	return err
}

// fleet is a platform with three members: a and b answer, c does not.
type fleet struct {
	url  string
	a, b *fakeNode
	// addrA is the operator address of node a.
	addrA string
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	store := platform.NewMemory()
	server := httptest.NewServer(objectapi.New(store))
	t.Cleanup(server.Close)
	f := &fleet{url: server.URL, a: &fakeNode{store: store}, b: &fakeNode{store: store}}
	unit := &cluster.Unit{Service: "painel", Shard: 3}
	f.a.status = operator.Status{Name: "a", Incarnation: 1, RevisionInForce: 5, RevisionKnown: 5, Admitting: true, LeaseLeftMs: 900}
	f.a.events = []timeline.Event{{Stamp: timeline.Stamp{Wall: 2}, Text: "second", Kind: timeline.KindMove, Unit: unit}}
	f.b.status = operator.Status{Name: "b", Incarnation: 1, RevisionInForce: 4, Reason: "a body is missing"}
	f.b.events = []timeline.Event{{Stamp: timeline.Stamp{Wall: 1}, Text: "first", Kind: timeline.KindLimit, Customer: "shop"}}
	f.addrA = serveNode(t, f.a)
	addrs := map[string]string{"a": f.addrA, "b": serveNode(t, f.b), "c": "127.0.0.1:1"}
	for _, name := range []string{"a", "b", "c"} {
		m := cluster.Member{MemberRef: cluster.MemberRef{Name: name, Incarnation: 1}, State: cluster.StateActive, OperatorAddr: addrs[name]}
		if _, err := store.Put(t.Context(), cluster.MemberKey(name), 0, cluster.Encode(m)); err != nil {
			t.Fatal(err)
		}
		f.a.status.Members = append(f.a.status.Members, operator.MemberRow{MemberRef: m.MemberRef, OperatorAddr: m.OperatorAddr})
	}
	return f
}

// serveNode serves the operator endpoint of a node and returns its address.
func serveNode(t *testing.T, node operator.Deps) string {
	t.Helper()
	s, err := operator.New(operator.Config{Listen: "127.0.0.1:0"}, node, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Run(t.Context()) }()
	return s.Addr()
}

// execute runs a command line and returns its exit code, standard output and
// standard error.
func execute(args ...string) (result.ExitCode, string, string) {
	var out, errOut bytes.Buffer
	code := run(context.Background(), args, &out, &errOut)
	return code, out.String(), errOut.String()
}

func TestCommands(t *testing.T) {
	tests := []struct {
		name string
		args string
		// refusal is the error that both nodes return for drain and evict.
		refusal error
		code    result.ExitCode
		out     string
		errOut  string
	}{
		{"no such command", "stat", nil, result.ExitUsage, "", "unknown command"},
		{"no such flag", "status --colour", nil, result.ExitUsage, "", "--colour"},
		{"bad output", "status --output xml", nil, result.ExitUsage, "", "table or json"},
		{"missing argument", "drain", nil, result.ExitUsage, "", "accepts 1 arg"},
		{"neither platform nor node given", "status", nil, result.ExitUsage, "", "--platform"},
		{"platform unreachable", "status --platform http://127.0.0.1:1", nil, result.ExitUnreachable, "", "unavailable"},
		{"node unreachable", "status --node 127.0.0.1:1", nil, result.ExitUnreachable, "", "unreachable"},
		{"status", "status --platform URL", nil, result.ExitOK, "b lags: revision 4", ""},
		{"status without an accepted revision", "status --platform URL", nil, result.ExitOK, "revision 5 is the newest", ""},
		{"status lists unresponsive nodes", "status --platform URL", nil, result.ExitOK, "c (127.0.0.1:1) did not answer", ""},
		{"status without the platform", "status --node ADDR", nil, result.ExitOK, "c (127.0.0.1:1) did not answer", ""},
		{"status in JSON", "status --platform URL --output json", nil, result.ExitOK, `"not_answered": [`, ""},
		{"timeline", "timeline --platform URL", nil, result.ExitOK, "second", ""},
		{"timeline of a customer", "timeline --platform URL --customer shop", nil, result.ExitOK, "first", ""},
		{"timeline since", "timeline --platform URL --since 1h --output json", nil, result.ExitOK, `"events": []`, ""},
		{"timeline of a shard", "timeline --platform URL --shard 3", nil, result.ExitOK, "painel/3", ""},
		{"drain", "drain a --platform URL", nil, result.ExitOK, "a#1: left", ""},
		{"drain refused", "drain a --platform URL", errors.New("not now"), result.ExitFailure, "", "not now"},
		{"drain of an unresponsive node", "drain c --platform URL", nil, result.ExitUnreachable, "", "unreachable"},
		{"drain of an unknown node", "drain x --platform URL", nil, result.ExitFailure, "", "no such member"},
		{"evict", "evict c --platform URL", nil, result.ExitOK, "c#1: evicted", ""},
		{"evict by the next node", "evict a --force --platform URL", nil, result.ExitOK, "a#1: evicted", ""},
		{"evict refused", "evict c --platform URL", errors.New("lease holds"), result.ExitFailure, "", "lease holds"},
		{"version", "version --output json", nil, result.ExitOK, `"protocol": 1`, ""},
		{"no settings file", "node", nil, result.ExitUsage, "", "--settings"},
		{"settings file absent", "settings check /nonexistent", nil, result.ExitFailure, "", "no such file"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(t)
			f.a.refusal, f.b.refusal = tc.refusal, tc.refusal
			line := strings.NewReplacer("URL", f.url, "ADDR", f.addrA).Replace(tc.args)
			code, out, errOut := execute(strings.Fields(line)...)
			if code != tc.code || !strings.Contains(out, tc.out) || !strings.Contains(errOut, tc.errOut) {
				t.Errorf("exit code %d, want %d\n%s%s", code, tc.code, out, errOut)
			}
		})
	}
}

func TestTimelineMergesEventsAndListsUnresponsiveNodes(t *testing.T) {
	f := newFleet(t)
	_, out, _ := execute("timeline", "--platform", f.url, "--output", "json")
	var merged fleetTimeline
	if err := json.Unmarshal([]byte(out), &merged); err != nil {
		t.Fatal(err)
	}
	if len(merged.Events) != 2 || merged.Events[0].Text != "first" || len(merged.NotAnswered) != 1 {
		t.Errorf("got %+v", merged)
	}
}

func TestTimelineIncludesEventsOfOtherNodesAboutAnOwner(t *testing.T) {
	f := newFleet(t)
	owner := cluster.MemberRef{Name: "x", Incarnation: 1}
	f.a.events[0].Member = &owner
	f.b.events = append(f.b.events, timeline.Event{Stamp: timeline.Stamp{Wall: 3}, Text: "gone", Kind: timeline.KindEviction, Member: &owner})
	_, out, errOut := execute("timeline", "--platform", f.url, "--shard", "3")
	if !strings.Contains(out, "second") || !strings.Contains(out, "gone") || strings.Contains(out, "first") {
		t.Errorf("got %s%s", out, errOut)
	}
}

func TestStatusReportsNodesBehindAcceptedRevision(t *testing.T) {
	f := newFleet(t)
	head := cluster.Encode(config.Head{Accepted: config.Accepted{Revision: 6, ChangeID: "x"}})
	if _, err := f.a.store.Put(t.Context(), cluster.ConfigHeadKey, 0, head); err != nil {
		t.Fatal(err)
	}
	_, out, errOut := execute("status", "--platform", f.url)
	for _, want := range []string{"revision 6 is accepted", "a lags: revision 5", "b lags: revision 4"} {
		if !strings.Contains(out, want) {
			t.Errorf("output lacks %q:\n%s%s", want, out, errOut)
		}
	}
}

func TestDrainTimesOut(t *testing.T) {
	f := newFleet(t)
	// Node a accepts the drain but records that b has left, so a is never gone.
	f.a.status.Name = "b"
	code, _, errOut := execute("drain", "a", "--platform", f.url, "--wait", "300ms")
	if code != result.ExitTimeout || !strings.Contains(errOut, "is not gone") {
		t.Errorf("exit code %d: %s", code, errOut)
	}
}

// TestDrainByNode checks that drain with --node finds the member in the status of
// that node and does not ask the platform.
func TestDrainByNode(t *testing.T) {
	f := newFleet(t)
	code, out, errOut := execute("drain", "a", "--node", f.addrA, "--wait", "0s")
	if code != result.ExitOK || !strings.Contains(out, "draining") {
		t.Errorf("exit code %d: %s%s", code, out, errOut)
	}
	if code, _, errOut := execute("drain", "nobody", "--node", f.addrA); code == result.ExitOK || !strings.Contains(errOut, "nobody") {
		t.Errorf("exit code %d: %s", code, errOut)
	}
}

func writeSettings(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.json")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const validSettings = `{"fleet": "f", "name": "n", "zone": "z", "region": "r",
  "caller": {"listen": "127.0.0.1:7000"}, "peer": {"listen": "127.0.0.1:7001"},
  "operator": {"listen": "127.0.0.1:7002"}, "backend": {"listen": "127.0.0.1:7003"},
  "platform": {"urls": ["http://127.0.0.1:1"]}, "log": {"level": "error"}}`

func TestSettingsCheck(t *testing.T) {
	if code, out, _ := execute("settings", "check", writeSettings(t, validSettings)); code != result.ExitOK || !strings.Contains(out, "ok") {
		t.Errorf("good file: %d %s", code, out)
	}
	bad := writeSettings(t, strings.Replace(validSettings, `"zone": "z", `, "", 1))
	if code, out, _ := execute("settings", "check", bad); code != result.ExitBadSettings || !strings.Contains(out, "zone") {
		t.Errorf("bad file: %d %s", code, out)
	}
	if code, _, errOut := execute("node", "--settings", bad); code != result.ExitBadSettings || !strings.Contains(errOut, "zone: missing") {
		t.Errorf("node with a bad file: %d %s", code, errOut)
	}
}

func TestNodeStopsWhenContextIsCancelled(t *testing.T) {
	defer func(f func(context.Context, *settings.Settings, hclog.Logger) error) { runNode = f }(runNode)
	runNode = func(ctx context.Context, s *settings.Settings, _ hclog.Logger) error {
		<-ctx.Done()
		if s.Name != "n" {
			return errors.New("wrong settings")
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	var out bytes.Buffer
	if code := run(ctx, []string{"node", "--settings", writeSettings(t, validSettings)}, &out, &out); code != result.ExitOK {
		t.Errorf("exit code %d: %s", code, out.String())
	}
}

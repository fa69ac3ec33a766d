// Package configuration tests configuration changes under faults on a fleet of
// processes.
package configuration

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/contract"
	"fulmarhinge/internal/operator"
	"fulmarhinge/internal/platform"
	"fulmarhinge/test/fault/harness"
)

// Bounds and intervals of the tests.
const (
	// inForceBound is how long an accepted change may take until it is in force
	// on each serving node.
	inForceBound = 4 * time.Second
	// startTimeout bounds the start of a fleet and each change.
	startTimeout = 30 * time.Second
	// pollInterval is the time between two polls of the nodes.
	pollInterval = 20 * time.Millisecond
	// callTimeout bounds one status call to one node.
	callTimeout = time.Second
)

// nodeCount is the number of nodes in each test.
const nodeCount = 6

var binaries *harness.Binaries

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

// runTests builds the programs, runs the tests, and removes the programs.
func runTests(m *testing.M) int {
	b, err := harness.Build()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer b.Close()
	binaries = b
	return m.Run()
}

// fleet is a running fleet with an operator's clients.
type fleet struct {
	*harness.Fleet
	t            *testing.T
	editor       *config.Editor
	statusClient *operator.Client
}

// start starts a fleet and waits until all shards are served and each node holds
// a lease and has a configuration in force.
func start(t *testing.T) *fleet {
	t.Helper()
	h, err := harness.Start(harness.Options{
		Dir:       t.TempDir(),
		Binaries:  binaries,
		Zones:     []string{"zone-a", "zone-b", "zone-c"},
		Nodes:     nodeCount,
		Service:   config.Service{Name: "painel", DividedByKey: true, Shards: 32},
		Contracts: []contract.Contract{contractWithRate("first", 100)},
		Slots:     10,
		Work:      time.Millisecond,
	})
	t.Cleanup(h.Stop)

	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{Fleet: h, t: t, editor: config.NewEditor(h.Store()), statusClient: operator.NewClient(callTimeout)}
	f.await("the fleet is ready", startTimeout, func() bool {
		serving, joined := 0, 0
		for _, s := range f.statuses() {
			serving += s.Owned.Serving
			if s.RevisionInForce > 0 && s.LeaseLeftMs > 0 {
				joined++
			}
		}
		return serving == h.Options.Service.Shards && joined == nodeCount
	})
	return f
}

// contractWithRate returns a contract with the given rate.
func contractWithRate(customer string, rate float64) contract.Contract {
	total := contract.Terms{Rate: rate, Burst: 100, MaxWaiting: 100, MaxTime: contract.Duration(2 * time.Second)}
	return contract.Contract{Customer: customer, Total: total}
}

// statuses returns the status of the given nodes, or of all nodes, by name; nodes
// that do not answer are left out.
func (f *fleet) statuses(nodes ...*harness.Node) map[string]operator.Status {
	if len(nodes) == 0 {
		nodes = f.Nodes
	}
	var members []cluster.Member
	for _, n := range nodes {
		members = append(members, cluster.Member{MemberRef: cluster.MemberRef{Name: n.Name}, OperatorAddr: n.OperatorAddr})
	}
	out := map[string]operator.Status{}
	for _, a := range f.statusClient.StatusAll(context.Background(), members) {
		if a.Err == nil {
			out[a.Member.Name] = a.Value
		}
	}
	return out
}

// await polls until a condition holds and returns how long that took.
func (f *fleet) await(what string, timeout time.Duration, holds func() bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > timeout {
			f.t.Fatalf("%s: not reached within %s; %s", what, timeout, f.describeNodes())
		}
		time.Sleep(pollInterval)
	}
	return time.Since(began)
}

// awaitRevision waits until each of the nodes, or each node of the fleet, has the
// revision or a later one in force.
func (f *fleet) awaitRevision(revision uint64, nodes ...*harness.Node) time.Duration {
	f.t.Helper()
	want := len(nodes)
	if want == 0 {
		want = len(f.Nodes)
	}
	return f.await(fmt.Sprintf("revision %d in force", revision), inForceBound, func() bool {
		inForce := 0
		for _, s := range f.statuses(nodes...) {
			if s.RevisionInForce >= revision {
				inForce++
			}
		}
		return inForce == want
	})
}

// apply applies an edit and returns the new revision.
func (f *fleet) apply(edit config.Edit) uint64 {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	a, err := f.editor.Apply(ctx, config.AnyRevision, edit)
	if err != nil {
		f.t.Fatal(err)
	}
	return a.Revision
}

// describeNodes describes the configuration state of each node.
func (f *fleet) describeNodes() string {
	text := ""
	for _, n := range f.Nodes {
		s, ok := f.statuses(n)[n.Name]
		if !ok {
			text += n.Name + " does not answer; "
			continue
		}
		text += fmt.Sprintf("%s has revision %d in force, knows %d, admits requests %t %s; ",
			n.Name, s.RevisionInForce, s.RevisionKnown, s.Admitting, s.Reason)
	}
	return text
}

// must ends the test on an error of the harness.
func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// switchPlatform replaces the platform's fault switches.
func (f *fleet) switchPlatform(s platform.Switches) {
	f.t.Helper()
	f.must(f.SwitchPlatform(s))
}

package control

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/contract"
	"fulmarhinge/internal/platform"
)

// changeContract changes a contract on the simulated platform and returns the
// new revision.
func (f *fleet) changeContract(t *testing.T, rate float64) uint64 {
	t.Helper()
	editor := config.NewEditor(&fleetStore{f: f})
	done, err := editor.Apply(context.Background(), config.AnyRevision, func(c *config.Config) error {
		ct := c.Contracts["c"]
		ct.Total = contract.Terms{Rate: rate, Burst: 10, MaxWaiting: 10, MaxTime: contract.Duration(maxRunTime)}
		c.Contracts["c"] = ct
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return done.Revision
}

// fleetStore lets an editor work on the simulated platform. The editor calls
// it from several goroutines.
type fleetStore struct {
	platform.Store
	mu sync.Mutex
	f  *fleet
}

// Get implements platform.Store.
func (s *fleetStore) Get(_ context.Context, key string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.f.store[key]
	if !ok {
		return o, platform.ErrNotFound.New("%s", key)
	}
	return o, nil
}

// Put implements platform.Store.
func (s *fleetStore) Put(_ context.Context, key string, expected uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.f.put(Write{Key: key, ExpectedVersion: expected, Value: value})
	if !ok {
		return 0, platform.ErrConflict.New("%s", key)
	}
	return v, nil
}

// nodesInForce returns the number of nodes that have the revision in force.
func (f *fleet) nodesInForce(revision uint64) int {
	n := 0
	for _, s := range f.nodes {
		if s.view != nil && s.view.Config != nil && s.view.Config.Revision >= revision {
			n++
		}
	}
	return n
}

func TestChangeIsInForceOnAllNodes(t *testing.T) {
	cases := map[string]func(f *fleet){
		"nothing fails":                func(*fleet) {},
		"a node that does not watch":   func(f *fleet) { f.nodes[2].m.watching = false },
		"a one-way cut to one witness": func(f *fleet) { f.cutLinks[[2]string{"n1", "n2"}] = true },
		"duplicate and late messages":  func(f *fleet) { f.duplicateMessages = true },
		"a slow platform":              func(f *fleet) { f.storeDelay = 300 * time.Millisecond },
	}
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			f := settledFleet(t, 7, true)
			inject(f)
			r := f.changeContract(t, 50)
			f.advance(applyTimeout)
			if got := f.nodesInForce(r); got != len(f.nodes) {
				t.Fatalf("in force on %d of %d nodes after %s", got, len(f.nodes), applyTimeout)
			}
		})
	}
}

func TestRevisionNeverDecreases(t *testing.T) {
	f := settledFleet(t, 7, true)
	f.duplicateMessages = true
	var lastRevision uint64
	highest := map[string]uint64{}
	for i := range 50 {
		lastRevision = f.changeContract(t, float64(10+i))
		f.advance(1200 * time.Millisecond)
		for _, s := range f.nodes {
			current := s.view.Config.Revision
			if current < highest[s.name] {
				t.Fatalf("%s went from revision %d back to %d", s.name, highest[s.name], current)
			}
			highest[s.name] = current
		}
	}
	f.advance(applyTimeout)
	if got := f.nodesInForce(lastRevision); got != len(f.nodes) {
		t.Fatalf("revision %d is in force on %d nodes", lastRevision, got)
	}
}

// A node that learns of a revision from its peers but can get neither head nor
// parts must stop admitting requests and give the reason.
func TestNodeWithStaleConfigurationStopsAdmitting(t *testing.T) {
	f := settledFleet(t, 7, true)
	s := f.nodes[2]
	f.hideConfiguration(s)
	r := f.changeContract(t, 50)
	f.advance(applyTimeout + 2*time.Second)
	if s.view.Config.Revision >= r {
		t.Fatal("the node applied the revision although its objects were hidden")
	}
	if s.view.Admitting || s.view.Reason == "" {
		t.Fatal("the node still admits requests or gives no reason")
	}
	if s.lease <= f.local(s) {
		t.Fatal("the node lost its lease; the test needs a node that holds one")
	}
}

// hideConfiguration hides all configuration objects from a node.
func (f *fleet) hideConfiguration(s *simNode) {
	s.hidesKey = func(key string) bool {
		return strings.HasPrefix(key, cluster.ConfigPrefix)
	}
}

// Delete implements platform.Store.
func (s *fleetStore) Delete(_ context.Context, key string, _ uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.f.store, key)
	return nil
}

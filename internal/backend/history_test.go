package backend

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/view"
	"fulmarhinge/internal/wire"
)

// uuidAt returns a parsed idempotency key that was made at a time.
func uuidAt(at time.Time) uuid.UUID { return uuid.MustParse(keyAt(at, 1)) }

func TestPriorUse(t *testing.T) {
	const bound = 500 * time.Millisecond
	now := time.Now().Truncate(time.Millisecond)
	id := func(age time.Duration) idempotencyID {
		return idempotencyID{customer: "c", key: uuidAt(now.Add(-age))}
	}
	retried := id(2 * time.Second)
	seenHistory := &wire.History{FloorMs: now.Add(-5 * time.Second).UnixMilli(), Seen: []uint64{retried.hash()}}
	emptyHistory := &wire.History{FloorMs: now.Add(-5 * time.Second).UnixMilli()}
	shortHistory := &wire.History{FloorMs: now.Add(-2200 * time.Millisecond).UnixMilli()}

	cases := []struct {
		name    string
		id      idempotencyID
		since   time.Duration
		history *wire.History
		want    bool
	}{
		{"made after the ownership began", retried, 3 * time.Second, nil, false},
		{"made within the clock bound of its beginning", retried, 2200 * time.Millisecond, nil, true},
		{"made before, and nothing was passed on", retried, time.Second, nil, true},
		{"made before, and the earlier owner let it through", retried, time.Second, seenHistory, true},
		{"made before, and the earlier owner did not", retried, time.Second, emptyHistory, false},
		{"made within the bound of the earlier owner's floor", retried, time.Second, shortHistory, true},
		{"older than what an earlier owner names", id(6 * time.Second), time.Second, emptyHistory, true},
		{"older than the table remembers", id(11 * time.Minute), time.Hour, emptyHistory, true},
		{"made ahead of what this owner takes for new", id(-time.Second), time.Hour, nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := priorUse{expiredBefore: now.Add(-10 * time.Minute), servingSince: now.Add(-c.since), maxKeyTime: now.Add(bound), maxSkew: bound, history: c.history}
			if got := p.mayHaveExecuted(c.id); got != c.want {
				t.Fatalf("may have run: %t, want %t", got, c.want)
			}
		})
	}
}

func TestSeenSinceReturnsRecentKeysOfShard(t *testing.T) {
	table := newIdempotencyTable(IdempotencyLimits{})
	shard := cluster.Unit{Service: "s", Shard: 3}
	now := time.Now()
	use := func(u cluster.Unit, at time.Time) idempotencyID {
		id := idempotencyID{unit: u, customer: "c", key: uuidAt(at)}
		if _, first, refusal := table.begin(id, 1, at, priorUse{servingSince: at.Add(-time.Hour), maxKeyTime: at}); refusal != nil || !first {
			t.Fatalf("key not taken: %v", refusal)
		}
		return id
	}
	use(shard, now.Add(-time.Minute))
	recent := use(shard, now.Add(-time.Second))
	use(cluster.Unit{Service: "s", Shard: 4}, now)
	got := table.seenSince(shard, now.Add(-historySpan))
	if len(got) != 1 || got[0] != recent.hash() {
		t.Fatalf("got %d keys, want the one recent key of the shard", len(got))
	}
}

// A unit that moves twice within seconds takes along what its first owner knew.
func TestHistoryIncludesInheritedKeys(t *testing.T) {
	now := time.Now()
	// The floor is rounded up to a whole millisecond.
	const roundUp = 2 * time.Millisecond
	long := make([]uint64, maxInheritedKeys+1)
	cases := []struct {
		name      string
		told      *wire.History
		continues bool
		// floorBack is how far the floor lies back at the least, and at most.
		least, most time.Duration
		seen        int
	}{
		{"nothing was passed on", nil, false, -roundUp, time.Second, 0},
		{"a recent floor", &wire.History{FloorMs: now.Add(-3 * time.Second).UnixMilli(), Seen: []uint64{5, 9}}, false, 2 * time.Second, 4 * time.Second, 2},
		{"an old floor", &wire.History{FloorMs: now.Add(-time.Hour).UnixMilli(), Seen: []uint64{5}}, false, 4 * time.Second, historySpan + time.Second, 1},
		{"a first owner", &wire.History{}, false, 4 * time.Second, historySpan + time.Second, 0},
		{"too many keys", &wire.History{Seen: long}, false, -roundUp, time.Second, 0},
		{"an ownership that continues another", &wire.History{Seen: []uint64{5}}, true, -roundUp, time.Second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGateTest(t, func(http.ResponseWriter, *http.Request) {})
			v := *g.src.Current()
			v.Owned = map[cluster.Unit]view.Owned{testUnit: {State: view.Serving, Epoch: 8, History: c.told, Continues: c.continues}}
			g.src.Publish(&view.View{Owned: map[cluster.Unit]view.Owned{}})
			g.src.Publish(&v)
			h := g.History(testUnit, 8)
			if back := time.Since(time.UnixMilli(h.GetFloorMs())); back < c.least || back > c.most {
				t.Errorf("the floor lies %v back", back)
			}
			if len(h.GetSeen()) != c.seen {
				t.Errorf("%d keys are named, want %d", len(h.GetSeen()), c.seen)
			}
		})
	}
}

// A key that was forgotten can't be named to the next owner, so the floor lies
// above it.
func TestHistoryFloorIsAboveExpiredKeys(t *testing.T) {
	g := newGateTest(t, func(http.ResponseWriter, *http.Request) {})
	const age = 200 * time.Millisecond
	g.SetIdempotency(IdempotencyLimits{Age: age, ClockBound: time.Nanosecond})
	time.Sleep(3 * age)
	floor := time.UnixMilli(g.History(testUnit, 7).GetFloorMs())
	if oldest := time.Now().Add(-2 * age); floor.Before(oldest) {
		t.Fatalf("the floor lies %v back, keys are remembered for %v", time.Since(floor), age)
	}
}

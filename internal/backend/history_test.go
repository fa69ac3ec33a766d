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

func TestKeyPast(t *testing.T) {
	const bound = 500 * time.Millisecond
	now := time.Now().Truncate(time.Millisecond)
	id := func(age time.Duration) idempotencyID {
		return idempotencyID{customer: "c", key: uuidAt(now.Add(-age))}
	}
	asked := id(2 * time.Second)
	saw := &wire.History{FloorMs: now.Add(-5 * time.Second).UnixMilli(), Seen: []uint64{asked.hash()}}
	sawNot := &wire.History{FloorMs: now.Add(-5 * time.Second).UnixMilli()}
	brief := &wire.History{FloorMs: now.Add(-2200 * time.Millisecond).UnixMilli()}

	cases := []struct {
		name    string
		id      idempotencyID
		since   time.Duration
		history *wire.History
		want    bool
	}{
		{"made after the ownership began", asked, 3 * time.Second, nil, false},
		{"made within the clock bound of its beginning", asked, 2200 * time.Millisecond, nil, true},
		{"made before, and nothing was passed on", asked, time.Second, nil, true},
		{"made before, and the earlier owner let it through", asked, time.Second, saw, true},
		{"made before, and the earlier owner did not", asked, time.Second, sawNot, false},
		{"made within the bound of the earlier owner's floor", asked, time.Second, brief, true},
		{"older than what an earlier owner names", id(6 * time.Second), time.Second, sawNot, true},
		{"older than the table remembers", id(11 * time.Minute), time.Hour, sawNot, true},
		{"made ahead of what this owner takes for new", id(-time.Second), time.Hour, nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := keyPast{forgotten: now.Add(-10 * time.Minute), since: now.Add(-c.since), ahead: now.Add(bound), skew: bound, history: c.history}
			if got := p.mayHaveRun(c.id); got != c.want {
				t.Fatalf("may have run: %t, want %t", got, c.want)
			}
		})
	}
}

func TestSeenSinceNamesTheShardsKeys(t *testing.T) {
	table := newIdempotencyTable(IdempotencyLimits{})
	shard := cluster.Unit{Service: "s", Shard: 3}
	now := time.Now()
	use := func(u cluster.Unit, at time.Time) idempotencyID {
		id := idempotencyID{unit: u, customer: "c", key: uuidAt(at)}
		if _, first, refusal := table.begin(id, 1, at, keyPast{since: at.Add(-time.Hour), ahead: at}); refusal != nil || !first {
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
func TestHistoryPassesOnWhatWasPassedOn(t *testing.T) {
	now := time.Now()
	// The floor is rounded up to a whole millisecond.
	const roundUp = 2 * time.Millisecond
	long := make([]uint64, maxPassedOn+1)
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
func TestHistoryCoversOnlyWhatIsRemembered(t *testing.T) {
	g := newGateTest(t, func(http.ResponseWriter, *http.Request) {})
	const age = 200 * time.Millisecond
	g.SetIdempotency(IdempotencyLimits{Age: age, ClockBound: time.Nanosecond})
	time.Sleep(3 * age)
	floor := time.UnixMilli(g.History(testUnit, 7).GetFloorMs())
	if oldest := time.Now().Add(-2 * age); floor.Before(oldest) {
		t.Fatalf("the floor lies %v back, keys are remembered for %v", time.Since(floor), age)
	}
}

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

// uuidAt returns a parsed idempotency key with the given timestamp.
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
		{"created after the ownership began", retried, 3 * time.Second, nil, false},
		{"created within the clock bound of the start of the ownership", retried, 2200 * time.Millisecond, nil, true},
		{"created before the ownership, no history received", retried, time.Second, nil, true},
		{"created before the ownership, listed in the history", retried, time.Second, seenHistory, true},
		{"created before the ownership, not listed in the history", retried, time.Second, emptyHistory, false},
		{"created within the clock bound of the history's floor", retried, time.Second, shortHistory, true},
		{"older than the history's floor", id(6 * time.Second), time.Second, emptyHistory, true},
		{"older than the table remembers", id(11 * time.Minute), time.Hour, emptyHistory, true},
		{"timestamp later than this owner accepts", id(-time.Second), time.Hour, nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := priorUse{
				expiredBefore: now.Add(-10 * time.Minute), servingSince: now.Add(-c.since),
				maxKeyTime: now.Add(bound), maxSkew: bound, history: c.history,
			}
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
	admit := func(u cluster.Unit, at time.Time) idempotencyID {
		id := idempotencyID{unit: u, customer: "c", key: uuidAt(at)}
		if _, isNew, refusal := table.begin(id, 1, at, priorUse{
			servingSince: at.Add(-time.Hour), maxKeyTime: at,
		}); refusal != nil || !isNew {
			t.Fatalf("key was not new: %v", refusal)
		}
		return id
	}
	admit(shard, now.Add(-time.Minute))
	recent := admit(shard, now.Add(-time.Second))
	admit(cluster.Unit{Service: "s", Shard: 4}, now)
	got := table.seenSince(shard, now.Add(-historySpan))
	if len(got) != 1 || got[0] != recent.hash() {
		t.Fatalf("got %d keys, want the one recent key of the shard", len(got))
	}
}

// When a unit moves twice within seconds, the history for the third owner
// includes the keys of the first one.
func TestHistoryIncludesInheritedKeys(t *testing.T) {
	now := time.Now()
	// The floor is rounded up to a whole millisecond.
	const rounding = 2 * time.Millisecond
	tooMany := make([]uint64, maxInheritedKeys+1)
	cases := []struct {
		name         string
		inherited    *wire.History
		servedBefore bool
		// least and most limit the age of the history's floor.
		least, most time.Duration
		seen        int
	}{
		{"no history received", nil, false, -rounding, time.Second, 0},
		{"a recent floor", &wire.History{FloorMs: now.Add(-3 * time.Second).UnixMilli(), Seen: []uint64{5, 9}}, false, 2 * time.Second, 4 * time.Second, 2},
		{"an old floor", &wire.History{FloorMs: now.Add(-time.Hour).UnixMilli(), Seen: []uint64{5}}, false, 4 * time.Second, historySpan + time.Second, 1},
		{"empty history of a first owner", &wire.History{}, false, 4 * time.Second, historySpan + time.Second, 0},
		{"too many inherited keys", &wire.History{Seen: tooMany}, false, -rounding, time.Second, 0},
		{"an ownership that continues another", &wire.History{Seen: []uint64{5}}, true, -rounding, time.Second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGateTest(t, func(http.ResponseWriter, *http.Request) {})
			v := *g.src.Current()
			v.Owned = map[cluster.Unit]view.Ownership{
				testUnit: {State: view.Serving, Epoch: 8, History: c.inherited, ServedBefore: c.servedBefore},
			}
			g.src.Publish(&view.View{Owned: map[cluster.Unit]view.Ownership{}})
			g.src.Publish(&v)
			h := g.History(testUnit, 8)
			if age := time.Since(time.UnixMilli(h.GetFloorMs())); age < c.least || age > c.most {
				t.Errorf("the floor is %v old", age)
			}
			if len(h.GetSeen()) != c.seen {
				t.Errorf("%d keys are listed, want %d", len(h.GetSeen()), c.seen)
			}
		})
	}
}

// A key whose record has expired cannot be listed in the history, so the floor
// must be later than its timestamp.
func TestHistoryFloorIsAboveExpiredKeys(t *testing.T) {
	g := newGateTest(t, func(http.ResponseWriter, *http.Request) {})
	const age = 200 * time.Millisecond
	g.SetIdempotency(IdempotencyLimits{MaxAge: age, MaxClockSkew: time.Nanosecond})
	time.Sleep(3 * age)
	floor := time.UnixMilli(g.History(testUnit, 7).GetFloorMs())
	if oldest := time.Now().Add(-2 * age); floor.Before(oldest) {
		t.Fatalf("the floor is %v old, but keys are remembered for %v", time.Since(floor), age)
	}
}

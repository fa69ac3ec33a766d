package timeline

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarhinge/internal/cluster"
)

const seed = 20261204

// manualWall is a wall clock that a test sets.
type manualWall struct{ now time.Time }

func (m *manualWall) read() time.Time { return m.now }

func TestClockGrowsThoughWallGoesBack(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(seed)
	props := gopter.NewProperties(params)
	props.Property("each reading comes after the last and after what was observed", prop.ForAll(
		func(steps []int64) bool {
			wall := &manualWall{now: time.Unix(1000, 0)}
			c := NewClock(wall.read)
			last := c.Now()
			for i, step := range steps {
				wall.now = wall.now.Add(time.Duration(step))
				if i%3 == 0 {
					remote := Stamp{Wall: wall.now.UnixNano() + step, Logical: uint32(i)}
					if c.Observe(remote) && last.Less(remote) {
						last = remote
					}
				}
				next := c.Now()
				if !last.Less(next) {
					return false
				}
				last = next
			}
			return true
		}, gen.SliceOf(gen.Int64Range(-int64(time.Hour), int64(time.Hour)))))
	props.TestingRun(t)
}

func TestClockRefusesFarFuture(t *testing.T) {
	wall := &manualWall{now: time.Unix(1000, 0)}
	c := NewClock(wall.read)
	if c.Observe(Stamp{Wall: wall.now.Add(time.Hour).UnixNano()}) {
		t.Error("a stamp one hour ahead was taken")
	}
	if got := c.Now().Wall; got != wall.now.UnixNano() {
		t.Errorf("reading moved to %d", got)
	}
}

func newRing(name string, capacity int) (*Ring, *manualWall) {
	wall := &manualWall{now: time.Unix(1000, 0)}
	return NewRing(cluster.MemberRef{Name: name, Incarnation: 1}, capacity, NewClock(wall.read)), wall
}

func TestRingKeepsTheNewest(t *testing.T) {
	r, _ := newRing("a", 3)
	var third Event
	for i, text := range []string{"1", "2", "3", "4", "5"} {
		e := r.Add(Event{Text: text})
		if i == 2 {
			third = e
		}
	}
	if got := texts(r.All()); got != "3 4 5" {
		t.Errorf("kept %q", got)
	}
	if got := texts(r.Since(third.Stamp)); got != "4 5" {
		t.Errorf("since the third: %q", got)
	}
	if r.Dropped() != 2 {
		t.Errorf("dropped = %d", r.Dropped())
	}
}

func TestRingNamesTheIncarnation(t *testing.T) {
	r, _ := newRing("a", 3)
	r.Add(Event{Text: "before"})
	r.SetNode(cluster.MemberRef{Name: "a", Incarnation: 2})
	r.Add(Event{Text: "after"})
	if all := r.All(); all[0].Node.Incarnation != 1 || all[1].Node.Incarnation != 2 {
		t.Errorf("events of %s and %s", all[0].Node, all[1].Node)
	}
}

func TestRingBoundsTexts(t *testing.T) {
	r, _ := newRing("a", 1)
	long := strings.Repeat("x", 10*maxTextBytes)
	unit := &cluster.Unit{Key: long}
	e := r.Add(Event{Text: long, Customer: long, Unit: unit})
	if len(e.Text) > maxTextBytes || len(e.Customer) > maxTextBytes || len(e.Unit.Key) > maxTextBytes {
		t.Error("a text was kept whole")
	}
	if unit.Key != long {
		t.Error("the caller's unit was changed")
	}
}

func TestMergeOrdersAndRemovesRepeats(t *testing.T) {
	a, wallA := newRing("a", 9)
	b, wallB := newRing("b", 9)
	a.Add(Event{Text: "1"})
	wallB.now = wallB.now.Add(time.Second)
	b.Add(Event{Text: "2"})
	wallA.now = wallA.now.Add(2 * time.Second)
	a.Add(Event{Text: "3"})
	b.Add(Event{Text: "2b"})
	got := Merge([][]Event{a.All(), b.All(), a.All()})
	if texts(got) != "1 2 2b 3" {
		t.Errorf("merged %q", texts(got))
	}
}

func TestFilter(t *testing.T) {
	const shards = 8
	key := "shop-1"
	unit := cluster.Unit{Service: "painel", Shard: cluster.ShardOf(key, shards)}
	other := cluster.Unit{Service: "painel", Shard: (unit.Shard + 1) % shards}
	owner := cluster.MemberRef{Name: "a", Incarnation: 1}
	stranger := cluster.MemberRef{Name: "b", Incarnation: 1}
	successor := cluster.MemberRef{Name: "c", Incarnation: 1}
	events := []Event{
		{Text: "mine", Kind: KindPlacement, Unit: &unit, Member: &owner, Node: stranger},
		{Text: "served", Kind: KindPlacement, Unit: &unit, Node: successor},
		{Text: "pin", Kind: KindMove, Unit: &cluster.Unit{Service: "painel", Shard: unit.Shard, Key: key}},
		{Text: "other", Kind: KindPlacement, Unit: &other, Member: &stranger},
		{Text: "owner-evicted", Kind: KindEviction, Member: &owner, Node: stranger},
		{Text: "stranger-evicted", Kind: KindEviction, Member: &stranger},
		{Text: "successor-lease", Kind: KindLease, Node: successor},
		{Text: "limit", Kind: KindLimit, Customer: "c1", Node: owner, Stamp: Stamp{Wall: 2e9}},
	}
	tests := []struct {
		name   string
		filter Filter
		want   string
	}{
		{"none", Filter{}, "mine served pin other owner-evicted stranger-evicted successor-lease limit"},
		{"key", Filter{Key: key, ShardCounts: map[string]int{"painel": shards}}, "mine served pin owner-evicted successor-lease"},
		{"key without counts", Filter{Key: key}, "pin"},
		{"shard", Filter{Service: "painel", Shard: &other.Shard}, "other stranger-evicted"},
		{"VM as recorder or subject", Filter{VM: "a"}, "mine owner-evicted limit"},
		{"after", Filter{After: time.Unix(1, 0)}, "limit"},
		{"customer", Filter{Customer: "c1"}, "limit"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if got := texts(tc.filter.Select(events)); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

func texts(events []Event) string {
	var list []string
	for e := range slices.Values(events) {
		list = append(list, e.Text)
	}
	return strings.Join(list, " ")
}

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

// manualClock is a wall clock that is set by a test.
type manualClock struct{ now time.Time }

func (m *manualClock) Now() time.Time { return m.now }

func TestClockIsMonotonicWhenWallClockGoesBack(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(seed)
	props := gopter.NewProperties(params)
	props.Property("each stamp is after the previous one and after all observed ones", prop.ForAll(
		func(steps []int64) bool {
			wall := &manualClock{now: time.Unix(1000, 0)}
			c := NewClock(wall.Now)
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

func TestClockRejectsStampFarAhead(t *testing.T) {
	wall := &manualClock{now: time.Unix(1000, 0)}
	c := NewClock(wall.Now)
	if c.Observe(Stamp{Wall: wall.now.Add(time.Hour).UnixNano()}) {
		t.Error("a stamp one hour ahead was accepted")
	}
	if got := c.Now().Wall; got != wall.now.UnixNano() {
		t.Errorf("the clock moved to %d", got)
	}
}

func newRing(name string, capacity int) (*Ring, *manualClock) {
	wall := &manualClock{now: time.Unix(1000, 0)}
	return NewRing(cluster.MemberRef{Name: name, Incarnation: 1}, capacity, NewClock(wall.Now)), wall
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
	if got := joinTexts(r.All()); got != "3 4 5" {
		t.Errorf("kept %q", got)
	}
	if got := joinTexts(r.Since(third.Stamp)); got != "4 5" {
		t.Errorf("since the third: %q", got)
	}
	if r.Overwritten() != 2 {
		t.Errorf("overwritten = %d", r.Overwritten())
	}
}

func TestRingRecordsIncarnation(t *testing.T) {
	r, _ := newRing("a", 3)
	r.Add(Event{Text: "before"})
	r.SetNode(cluster.MemberRef{Name: "a", Incarnation: 2})
	r.Add(Event{Text: "after"})
	if all := r.All(); all[0].Node.Incarnation != 1 || all[1].Node.Incarnation != 2 {
		t.Errorf("events of %s and %s", all[0].Node, all[1].Node)
	}
}

func TestRingTruncatesLongTexts(t *testing.T) {
	r, _ := newRing("a", 1)
	long := strings.Repeat("x", 10*maxTextBytes)
	unit := &cluster.Unit{Key: long}
	e := r.Add(Event{Text: long, Customer: long, Unit: unit})
	if len(e.Text) > maxTextBytes || len(e.Customer) > maxTextBytes || len(e.Unit.Key) > maxTextBytes {
		t.Error("a text was not truncated")
	}
	if unit.Key != long {
		t.Error("the caller's unit was changed")
	}
}

func TestMergeOrdersAndRemovesDuplicates(t *testing.T) {
	a, wallA := newRing("a", 9)
	b, wallB := newRing("b", 9)
	a.Add(Event{Text: "1"})
	wallB.now = wallB.now.Add(time.Second)
	b.Add(Event{Text: "2"})
	wallA.now = wallA.now.Add(2 * time.Second)
	a.Add(Event{Text: "3"})
	b.Add(Event{Text: "2b"})
	got := Merge([][]Event{a.All(), b.All(), a.All()})
	if joinTexts(got) != "1 2 2b 3" {
		t.Errorf("merged %q", joinTexts(got))
	}
}

func TestFilter(t *testing.T) {
	const shards = 8
	key := "shop-1"
	unit := cluster.Unit{Service: "painel", Shard: cluster.ShardOf(key, shards)}
	otherUnit := cluster.Unit{Service: "painel", Shard: (unit.Shard + 1) % shards}
	owner := cluster.MemberRef{Name: "a", Incarnation: 1}
	nonOwner := cluster.MemberRef{Name: "b", Incarnation: 1}
	successor := cluster.MemberRef{Name: "c", Incarnation: 1}
	events := []Event{
		{Text: "placed", Kind: KindPlacement, Unit: &unit, Member: &owner, Node: nonOwner},
		{Text: "served", Kind: KindPlacement, Unit: &unit, Node: successor},
		{Text: "pin", Kind: KindMove, Unit: &cluster.Unit{Service: "painel", Shard: unit.Shard, Key: key}},
		{Text: "other-unit", Kind: KindPlacement, Unit: &otherUnit, Member: &nonOwner},
		{Text: "owner-evicted", Kind: KindEviction, Member: &owner, Node: nonOwner},
		{Text: "other-evicted", Kind: KindEviction, Member: &nonOwner},
		{Text: "successor-lease", Kind: KindLease, Node: successor},
		{Text: "limit", Kind: KindLimit, Customer: "c1", Node: owner, Stamp: Stamp{Wall: 2e9}},
	}
	tests := []struct {
		name   string
		filter Filter
		want   string
	}{
		{"none", Filter{}, "placed served pin other-unit owner-evicted other-evicted successor-lease limit"},
		{"key", Filter{Key: key, ShardCounts: map[string]int{"painel": shards}}, "placed served pin owner-evicted successor-lease"},
		{"key without counts", Filter{Key: key}, "pin"},
		{"shard", Filter{Service: "painel", Shard: &otherUnit.Shard}, "other-unit other-evicted"},
		{"VM that recorded the event or is its subject", Filter{VM: "a"}, "placed owner-evicted limit"},
		{"after", Filter{After: time.Unix(1, 0)}, "limit"},
		{"customer", Filter{Customer: "c1"}, "limit"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			if got := joinTexts(tc.filter.Select(events)); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

func joinTexts(events []Event) string {
	var list []string
	for e := range slices.Values(events) {
		list = append(list, e.Text)
	}
	return strings.Join(list, " ")
}

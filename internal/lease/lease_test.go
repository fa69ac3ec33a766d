package lease

import (
	"testing"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
)

const ms = time.Millisecond

var params = Params{Promise: 1500 * ms, Renew: 500 * ms, DriftPercent: 1}

func ref(name string) cluster.MemberRef { return cluster.MemberRef{Name: name, Incarnation: 1} }

func set(names ...string) []cluster.Witness {
	var out []cluster.Witness
	for _, n := range names {
		out = append(out, cluster.Witness{MemberRef: ref(n)})
	}
	return out
}

func at(d time.Duration) clock.Mono { return clock.Mono(time.Hour + d) }

// step is one line of a protocol run: rounds begin and answers arrive.
type step struct {
	begin  bool
	from   string
	answer Answer
	when   time.Duration
	// until is when the lease ends after the step; 0 for none.
	until time.Duration
}

// held is how much of a promise a holder counts on.
var held = params.Held()

var holderCases = map[string]struct {
	sets  [][]cluster.Witness
	steps []step
}{
	"a majority of three": {
		sets: [][]cluster.Witness{set("a", "b", "c")},
		steps: []step{
			{begin: true, when: 0},
			{from: "a", answer: Answer{Seq: 1, Extended: true}, when: 100 * ms},
			{from: "b", answer: Answer{Seq: 1, Extended: true}, when: 400 * ms, until: held},
		},
	},
	"counted from the sending, not from the answer": {
		sets: [][]cluster.Witness{set("a")},
		steps: []step{
			{begin: true, when: 0},
			{begin: true, when: 500 * ms},
			{from: "a", answer: Answer{Seq: 1, Extended: true}, when: 900 * ms, until: held},
			{from: "a", answer: Answer{Seq: 2, Extended: true}, when: 950 * ms, until: 500*ms + held},
		},
	},
	"both sets while a change is pending": {
		sets: [][]cluster.Witness{set("a"), set("b")},
		steps: []step{
			{begin: true, when: 0},
			{from: "b", answer: Answer{Seq: 1, Extended: true}, when: 10 * ms},
			{from: "a", answer: Answer{Seq: 1, Extended: true}, when: 20 * ms, until: held},
		},
	},
	"an answer without a promise counts for nothing": {
		sets: [][]cluster.Witness{set("a")},
		steps: []step{
			{begin: true, when: 0},
			{from: "a", answer: Answer{Seq: 1}, when: 10 * ms},
		},
	},
	"a witness that voted takes its promise with it": {
		sets: [][]cluster.Witness{set("a")},
		steps: []step{
			{begin: true, when: 0},
			{from: "a", answer: Answer{Seq: 1, Extended: true}, when: 10 * ms, until: held},
			{begin: true, when: 500 * ms, until: held},
			{from: "a", answer: Answer{Seq: 2, Refused: true}, when: 510 * ms},
			{from: "a", answer: Answer{Seq: 1, Extended: true}, when: 520 * ms},
		},
	},
	"a peer outside the set": {
		sets: [][]cluster.Witness{set("a")},
		steps: []step{
			{begin: true, when: 0},
			{from: "z", answer: Answer{Seq: 1, Extended: true}, when: 10 * ms},
		},
	},
}

func TestHolder(t *testing.T) {
	for name, c := range holderCases {
		t.Run(name, func(t *testing.T) {
			h := NewHolder(params)
			h.SetWitnesses(c.sets...)
			for i, s := range c.steps {
				if s.begin {
					h.Begin(at(s.when))
				} else {
					h.Answered(ref(s.from), s.answer)
				}
				want := clock.Mono(0)
				if s.until > 0 {
					want = at(s.until)
				}
				if got := h.Until(); got != want {
					t.Fatalf("step %d: lease until %d, want %d", i, got, want)
				}
			}
		})
	}
}

func TestHolderWithoutWitnesses(t *testing.T) {
	h := NewHolder(params)
	if h.Until() != 0 {
		t.Fatal("a lease before any set is known")
	}
	h.SetWitnesses(nil)
	if h.Until() != Forever {
		t.Fatal("nobody can evict a member that names no witness")
	}
}

func TestWitness(t *testing.T) {
	w := NewWitness(params)
	a := ref("a")
	ask := func(when time.Duration, seq, heard uint64) Answer {
		return w.Renew(at(when), a, Request{Seq: seq, Heard: heard, Promise: params.Promise})
	}
	if !ask(0, 1, 0).Extended {
		t.Fatal("first renewal")
	}
	if w.Vote(at(1499*ms), a) {
		t.Fatal("voted under a promise")
	}
	if !ask(1000*ms, 2, 1).Extended || w.Vote(at(2499*ms), a) {
		t.Fatal("a renewal extends the promise")
	}
	if ask(1500*ms, 6, 3).Extended {
		t.Fatal("extended for a holder that does not hear the answers")
	}
	if !w.Vote(at(2500*ms), a) {
		t.Fatal("no vote after the promise has lapsed")
	}
	if got := ask(2600*ms, 7, 6); got.Extended || !got.Refused {
		t.Fatal("renewed after the vote")
	}
	if !w.Vote(at(2700*ms), a) {
		t.Fatal("a vote is final")
	}
}

func TestWitnessKeepsTheLongerPromise(t *testing.T) {
	w := NewWitness(params)
	w.Renew(at(0), ref("a"), Request{Seq: 1, Promise: 5 * time.Second})
	w.Renew(at(ms), ref("a"), Request{Seq: 2, Heard: 1, Promise: time.Second})
	if w.Vote(at(3*time.Second), ref("a")) {
		t.Fatal("a later and shorter promise cut an earlier one")
	}
	if w.Renew(at(0), ref("b"), Request{Seq: 1, Promise: 2 * MaxPromise}).Extended {
		t.Fatal("promised longer than any witness may")
	}
}

func TestChoose(t *testing.T) {
	peer := func(name, zone string) *cluster.Member {
		return &cluster.Member{MemberRef: ref(name), Zone: zone, Region: "r", State: cluster.StateActive}
	}
	fleet := []*cluster.Member{peer("a", "1"), peer("b", "2"), peer("c", "3"), peer("d", "1"), peer("e", "2"),
		peer("f", "3"), peer("g", "1"), peer("h", "1"), peer("i", "1")}
	never := func(cluster.MemberRef) bool { return false }
	self := cluster.Member{MemberRef: ref("a"), Zone: "1", Region: "r"}

	cases := map[string]struct {
		peers []*cluster.Member
		want  int
	}{
		"alone":           {fleet[:1], 0},
		"one peer":        {fleet[:2], 1},
		"two peers":       {fleet[:3], 1},
		"three peers":     {fleet[:4], 3},
		"enough peers":    {fleet, 5},
		"one zone of all": {[]*cluster.Member{peer("d", "1"), peer("g", "1"), peer("h", "1")}, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := Choose(self, c.peers, 5, never)
			if len(got) != c.want {
				t.Fatalf("%d witnesses, want %d", len(got), c.want)
			}
		})
	}

	chosen := Choose(self, fleet, 5, never)
	for z, n := range zonesOf(chosen, fleet) {
		if n > len(chosen)/2 {
			t.Fatalf("%d witnesses in zone %s", n, z)
		}
	}
	three := Choose(self, []*cluster.Member{peer("d", "1"), peer("g", "1"), peer("b", "2"), peer("e", "2"), peer("c", "3")}, 3, never)
	if zones := zonesOf(three, fleet); len(three) != 3 || len(zones) != 3 {
		t.Fatalf("three witnesses in %d zones", len(zones))
	}
	self.Witnesses = chosen
	refused := chosen[0].MemberRef
	next := Choose(self, fleet, 5, func(r cluster.MemberRef) bool { return r == refused })
	kept := 0
	for _, w := range next {
		for _, o := range chosen[1:] {
			if w == o {
				kept++
			}
		}
	}
	if kept != 4 || len(next) != 5 {
		t.Fatalf("%d of 4 usable witnesses kept, %d named", kept, len(next))
	}
}

// zonesOf counts witnesses by availability zone.
func zonesOf(set []cluster.Witness, fleet []*cluster.Member) map[string]int {
	zones := map[string]int{}
	for _, w := range set {
		for _, p := range fleet {
			if p.Name == w.Name {
				zones[p.Zone]++
			}
		}
	}
	return zones
}

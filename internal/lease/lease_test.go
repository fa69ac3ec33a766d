package lease

import (
	"testing"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
)

const ms = time.Millisecond

var params = Params{PromiseDuration: 1500 * ms, RenewInterval: 500 * ms, DriftPercent: 1}

func ref(name string) cluster.MemberRef { return cluster.MemberRef{Name: name, Incarnation: 1} }

func witnesses(names ...string) []cluster.Witness {
	var out []cluster.Witness
	for _, n := range names {
		out = append(out, cluster.Witness{MemberRef: ref(n)})
	}
	return out
}

func at(d time.Duration) clock.Mono { return clock.Mono(time.Hour + d) }

// step is one event of a test run: the start of a round or a received answer.
type step struct {
	begin  bool
	from   string
	answer Answer
	when   time.Duration
	// until is the expected end of the lease after the step; 0 means no lease.
	until time.Duration
}

// usablePromise is how long after sending a renewal a holder relies on the
// promise.
var usablePromise = params.UsablePromiseDuration()

var holderCases = map[string]struct {
	sets  [][]cluster.Witness
	steps []step
}{
	"the lease starts with a majority of three": {
		sets: [][]cluster.Witness{witnesses("a", "b", "c")},
		steps: []step{
			{begin: true, when: 0},
			{from: "a", answer: Answer{Seq: 1, Extended: true}, when: 100 * ms},
			{from: "b", answer: Answer{Seq: 1, Extended: true}, when: 400 * ms, until: usablePromise},
		},
	},
	"the promise counts from the sending of the renewal, not from the answer": {
		sets: [][]cluster.Witness{witnesses("a")},
		steps: []step{
			{begin: true, when: 0},
			{begin: true, when: 500 * ms},
			{from: "a", answer: Answer{Seq: 1, Extended: true}, when: 900 * ms, until: usablePromise},
			{from: "a", answer: Answer{Seq: 2, Extended: true}, when: 950 * ms, until: 500*ms + usablePromise},
		},
	},
	"both witness sets are needed while a change is pending": {
		sets: [][]cluster.Witness{witnesses("a"), witnesses("b")},
		steps: []step{
			{begin: true, when: 0},
			{from: "b", answer: Answer{Seq: 1, Extended: true}, when: 10 * ms},
			{from: "a", answer: Answer{Seq: 1, Extended: true}, when: 20 * ms, until: usablePromise},
		},
	},
	"an answer without a promise does not extend the lease": {
		sets: [][]cluster.Witness{witnesses("a")},
		steps: []step{
			{begin: true, when: 0},
			{from: "a", answer: Answer{Seq: 1}, when: 10 * ms},
		},
	},
	"a refusal ends the promise of the witness": {
		sets: [][]cluster.Witness{witnesses("a")},
		steps: []step{
			{begin: true, when: 0},
			{from: "a", answer: Answer{Seq: 1, Extended: true}, when: 10 * ms, until: usablePromise},
			{begin: true, when: 500 * ms, until: usablePromise},
			{from: "a", answer: Answer{Seq: 2, Refused: true}, when: 510 * ms},
			{from: "a", answer: Answer{Seq: 1, Extended: true}, when: 520 * ms},
		},
	},
	"an answer of a peer outside the witness set is ignored": {
		sets: [][]cluster.Witness{witnesses("a")},
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
					h.BeginRound(at(s.when))
				} else {
					h.HandleAnswer(ref(s.from), s.answer)
				}
				want := clock.Mono(0)
				if s.until > 0 {
					want = at(s.until)
				}
				if got := h.Until(); got != want {
					t.Fatalf("step %d: lease ends at %d, want %d", i, got, want)
				}
			}
		})
	}
}

func TestHolderWithoutWitnesses(t *testing.T) {
	h := NewHolder(params)
	if h.Until() != 0 {
		t.Fatal("holder has a lease before its witness sets are known")
	}
	h.SetWitnesses(nil)
	if h.Until() != Forever {
		t.Fatal("lease without witnesses ends, want Forever")
	}
}

func TestWitness(t *testing.T) {
	w := NewWitness(params)
	a := ref("a")
	renew := func(when time.Duration, seq, lastAnswered uint64) Answer {
		return w.Renew(at(when), a, Request{Seq: seq, LastAnswered: lastAnswered, PromiseDuration: params.PromiseDuration})
	}
	if !renew(0, 1, 0).Extended {
		t.Fatal("first renewal was not extended")
	}
	if w.Vote(at(1499*ms), a) {
		t.Fatal("voted while a promise was valid")
	}
	if !renew(1000*ms, 2, 1).Extended || w.Vote(at(2499*ms), a) {
		t.Fatal("second renewal did not extend the promise")
	}
	if renew(1500*ms, 6, 3).Extended {
		t.Fatal("extended the promise of a holder that does not receive the answers")
	}
	if !w.Vote(at(2500*ms), a) {
		t.Fatal("no vote after the promise has expired")
	}
	if got := renew(2600*ms, 7, 6); got.Extended || !got.Refused {
		t.Fatal("renewal after the vote was not refused")
	}
	if !w.Vote(at(2700*ms), a) {
		t.Fatal("vote was withdrawn")
	}
}

func TestWitnessKeepsTheLongerPromise(t *testing.T) {
	w := NewWitness(params)
	w.Renew(at(0), ref("a"), Request{Seq: 1, PromiseDuration: 5 * time.Second})
	w.Renew(at(ms), ref("a"), Request{Seq: 2, LastAnswered: 1, PromiseDuration: time.Second})
	if w.Vote(at(3*time.Second), ref("a")) {
		t.Fatal("a shorter later promise replaced a longer earlier one")
	}
	if w.Renew(at(0), ref("b"), Request{Seq: 1, PromiseDuration: 2 * MaxPromiseDuration}).Extended {
		t.Fatal("promised for longer than MaxPromiseDuration")
	}
}

func TestChooseWitnesses(t *testing.T) {
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
		"no peers":      {fleet[:1], 0},
		"one peer":      {fleet[:2], 1},
		"two peers":     {fleet[:3], 1},
		"three peers":   {fleet[:4], 3},
		"enough peers":  {fleet, 5},
		"a single zone": {[]*cluster.Member{peer("d", "1"), peer("g", "1"), peer("h", "1")}, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := ChooseWitnesses(self, c.peers, 5, never)
			if len(got) != c.want {
				t.Fatalf("got %d witnesses, want %d", len(got), c.want)
			}
		})
	}

	chosen := ChooseWitnesses(self, fleet, 5, never)
	for z, n := range zonesOf(chosen, fleet) {
		if n > len(chosen)/2 {
			t.Fatalf("%d witnesses in zone %s, want a minority", n, z)
		}
	}
	three := ChooseWitnesses(self, []*cluster.Member{peer("d", "1"), peer("g", "1"), peer("b", "2"), peer("e", "2"), peer("c", "3")}, 3, never)
	if zones := zonesOf(three, fleet); len(three) != 3 || len(zones) != 3 {
		t.Fatalf("witnesses in %d zones, want 3 witnesses in 3 zones", len(zones))
	}
	self.Witnesses = chosen
	refused := chosen[0].MemberRef
	next := ChooseWitnesses(self, fleet, 5, func(r cluster.MemberRef) bool { return r == refused })
	kept := 0
	for _, w := range next {
		for _, o := range chosen[1:] {
			if w == o {
				kept++
			}
		}
	}
	if kept != 4 || len(next) != 5 {
		t.Fatalf("kept %d of 4 usable witnesses and chose %d in all, want 4 and 5", kept, len(next))
	}
}

// zonesOf counts the witnesses in each availability zone.
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

package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/contract"
)

// propertySeed makes the property tests repeatable.
const propertySeed = 20261204

// fleetModel is a holder with nodes between which messages get lost, late and
// repeated.
type fleetModel struct {
	holder *Holder
	nodes  []*portion
	refs   []cluster.MemberRef
	// late has messages that are still under way, also delivered ones.
	late []Order
	now  clock.Mono
}

func newFleetModel(n int) *fleetModel {
	terms := contract.Terms{Rate: 100, Burst: 20, MaxWaiting: 10}
	f := &fleetModel{now: clock.Mono(time.Hour)}
	f.holder = NewHolder(terms, f.now, 0, 0)
	for i := range n {
		f.refs = append(f.refs, cluster.MemberRef{Name: fmt.Sprintf("n%d", i), Incarnation: 1})
		f.nodes = append(f.nodes, newPortion(terms, n, f.now))
	}
	return f
}

// apply makes one step; the low digits of op choose it.
func (f *fleetModel) apply(op int) {
	node := f.nodes[op%len(f.nodes)]
	op /= len(f.nodes)
	switch op % 6 {
	case 0:
		f.now = f.now.Add(time.Duration(op%4000) * time.Millisecond)
	case 1, 2:
		for range op % 50 {
			node.arrive(f.now)
		}
		node.urgent = true
	case 3:
		f.ask(node)
	case 4, 5:
		// A message arrives, and may arrive once more later.
		if len(f.late) > 0 {
			o := f.late[op%len(f.late)]
			f.nodeOf(o.To).grant(f.now, o.Grant)
		}
	}
}

func (f *fleetModel) ask(node *portion) {
	a, ok := node.ask(f.now)
	if !ok {
		return
	}
	for i, p := range f.nodes {
		if p == node {
			f.late = append(f.late, f.holder.Ask(f.now, f.refs[i], a)...)
			// The network may repeat the request, too.
			f.late = append(f.late, f.holder.Ask(f.now, f.refs[i], a)...)
		}
	}
}

func (f *fleetModel) nodeOf(ref cluster.MemberRef) *portion {
	for i, r := range f.refs {
		if r == ref {
			return f.nodes[i]
		}
	}
	return nil
}

// check says whether all that nodes hold is within the terms.
func (f *fleetModel) check() string {
	rate, burst, tokens, waiting := 0.0, 0.0, 0.0, 0
	for _, p := range f.nodes {
		p.advance(f.now)
		if p.until == 0 {
			continue
		}
		rate += p.share.Rate
		burst += p.share.Burst
		waiting += p.share.Waiting
		tokens += p.bucket.tokens
	}
	f.holder.settle(f.now)
	tokens += f.holder.pool.tokens
	terms := f.holder.terms
	switch {
	case rate > leasable(terms.Rate)+1e-6:
		return fmt.Sprintf("shares sum up to %f requests a second", rate)
	case burst > float64(terms.Burst)+1e-6:
		return fmt.Sprintf("bursts sum up to %f", burst)
	case waiting > terms.MaxWaiting:
		return fmt.Sprintf("%d requests may wait", waiting)
	case tokens > float64(terms.Burst)+1e-6:
		return fmt.Sprintf("%f tokens exist", tokens)
	}
	return ""
}

func TestSharesStayWithinTheTerms(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = 500
	parameters.MaxSize = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("shares of all nodes stay within the terms", prop.ForAll(
		func(ops []int) string {
			f := newFleetModel(4)
			for _, op := range ops {
				f.apply(op)
				if fault := f.check(); fault != "" {
					return fault
				}
			}
			return ""
		},
		gen.SliceOf(gen.IntRange(0, 1<<20)),
	))
	properties.TestingRun(t)
}

func TestHolder(t *testing.T) {
	const start = clock.Mono(time.Hour)
	terms := contract.Terms{Rate: 100, Burst: 20, MaxWaiting: 10}
	a, b := cluster.MemberRef{Name: "a"}, cluster.MemberRef{Name: "b"}
	cases := map[string]func(t *testing.T){
		"a lone node gets all that is leased": func(t *testing.T) {
			g := NewHolder(terms, start, 0, 0).Ask(start, a, Ask{Seq: 1, Want: 500})[0].Grant
			if g.Share.Rate != leasable(100) || g.Tokens != 20 {
				t.Fatalf("got %+v", g)
			}
		},
		"a second node makes the first give way": func(t *testing.T) {
			h := NewHolder(terms, start, 0, 0)
			held := h.Ask(start, a, Ask{Seq: 1, Want: 500})[0].Grant.Share
			orders := h.Ask(start, b, Ask{Seq: 1, Want: 500})
			if len(orders) != 2 || !orders[1].Grant.Recall || orders[1].To != a {
				t.Fatalf("no recall in %+v", orders)
			}
			lower := orders[1].Grant.Share
			if lower.Rate >= held.Rate {
				t.Fatalf("the recall to %+v lowers nothing", lower)
			}
			h.Ask(start, a, Ask{Seq: 2, Want: 500, Held: lower})
			got := h.Ask(start, b, Ask{Seq: 2, Want: 500})[0].Grant.Share
			if got.Rate != leasable(100)/2 {
				t.Fatalf("b got %+v", got)
			}
		},
		"a recovering holder renews and adds nothing": func(t *testing.T) {
			h := NewHolder(terms, start, start, start.Add(shareLife))
			held := Share{Rate: 30, Burst: 5, Waiting: 2}
			if g := h.Ask(start, a, Ask{Seq: 7, Want: 500, Held: held})[0].Grant; g.Share != held || g.Tokens != 0 {
				t.Fatalf("a got %+v", g)
			}
			if g := h.Ask(start, b, Ask{Seq: 1, Want: 500})[0].Grant; g.Share != (Share{}) {
				t.Fatalf("b got %+v", g)
			}
			later := start.Add(shareLife)
			if g := h.Ask(later, b, Ask{Seq: 2, Want: 500})[0].Grant; g.Share.Rate <= 0 {
				t.Fatalf("b got %+v after the recovery", g)
			}
		},
		"a repeated ask gets no answer": func(t *testing.T) {
			h := NewHolder(terms, start, 0, 0)
			h.Ask(start, a, Ask{Seq: 3, Want: 5})
			if orders := h.Ask(start, a, Ask{Seq: 3, Want: 5}); orders != nil {
				t.Fatalf("got %+v", orders)
			}
		},
		"lowered terms bind the next grant": func(t *testing.T) {
			h := NewHolder(terms, start, 0, 0)
			held := h.Ask(start, a, Ask{Seq: 1, Want: 500})[0].Grant.Share
			h.SetTerms(start, contract.Terms{Rate: 10, Burst: 1, MaxWaiting: 1})
			got := h.Ask(start, a, Ask{Seq: 2, Want: 500, Held: held})[0].Grant.Share
			if got.Rate > leasable(10) || got.Burst > 1 || got.Waiting > 1 {
				t.Fatalf("got %+v", got)
			}
		},
		"a lost node's share comes back": func(t *testing.T) {
			h := NewHolder(terms, start, 0, 0)
			h.Ask(start, a, Ask{Seq: 1, Want: 500})
			later := start.Add(shareLife)
			if g := h.Ask(later, b, Ask{Seq: 1, Want: 500})[0].Grant; g.Share.Rate != leasable(100) {
				t.Fatalf("got %+v", g)
			}
		},
	}
	for name, run := range cases {
		t.Run(name, run)
	}
}

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

// fleetModel is an allocator and its nodes, connected by a network that loses,
// delays and repeats messages.
type fleetModel struct {
	allocator *Allocator
	nodes     []*scopeLimiter
	refs      []cluster.MemberRef
	// sentGrants are all grants sent so far. Each may be delivered more than
	// once.
	sentGrants []NodeGrant
	now        clock.Mono
}

func newFleetModel(n int) *fleetModel {
	terms := contract.Terms{Rate: 100, Burst: 20, MaxWaiting: 10}
	f := &fleetModel{now: clock.Mono(time.Hour)}
	f.allocator = NewAllocator(terms, f.now, 0, 0)
	for i := range n {
		f.refs = append(f.refs, cluster.MemberRef{Name: fmt.Sprintf("n%d", i), Incarnation: 1})
		f.nodes = append(f.nodes, newScopeLimiter(terms, n, f.now))
	}
	return f
}

// step performs one operation, which op encodes together with its argument.
func (f *fleetModel) step(op int) {
	node := f.nodes[op%len(f.nodes)]
	op /= len(f.nodes)
	switch op % 6 {
	case 0:
		f.now = f.now.Add(time.Duration(op%4000) * time.Millisecond)
	case 1, 2:
		for range op % 50 {
			node.recordArrival(f.now)
		}
		node.requestNow = true
	case 3:
		f.request(node)
	case 4, 5:
		// Delivers one grant; a later step may deliver it again.
		if len(f.sentGrants) > 0 {
			g := f.sentGrants[op%len(f.sentGrants)]
			f.nodeOf(g.To).applyGrant(f.now, g.Grant)
		}
	}
}

func (f *fleetModel) request(node *scopeLimiter) {
	req, ok := node.nextRequest(f.now)
	if !ok {
		return
	}
	for i, other := range f.nodes {
		if other == node {
			f.sentGrants = append(f.sentGrants, f.allocator.HandleRequest(f.now, f.refs[i], req)...)
			// The network may repeat the request as well.
			f.sentGrants = append(f.sentGrants, f.allocator.HandleRequest(f.now, f.refs[i], req)...)
		}
	}
}

func (f *fleetModel) nodeOf(ref cluster.MemberRef) *scopeLimiter {
	for i, r := range f.refs {
		if r == ref {
			return f.nodes[i]
		}
	}
	return nil
}

// violation returns how the shares of all nodes together exceed the terms, or
// "".
func (f *fleetModel) violation() string {
	rate, burst, tokens, waiting := 0.0, 0.0, 0.0, 0
	for _, node := range f.nodes {
		node.advance(f.now)
		if node.expiry == 0 {
			continue
		}
		rate += node.share.Rate
		burst += node.share.Burst
		waiting += node.share.MaxWaiting
		tokens += node.bucket.tokens
	}
	f.allocator.advance(f.now)
	tokens += f.allocator.pool.tokens
	terms := f.allocator.terms
	switch {
	case rate > leasableRate(terms.Rate)+1e-6:
		return fmt.Sprintf("shares sum up to %f requests per second", rate)
	case burst > float64(terms.Burst)+1e-6:
		return fmt.Sprintf("bursts sum up to %f", burst)
	case waiting > terms.MaxWaiting:
		return fmt.Sprintf("waiting limits sum up to %d", waiting)
	case tokens > float64(terms.Burst)+1e-6:
		return fmt.Sprintf("tokens sum up to %f", tokens)
	}
	return ""
}

func TestSharesStayWithinTerms(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = 500
	parameters.MaxSize = 200
	properties := gopter.NewProperties(parameters)
	properties.Property("the shares of all nodes together stay within the terms", prop.ForAll(
		func(ops []int) string {
			f := newFleetModel(4)
			for _, op := range ops {
				f.step(op)
				if problem := f.violation(); problem != "" {
					return problem
				}
			}
			return ""
		},
		gen.SliceOf(gen.IntRange(0, 1<<20)),
	))
	properties.TestingRun(t)
}

func TestAllocator(t *testing.T) {
	const start = clock.Mono(time.Hour)
	terms := contract.Terms{Rate: 100, Burst: 20, MaxWaiting: 10}
	a, b := cluster.MemberRef{Name: "a"}, cluster.MemberRef{Name: "b"}
	cases := map[string]func(t *testing.T){
		"a single node gets the whole leasable rate": func(t *testing.T) {
			g := NewAllocator(terms, start, 0, 0).HandleRequest(start, a, ShareRequest{Seq: 1, WantRate: 500})[0].Grant
			if g.Share.Rate != leasableRate(100) || g.Tokens != 20 {
				t.Fatalf("got %+v", g)
			}
		},
		"a request of a second node recalls part of the first node's share": func(t *testing.T) {
			alloc := NewAllocator(terms, start, 0, 0)
			held := alloc.HandleRequest(start, a, ShareRequest{Seq: 1, WantRate: 500})[0].Grant.Share
			grants := alloc.HandleRequest(start, b, ShareRequest{Seq: 1, WantRate: 500})
			if len(grants) != 2 || !grants[1].Grant.Recall || grants[1].To != a {
				t.Fatalf("no recall in %+v", grants)
			}
			lower := grants[1].Grant.Share
			if lower.Rate >= held.Rate {
				t.Fatalf("recall to %+v, expected a lower rate", lower)
			}
			alloc.HandleRequest(start, a, ShareRequest{Seq: 2, WantRate: 500, Held: lower})
			got := alloc.HandleRequest(start, b, ShareRequest{Seq: 2, WantRate: 500})[0].Grant.Share
			if got.Rate != leasableRate(100)/2 {
				t.Fatalf("b got %+v", got)
			}
		},
		"during recovery shares are renewed but not increased": func(t *testing.T) {
			alloc := NewAllocator(terms, start, start, start.Add(shareLifetime))
			held := Share{Rate: 30, Burst: 5, MaxWaiting: 2}
			if g := alloc.HandleRequest(start, a, ShareRequest{Seq: 7, WantRate: 500, Held: held})[0].Grant; g.Share != held || g.Tokens != 0 {
				t.Fatalf("a got %+v", g)
			}
			if g := alloc.HandleRequest(start, b, ShareRequest{Seq: 1, WantRate: 500})[0].Grant; g.Share != (Share{}) {
				t.Fatalf("b got %+v", g)
			}
			later := start.Add(shareLifetime)
			if g := alloc.HandleRequest(later, b, ShareRequest{Seq: 2, WantRate: 500})[0].Grant; g.Share.Rate <= 0 {
				t.Fatalf("b got %+v after the recovery", g)
			}
		},
		"a repeated request gets no answer": func(t *testing.T) {
			alloc := NewAllocator(terms, start, 0, 0)
			alloc.HandleRequest(start, a, ShareRequest{Seq: 3, WantRate: 5})
			if grants := alloc.HandleRequest(start, a, ShareRequest{Seq: 3, WantRate: 5}); grants != nil {
				t.Fatalf("got %+v", grants)
			}
		},
		"lowered terms limit the next grant": func(t *testing.T) {
			alloc := NewAllocator(terms, start, 0, 0)
			held := alloc.HandleRequest(start, a, ShareRequest{Seq: 1, WantRate: 500})[0].Grant.Share
			alloc.SetTerms(start, contract.Terms{Rate: 10, Burst: 1, MaxWaiting: 1})
			got := alloc.HandleRequest(start, a, ShareRequest{Seq: 2, WantRate: 500, Held: held})[0].Grant.Share
			if got.Rate > leasableRate(10) || got.Burst > 1 || got.MaxWaiting > 1 {
				t.Fatalf("got %+v", got)
			}
		},
		"the share of a lost node is leased again after it expires": func(t *testing.T) {
			alloc := NewAllocator(terms, start, 0, 0)
			alloc.HandleRequest(start, a, ShareRequest{Seq: 1, WantRate: 500})
			later := start.Add(shareLifetime)
			if g := alloc.HandleRequest(later, b, ShareRequest{Seq: 1, WantRate: 500})[0].Grant; g.Share.Rate != leasableRate(100) {
				t.Fatalf("got %+v", g)
			}
		},
	}
	for name, run := range cases {
		t.Run(name, run)
	}
}

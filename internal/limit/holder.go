package limit

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/contract"
)

// Scope is what a share is a share of: the terms of a customer in total, or
// those for one service.
type Scope struct {
	Customer string
	// Service is empty for the total.
	Service string
}

// Share is the part of a scope's terms that one node may use.
type Share struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is how many tokens the node may keep.
	Burst float64
	// Waiting is how many requests may wait at the node.
	Waiting int
}

// lease is the holder's record of what one node may hold.
type lease struct {
	ref  cluster.MemberRef
	seq  uint64
	want float64
	// share is the most that the node can hold by what the holder knows.
	share Share
	// until is when the node no longer holds it for certain.
	until    clock.Mono
	recalled clock.Mono
	// unmet is true if the node got clearly less than its target.
	unmet bool
}

// Holder leases the shares of one scope. The sum of what nodes can hold never
// exceeds the terms.
type Holder struct {
	terms contract.Terms
	// pool has the tokens that belong to no share.
	pool bucket
	// leases are in the order of the nodes' names, so that equal inputs give
	// equal sums and orders.
	leases []*lease
	// recovering is until when unknown shares of an earlier holder may hold.
	recovering clock.Mono
}

// NewHolder returns the holder of a scope. Acquired is since when this node is
// its holder: an earlier one may have used the burst right before. Recovering
// is until when shares that an earlier holder leased may hold.
func NewHolder(terms contract.Terms, now, acquired, recovering clock.Mono) *Holder {
	h := &Holder{terms: terms, recovering: recovering}
	h.pool.last = now
	h.pool.burst = float64(terms.Burst)
	if now >= recovering {
		h.pool.tokens = min(float64(terms.Burst), terms.Rate*now.Sub(acquired).Seconds())
	}
	h.settle(now)
	return h
}

// Ask is a node's request for a share.
type Ask struct {
	Seq  uint64
	Want float64
	Held Share
}

// Grant is the answer to an Ask, or a recall.
type Grant struct {
	Seq   uint64
	Share Share
	// Tokens are added to the node's bucket.
	Tokens float64
	TTL    time.Duration
	// Recall orders the node to lower its share and to ask again at once.
	Recall bool
}

// Order is a grant with the node that it goes to.
type Order struct {
	To    cluster.MemberRef
	Grant Grant
}

// SetTerms replaces the terms. Shares above new ones are recalled when the
// next node asks.
func (h *Holder) SetTerms(now clock.Mono, terms contract.Terms) {
	h.settle(now)
	h.terms = terms
	h.settle(now)
}

// FreeAt lets the holder lease what nobody reported from then on.
func (h *Holder) FreeAt(t clock.Mono) { h.recovering = t }

// Report notes a share that a node holds from an earlier holder.
func (h *Holder) Report(now clock.Mono, from cluster.MemberRef, held Share) {
	if _, known := h.find(from); known {
		return
	}
	l := h.add(from)
	l.share = held
	l.want = held.Rate
	l.until = now.Add(shareLife)
	h.settle(now)
}

// Idle reports whether the holder can be forgotten without loss: nobody holds
// a share and the burst is whole.
func (h *Holder) Idle(now clock.Mono) bool {
	h.settle(now)
	return len(h.leases) == 0 && now >= h.recovering && h.pool.tokens >= float64(h.terms.Burst)
}

// find returns the place of a node's lease, and whether there is one.
func (h *Holder) find(ref cluster.MemberRef) (int, bool) {
	return slices.BinarySearchFunc(h.leases, ref, func(l *lease, r cluster.MemberRef) int {
		return cmp.Or(strings.Compare(l.ref.Name, r.Name), cmp.Compare(l.ref.Incarnation, r.Incarnation))
	})
}

// add returns the lease of a node, a new one if need be.
func (h *Holder) add(ref cluster.MemberRef) *lease {
	i, known := h.find(ref)
	if !known {
		h.leases = slices.Insert(h.leases, i, &lease{ref: ref})
	}
	return h.leases[i]
}

// Ask answers a node and may recall shares of others. An ask that is not newer
// than the last one of that node gets no answer.
func (h *Holder) Ask(now clock.Mono, from cluster.MemberRef, a Ask) []Order {
	h.settle(now)
	l := h.add(from)
	if a.Seq <= l.seq {
		return nil
	}
	l.seq = a.Seq
	l.want = a.Want
	freed := l.share.Rate - a.Held.Rate
	// The node accepts no grant of an earlier ask any more, so what it says it
	// holds is all that it can hold.
	l.share = a.Held
	l.until = now.Add(shareLife)
	target := h.target(l)
	granted := h.grant(now, l, target)
	h.settle(now)
	tokens := min(h.pool.tokens, max(0, granted.Burst-a.Held.Burst))
	h.pool.tokens -= tokens
	l.share = most(a.Held, granted)
	if l.share == (Share{}) && a.Want == 0 {
		l.until = now
	}
	h.settle(now)
	orders := []Order{{To: from, Grant: Grant{Seq: a.Seq, Share: granted, Tokens: tokens, TTL: shareTTL}}}
	l.unmet = granted.Rate < growThreshold*target
	if l.unmet {
		return append(orders, h.recalls(now, l, target-granted.Rate)...)
	}
	if freed > 0 {
		return append(orders, h.nudges(now)...)
	}
	return orders
}

// target is the rate that the node should have, by all that nodes want.
func (h *Holder) target(l *lease) float64 {
	wanted := 0.0
	for _, other := range h.leases {
		wanted += other.want
	}
	return h.targetOf(l, wanted)
}

func (h *Holder) targetOf(l *lease, wanted float64) float64 {
	if l.want <= 0 || wanted <= 0 {
		return 0
	}
	whole := leasable(h.terms.Rate)
	if wanted >= whole {
		return whole * l.want / wanted
	}
	return l.want + (whole-wanted)*spareShare*l.want/wanted
}

// grant returns the share for the target within what the others leave.
func (h *Holder) grant(now clock.Mono, l *lease, target float64) Share {
	if l.want <= 0 {
		return Share{}
	}
	whole := leasable(h.terms.Rate)
	free := h.free(l)
	if now < h.recovering {
		// Unreported shares may use up all the rest.
		free = Share{
			Rate:    min(free.Rate, l.share.Rate),
			Burst:   min(free.Burst, l.share.Burst),
			Waiting: min(free.Waiting, l.share.Waiting),
		}
	}
	// A node keeps what it holds and wants until another one lacks it; rates
	// that were lowered at each change of demand would lie idle in between.
	rate := max(0, min(max(target, min(l.share.Rate, l.want)), free.Rate))
	if rate == 0 {
		return Share{}
	}
	part := rate / whole
	return Share{
		Rate:    rate,
		Burst:   max(0, min(part*float64(h.terms.Burst), free.Burst)),
		Waiting: max(0, min(1+int(part*float64(h.terms.MaxWaiting)), free.Waiting)),
	}
}

// free is what the terms leave beside the leases of all other nodes.
func (h *Holder) free(l *lease) Share {
	s := Share{leasable(h.terms.Rate), float64(h.terms.Burst), h.terms.MaxWaiting}
	for _, other := range h.leases {
		if other != l {
			s.Rate -= other.share.Rate
			s.Burst -= other.share.Burst
			s.Waiting -= other.share.Waiting
		}
	}
	return s
}

// excess is a lease that is above its target.
type excess struct {
	lease  *lease
	target float64
}

func (e excess) rate() float64 { return e.lease.share.Rate - e.target }

// recalls orders the nodes that can hold most above their target to lower
// their share, until the missing rate is covered.
func (h *Holder) recalls(now clock.Mono, except *lease, missing float64) []Order {
	var orders []Order
	for _, e := range h.excesses(except) {
		if missing <= 0 {
			break
		}
		missing -= e.rate()
		if now < e.lease.recalled.Add(recallInterval) {
			continue
		}
		e.lease.recalled = now
		share := e.lease.share
		part := e.target / share.Rate
		lower := Share{e.target, share.Burst * part, int(float64(share.Waiting) * part)}
		orders = append(orders, Order{To: e.lease.ref, Grant: Grant{Seq: e.lease.seq, Share: lower, Recall: true}})
	}
	return orders
}

// excesses lists the leases above their target, the largest excess first.
func (h *Holder) excesses(except *lease) []excess {
	wanted := 0.0
	for _, l := range h.leases {
		wanted += l.want
	}
	var es []excess
	for _, l := range h.leases {
		e := excess{l, h.targetOf(l, wanted)}
		if l != except && e.rate() > 0 {
			es = append(es, e)
		}
	}
	slices.SortStableFunc(es, func(a, b excess) int { return cmp.Compare(b.rate(), a.rate()) })
	return es
}

// nudges has the nodes that lack most ask again, because rate came free.
func (h *Holder) nudges(now clock.Mono) []Order {
	var orders []Order
	for _, l := range h.leases {
		if !l.unmet || now < l.recalled.Add(recallInterval) {
			continue
		}
		l.recalled = now
		orders = append(orders, Order{To: l.ref, Grant: Grant{Seq: l.seq, Share: l.share, Recall: true}})
	}
	return orders
}

// settle drops lapsed leases and fills the pool with what belongs to no share.
func (h *Holder) settle(now clock.Mono) {
	h.pool.fill(now, false)
	h.leases = slices.DeleteFunc(h.leases, func(l *lease) bool { return now >= l.until })
	rest := h.free(nil)
	h.pool.rate = max(0, rest.Rate)
	h.pool.burst = max(0, rest.Burst)
	if now < h.recovering {
		h.pool.rate = 0
	}
	h.pool.tokens = min(h.pool.tokens, h.pool.burst)
}

// most returns the larger of each part.
func most(a, b Share) Share {
	return Share{max(a.Rate, b.Rate), max(a.Burst, b.Burst), max(a.Waiting, b.Waiting)}
}

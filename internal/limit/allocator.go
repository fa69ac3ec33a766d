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

// Scope identifies the terms that shares are allocated from: those of a customer
// in total, or those for one of its services.
type Scope struct {
	Customer string
	// Service is empty for the customer's total.
	Service string
}

// Share is the part of a scope's terms that one node may use.
type Share struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is the number of tokens that the node may accumulate.
	Burst float64
	// MaxWaiting is the number of requests that may wait at the node.
	MaxWaiting int
}

// shareLease is the allocator's record of one node's share.
type shareLease struct {
	ref      cluster.MemberRef
	seq      uint64
	wantRate float64
	// share is an upper bound of what the node holds.
	share Share
	// expiry is the time from which on the node certainly does not hold the
	// share any more.
	expiry     clock.Mono
	lastRecall clock.Mono
	// unmet is true if the last grant was clearly below the node's target.
	unmet bool
}

// Allocator leases the shares of one scope. The sum of the shares that nodes can
// hold never exceeds the terms.
type Allocator struct {
	terms contract.Terms
	// pool is the bucket of the unleased part of the terms.
	pool bucket
	// leases are sorted by node, so that equal inputs give equal sums and
	// results.
	leases []*shareLease
	// recoveryEnd is the time until which unreported shares of an earlier
	// allocator may still be valid.
	recoveryEnd clock.Mono
}

// NewAllocator returns the allocator of a scope. The burst builds up from the
// time acquired, when this node became the allocator, because an earlier
// allocator may have granted all of it just before. Shares granted by an earlier
// allocator may be valid until recoveryEnd.
func NewAllocator(terms contract.Terms, now, acquired, recoveryEnd clock.Mono) *Allocator {
	a := &Allocator{terms: terms, recoveryEnd: recoveryEnd}
	a.pool.lastFill = now
	a.pool.burst = float64(terms.Burst)
	if now >= recoveryEnd {
		a.pool.tokens = min(float64(terms.Burst), terms.Rate*now.Sub(acquired).Seconds())
	}
	a.advance(now)
	return a
}

// ShareRequest is a node's request for a share.
type ShareRequest struct {
	Seq      uint64
	WantRate float64
	Held     Share
}

// Grant is the answer to a ShareRequest, or a recall.
type Grant struct {
	Seq   uint64
	Share Share
	// Tokens are added to the node's bucket.
	Tokens float64
	TTL    time.Duration
	// Recall tells the node to lower its share and to send a new request
	// immediately.
	Recall bool
}

// NodeGrant is a grant with the node that it is for.
type NodeGrant struct {
	To    cluster.MemberRef
	Grant Grant
}

// SetTerms replaces the terms. A share that exceeds the new terms is lowered at
// its node's next request, or recalled if another node's request is not met.
func (a *Allocator) SetTerms(now clock.Mono, terms contract.Terms) {
	a.advance(now)
	a.terms = terms
	a.advance(now)
}

// SetRecoveryEnd sets the time from which on the allocator leases the part of
// the terms that no node has reported.
func (a *Allocator) SetRecoveryEnd(t clock.Mono) { a.recoveryEnd = t }

// RecordReport records a share that a node holds from an earlier allocator. It
// is ignored if the node already has a lease.
func (a *Allocator) RecordReport(now clock.Mono, from cluster.MemberRef, held Share) {
	if _, known := a.find(from); known {
		return
	}
	l := a.findOrAdd(from)
	l.share = held
	l.wantRate = held.Rate
	l.expiry = now.Add(shareLifetime)
	a.advance(now)
}

// Idle reports whether the allocator can be dropped without losing state: no
// node holds a share and the pool has the full burst.
func (a *Allocator) Idle(now clock.Mono) bool {
	a.advance(now)
	return len(a.leases) == 0 && now >= a.recoveryEnd && a.pool.tokens >= float64(a.terms.Burst)
}

// find returns the index of a node's lease, or where to insert it, and whether
// there is one.
func (a *Allocator) find(ref cluster.MemberRef) (int, bool) {
	return slices.BinarySearchFunc(a.leases, ref, func(l *shareLease, r cluster.MemberRef) int {
		return cmp.Or(strings.Compare(l.ref.Name, r.Name), cmp.Compare(l.ref.Incarnation, r.Incarnation))
	})
}

// findOrAdd returns the lease of a node; it adds one if there is none.
func (a *Allocator) findOrAdd(ref cluster.MemberRef) *shareLease {
	i, known := a.find(ref)
	if !known {
		a.leases = slices.Insert(a.leases, i, &shareLease{ref: ref})
	}
	return a.leases[i]
}

// HandleRequest answers a node's request and may recall shares of other nodes. A
// request that is not newer than the last one of that node gets no answer.
func (a *Allocator) HandleRequest(now clock.Mono, from cluster.MemberRef, req ShareRequest) []NodeGrant {
	a.advance(now)
	requester := a.findOrAdd(from)
	if req.Seq <= requester.seq {
		return nil
	}
	requester.seq = req.Seq
	requester.wantRate = req.WantRate
	freed := requester.share.Rate - req.Held.Rate
	// The node ignores grants for its earlier requests, so the share it reports
	// is all that it can hold.
	requester.share = req.Held
	requester.expiry = now.Add(shareLifetime)
	target := a.target(requester)
	granted := a.shareFor(now, requester, target)
	a.advance(now)
	tokens := min(a.pool.tokens, max(0, granted.Burst-req.Held.Burst))
	a.pool.tokens -= tokens
	requester.share = maxShare(req.Held, granted)
	if requester.share == (Share{}) && req.WantRate == 0 {
		requester.expiry = now
	}
	a.advance(now)
	grants := []NodeGrant{{To: from, Grant: Grant{Seq: req.Seq, Share: granted, Tokens: tokens, TTL: shareTTL}}}
	requester.unmet = granted.Rate < growUtilization*target
	if requester.unmet {
		return append(grants, a.recalls(now, requester, target-granted.Rate)...)
	}
	if freed > 0 {
		return append(grants, a.recallUnmet(now)...)
	}
	return grants
}

// target returns the rate that the node should have, given the requests of all
// nodes.
func (a *Allocator) target(l *shareLease) float64 {
	totalWant := 0.0
	for _, other := range a.leases {
		totalWant += other.wantRate
	}
	return a.targetFor(l, totalWant)
}

// targetFor returns the target for a given sum of all requested rates. If the
// rate does not suffice, it is split in proportion to the requests; otherwise
// each node gets what it requests and a part of the spare rate.
func (a *Allocator) targetFor(l *shareLease, totalWant float64) float64 {
	if l.wantRate <= 0 || totalWant <= 0 {
		return 0
	}
	leasable := leasableRate(a.terms.Rate)
	if totalWant >= leasable {
		return leasable * l.wantRate / totalWant
	}
	return l.wantRate + (leasable-totalWant)*spareFraction*l.wantRate/totalWant
}

// shareFor returns the share for a target rate, limited to what the leases of
// the other nodes leave available.
func (a *Allocator) shareFor(now clock.Mono, l *shareLease, target float64) Share {
	if l.wantRate <= 0 {
		return Share{}
	}
	leasable := leasableRate(a.terms.Rate)
	available := a.available(l)
	if now < a.recoveryEnd {
		// Unreported shares may add up to all of the remaining rate.
		available = Share{
			Rate:       min(available.Rate, l.share.Rate),
			Burst:      min(available.Burst, l.share.Burst),
			MaxWaiting: min(available.MaxWaiting, l.share.MaxWaiting),
		}
	}
	// A node keeps the rate that it holds and requests until another node needs
	// it: rate given up at each change of demand would be unused until it is
	// granted again.
	rate := max(0, min(max(target, min(l.share.Rate, l.wantRate)), available.Rate))
	if rate == 0 {
		return Share{}
	}
	fraction := rate / leasable
	return Share{
		Rate:       rate,
		Burst:      max(0, min(fraction*float64(a.terms.Burst), available.Burst)),
		MaxWaiting: max(0, min(1+int(fraction*float64(a.terms.MaxWaiting)), available.MaxWaiting)),
	}
}

// available returns the part of the terms that no lease other than l uses.
func (a *Allocator) available(l *shareLease) Share {
	rest := Share{leasableRate(a.terms.Rate), float64(a.terms.Burst), a.terms.MaxWaiting}
	for _, other := range a.leases {
		if other != l {
			rest.Rate -= other.share.Rate
			rest.Burst -= other.share.Burst
			rest.MaxWaiting -= other.share.MaxWaiting
		}
	}
	return rest
}

// excess is a lease above its target.
type excess struct {
	lease  *shareLease
	target float64
}

// rate returns how far the lease is above its target.
func (e excess) rate() float64 { return e.lease.share.Rate - e.target }

// recalls returns recalls that lower the shares furthest above their targets,
// until they cover the missing rate. A lease that was recalled recently is
// counted but not recalled again.
func (a *Allocator) recalls(now clock.Mono, except *shareLease, missing float64) []NodeGrant {
	var grants []NodeGrant
	for _, e := range a.excesses(except) {
		if missing <= 0 {
			break
		}
		missing -= e.rate()
		if now < e.lease.lastRecall.Add(recallInterval) {
			continue
		}
		e.lease.lastRecall = now
		share := e.lease.share
		fraction := e.target / share.Rate
		lower := Share{e.target, share.Burst * fraction, int(float64(share.MaxWaiting) * fraction)}
		grants = append(grants, NodeGrant{To: e.lease.ref, Grant: Grant{Seq: e.lease.seq, Share: lower, Recall: true}})
	}
	return grants
}

// excesses returns the leases above their targets, the largest excess first.
func (a *Allocator) excesses(except *shareLease) []excess {
	totalWant := 0.0
	for _, l := range a.leases {
		totalWant += l.wantRate
	}
	var found []excess
	for _, l := range a.leases {
		e := excess{l, a.targetFor(l, totalWant)}
		if l != except && e.rate() > 0 {
			found = append(found, e)
		}
	}
	slices.SortStableFunc(found, func(a, b excess) int { return cmp.Compare(b.rate(), a.rate()) })
	return found
}

// recallUnmet tells the nodes with unmet requests to request again, because rate
// has become available.
func (a *Allocator) recallUnmet(now clock.Mono) []NodeGrant {
	var grants []NodeGrant
	for _, l := range a.leases {
		if !l.unmet || now < l.lastRecall.Add(recallInterval) {
			continue
		}
		l.lastRecall = now
		grants = append(grants, NodeGrant{To: l.ref, Grant: Grant{Seq: l.seq, Share: l.share, Recall: true}})
	}
	return grants
}

// advance adds the pool's tokens up to now, drops expired leases, and sets the
// pool to the unleased part of the terms.
func (a *Allocator) advance(now clock.Mono) {
	a.pool.fill(now, false)
	a.leases = slices.DeleteFunc(a.leases, func(l *shareLease) bool { return now >= l.expiry })
	rest := a.available(nil)
	a.pool.rate = max(0, rest.Rate)
	a.pool.burst = max(0, rest.Burst)
	if now < a.recoveryEnd {
		a.pool.rate = 0
	}
	a.pool.tokens = min(a.pool.tokens, a.pool.burst)
}

// maxShare returns the larger value of each field.
func maxShare(a, b Share) Share {
	return Share{max(a.Rate, b.Rate), max(a.Burst, b.Burst), max(a.MaxWaiting, b.MaxWaiting)}
}

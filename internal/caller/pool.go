package caller

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/view"
)

const (
	// latencyWeight is the weight of the newest latency in the average, as a
	// divisor.
	latencyWeight = 8
	// minPenalty and maxPenalty bound how long a backend server that refused
	// or failed is passed over; each failure in a row doubles it.
	minPenalty = 100 * time.Millisecond
	maxPenalty = 5 * time.Second
	// reportAge is how long the load that a gate reported counts.
	reportAge = time.Second
	// latencyFloor keeps very fast answers from deciding by noise alone.
	latencyFloor = time.Millisecond
)

// load is what this entry has seen of one backend server.
type load struct {
	own atomic.Int64
	// reported and slots are from the last answer's head, at reportedAt.
	reported   atomic.Int64
	slots      atomic.Int64
	reportedAt atomic.Int64
	// latency is an average in nanoseconds.
	latency atomic.Int64
	// failures in a row, and until when the server is passed over.
	failures atomic.Int64
	avoid    atomic.Int64
}

// pool picks backend servers of services that are not divided by key.
type pool struct {
	loads   sync.Map
	members atomic.Pointer[candidates]
}

// candidates are the members with a ready backend server, by service.
type candidates struct {
	view      *view.View
	byService map[string][]*cluster.Member
}

func newPool() *pool { return &pool{} }

// candidates sorts the members of a view by service, once for each view.
func (p *pool) candidates(v *view.View) *candidates {
	if c := p.members.Load(); c != nil && c.view == v {
		return c
	}
	c := &candidates{view: v, byService: map[string][]*cluster.Member{}}
	for _, m := range v.Members {
		if m.State != cluster.StateActive || m.Backend == nil || !m.Backend.Ready {
			continue
		}
		c.byService[m.Backend.Service] = append(c.byService[m.Backend.Service], m)
	}
	p.members.Store(c)
	return c
}

func (p *pool) load(ref cluster.MemberRef) *load {
	if l, ok := p.loads.Load(ref); ok {
		return l.(*load)
	}
	l, _ := p.loads.LoadOrStore(ref, &load{})
	return l.(*load)
}

// pick returns the better of two members drawn at random, or nil if there is
// none. tried holds members that this request has failed at; they are drawn
// only if no other is left.
func (p *pool) pick(v *view.View, service string, tried map[string]bool) *cluster.Member {
	all := p.candidates(v).byService[service]
	now := time.Now()
	good := make([]*cluster.Member, 0, len(all))
	for _, m := range all {
		if !tried[m.Name] && p.load(m.MemberRef).avoid.Load() <= now.UnixNano() {
			good = append(good, m)
		}
	}
	if len(good) == 0 {
		good = leastAvoided(p, all, tried)
	}
	switch len(good) {
	case 0:
		return nil
	case 1:
		return good[0]
	}
	i := rand.IntN(len(good))
	j := rand.IntN(len(good) - 1)
	if j >= i {
		j++
	}
	if p.score(good[j], now) < p.score(good[i], now) {
		return good[j]
	}
	return good[i]
}

// leastAvoided returns the member whose penalty ends first, one that was not
// tried if there is any.
func leastAvoided(p *pool, all []*cluster.Member, tried map[string]bool) []*cluster.Member {
	var best *cluster.Member
	for _, m := range all {
		if best == nil || (tried[best.Name] && !tried[m.Name]) {
			best = m
			continue
		}
		sooner := p.load(m.MemberRef).avoid.Load() < p.load(best.MemberRef).avoid.Load()
		if tried[m.Name] == tried[best.Name] && sooner {
			best = m
		}
	}
	if best == nil {
		return nil
	}
	return []*cluster.Member{best}
}

// score estimates the time that a request would take there.
func (p *pool) score(m *cluster.Member, now time.Time) float64 {
	l := p.load(m.MemberRef)
	inFlight := l.own.Load()
	if now.UnixNano()-l.reportedAt.Load() < int64(reportAge) {
		inFlight = max(inFlight, l.reported.Load())
	}
	slots := max(l.slots.Load(), int64(m.Backend.Slots), 1)
	latency := time.Duration(l.latency.Load()) + latencyFloor
	return float64(inFlight+1) / float64(slots) * float64(latency)
}

// succeeded records an answer.
func (l *load) succeeded(took time.Duration) {
	l.failures.Store(0)
	l.avoid.Store(0)
	old := l.latency.Load()
	l.latency.Store(old + (int64(took)-old)/latencyWeight)
}

// failed passes the server over for a while, at once.
func (l *load) failed(now time.Time) {
	n := l.failures.Add(1)
	penalty := maxPenalty
	if shift := n - 1; shift < 6 {
		penalty = min(minPenalty<<shift, maxPenalty)
	}
	l.avoid.Store(now.Add(penalty).UnixNano())
}

// report records what the gate said of its load.
func (l *load) report(inFlight, slots uint32, now time.Time) {
	l.reported.Store(int64(inFlight))
	l.slots.Store(int64(slots))
	l.reportedAt.Store(now.UnixNano())
}

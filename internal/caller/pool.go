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
	minPenalty     = 100 * time.Millisecond
	maxPenalty     = 5 * time.Second
	penaltyDoubles = 6
	// reportAge is how long the load that a gate reported counts.
	reportAge = time.Second
	// latencyFloor keeps very fast answers from deciding by noise alone.
	latencyFloor = time.Millisecond
	// draws is how often two candidates are drawn before all are looked at.
	draws = 4
)

// load is what this entry has seen of one backend server.
type load struct {
	own atomic.Int64
	// reported is from the last answer's head, at reportedAt.
	reported   atomic.Int64
	reportedAt atomic.Int64
	// latency is an average in nanoseconds of the time to the start of an
	// answer, so that long downloads don't count as slow; 0 before the first.
	latency atomic.Int64
	// progress is when the last byte of an answer came, or when the first of
	// the requests under way was sent if that was later.
	progress atomic.Int64
	// answered counts answers that have begun.
	answered atomic.Int64
	// failures in a row, and until when the server is passed over.
	failures atomic.Int64
	avoid    atomic.Int64
}

// candidate is a member with a ready backend server and what was seen of it.
type candidate struct {
	member *cluster.Member
	load   *load
}

// candidates holds the candidates of a view by service.
type candidates struct {
	view      *view.View
	byService map[string][]candidate
}

// pool picks backend servers of services that are not divided by key. What a
// backend server says of itself, its slots included, does not raise its share:
// only what this entry has seen does.
type pool struct {
	loads   sync.Map
	members atomic.Pointer[candidates]
}

func newPool() *pool { return &pool{} }

// candidates sorts the members of a view by service, once for each view.
func (p *pool) candidates(v *view.View) *candidates {
	if c := p.members.Load(); c != nil && c.view == v {
		return c
	}
	c := &candidates{view: v, byService: map[string][]candidate{}}
	for _, m := range v.Members {
		if m.State != cluster.StateActive || m.Backend == nil || !m.Backend.Ready {
			continue
		}
		s := m.Backend.Service
		c.byService[s] = append(c.byService[s], candidate{member: m, load: p.load(m.MemberRef)})
	}
	p.members.Store(c)
	p.forget(v)
	return c
}

// forget drops what was seen of members that are gone.
func (p *pool) forget(v *view.View) {
	p.loads.Range(func(ref, _ any) bool {
		m := v.Members[ref.(cluster.MemberRef).Name]
		if m == nil || m.MemberRef != ref {
			p.loads.Delete(ref)
		}
		return true
	})
}

func (p *pool) load(ref cluster.MemberRef) *load {
	if l, ok := p.loads.Load(ref); ok {
		return l.(*load)
	}
	l, _ := p.loads.LoadOrStore(ref, &load{})
	return l.(*load)
}

// pick returns the better of two members drawn at random, or nil if there is
// none. tried holds members that this request has failed at; they are taken
// only if no other is left.
func (p *pool) pick(v *view.View, service string, tried map[string]bool) *cluster.Member {
	all := p.candidates(v).byService[service]
	if len(all) == 0 {
		return nil
	}
	now := time.Now()
	for range draws {
		a := &all[rand.IntN(len(all))]
		b := &all[rand.IntN(len(all))]
		if !a.usable(tried, now) {
			a = b
		}
		if !a.usable(tried, now) {
			continue
		}
		if b.usable(tried, now) && b.load.better(a.load, now) {
			a = b
		}
		return a.member
	}
	return fallback(all, tried, now).member
}

// fallback looks at all candidates: it returns the best usable one, else one
// that was not tried and whose penalty ends first.
func fallback(all []candidate, tried map[string]bool, now time.Time) *candidate {
	var best *candidate
	for i := range all {
		if c := &all[i]; best == nil || c.preferred(best, tried, now) {
			best = c
		}
	}
	return best
}

func (c *candidate) preferred(other *candidate, tried map[string]bool, now time.Time) bool {
	if mine, its := c.usable(tried, now), other.usable(tried, now); mine != its {
		return mine
	} else if mine {
		return c.load.better(other.load, now)
	}
	if mine, its := tried[c.member.Name], tried[other.member.Name]; mine != its {
		return its
	}
	return c.load.avoid.Load() < other.load.avoid.Load()
}

// usable reports whether the candidate may be drawn. After a failure it gets a
// single request at a time until one is answered; a new one may have no more
// requests under way than it has answered, and one more, so that a cold
// backend server is not flooded.
func (c *candidate) usable(tried map[string]bool, now time.Time) bool {
	l := c.load
	if tried[c.member.Name] || l.avoid.Load() > now.UnixNano() {
		return false
	}
	own := l.own.Load()
	if l.failures.Load() > 0 {
		return own == 0
	}
	return own <= l.answered.Load()
}

// better reports whether a request is likely to end sooner here than there.
func (l *load) better(other *load, now time.Time) bool {
	mine, its := l.expected(now), other.expected(now)
	if l.latency.Load() == 0 || other.latency.Load() == 0 {
		// Without an answer yet there is only the number of requests.
		mine, its = 1, 1
	}
	return mine*float64(l.inFlight(now)+1) < its*float64(other.inFlight(now)+1)
}

// inFlight returns the greater of what this entry has sent there and what the
// gate reported lately.
func (l *load) inFlight(now time.Time) int64 {
	n := l.own.Load()
	if now.UnixNano()-l.reportedAt.Load() < int64(reportAge) {
		n = max(n, l.reported.Load())
	}
	return n
}

// expected estimates the latency. Requests that are under way without any
// answer raise it from the moment on that they take longer than usual, so a
// frozen backend server is passed over long before its deadlines pass.
func (l *load) expected(now time.Time) float64 {
	latency := l.latency.Load()
	if l.own.Load() > 0 {
		latency = max(latency, now.UnixNano()-l.progress.Load())
	}
	return float64(latency + int64(latencyFloor))
}

// begin counts a request that is sent.
func (l *load) begin(now time.Time) {
	if l.own.Add(1) == 1 {
		l.progress.Store(now.UnixNano())
	}
}

// end uncounts a request.
func (l *load) end() { l.own.Add(-1) }

// advance records that bytes of an answer came.
func (l *load) advance(now time.Time) { l.progress.Store(now.UnixNano()) }

// succeeded records the start of an answer.
func (l *load) succeeded(took time.Duration, now time.Time) {
	l.answered.Add(1)
	l.advance(now)
	l.failures.Store(0)
	l.avoid.Store(0)
	old := l.latency.Load()
	if old == 0 {
		l.latency.Store(max(int64(took), 1))
		return
	}
	l.latency.Store(old + (int64(took)-old)/latencyWeight)
}

// failed passes the server over for a while, at once.
func (l *load) failed(now time.Time) {
	penalty := maxPenalty
	if doubles := l.failures.Add(1) - 1; doubles < penaltyDoubles {
		penalty = min(minPenalty<<doubles, maxPenalty)
	}
	l.avoid.Store(now.Add(penalty).UnixNano())
}

// report records what the gate said of its load.
func (l *load) report(inFlight uint32, now time.Time) {
	l.reported.Store(int64(inFlight))
	l.reportedAt.Store(now.UnixNano())
}

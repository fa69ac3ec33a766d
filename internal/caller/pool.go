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
	// latencyEWMADivisor is the weight of the newest latency in the average, as a
	// divisor.
	latencyEWMADivisor = 8
	// minPenalty and maxPenalty bound how long a backend server that refused
	// or failed is passed over; each failure in a row doubles it.
	minPenalty          = 100 * time.Millisecond
	maxPenalty          = 5 * time.Second
	maxPenaltyDoublings = 6
	// maxReportAge is how long the load that a gate reported counts.
	maxReportAge = time.Second
	// minLatency keeps very fast answers from deciding by noise alone.
	minLatency = time.Millisecond
	// maxDraws is how often two candidates are drawn before all are looked at.
	maxDraws = 4
)

// backendLoad is what this entry has seen of one backend server.
type backendLoad struct {
	ownInFlight atomic.Int64
	// reportedInFlight is from the last answer's head, at reportedAt.
	reportedInFlight atomic.Int64
	reportedAt       atomic.Int64
	// avgLatency is an average in nanoseconds of the time to the start of an
	// answer, so that long downloads don't count as slow; 0 before the first.
	avgLatency atomic.Int64
	// lastProgress is when the last byte of an answer came, or when the first of
	// the requests under way was sent if that was later.
	lastProgress atomic.Int64
	// responses counts answers that have begun.
	responses atomic.Int64
	// consecutiveFailures in a row, and until when the server is passed over.
	consecutiveFailures atomic.Int64
	avoidUntil          atomic.Int64
}

// candidate is a member with a ready backend server and what was seen of it.
type candidate struct {
	member *cluster.Member
	load   *backendLoad
}

// candidateSet holds the candidateSet of a view by service.
type candidateSet struct {
	view      *view.View
	byService map[string][]candidate
}

// backendPool picks backend servers of services that are not divided by key. What a
// backend server says of itself, its slots included, does not raise its share:
// only what this entry has seen does.
type backendPool struct {
	loads  sync.Map
	cached atomic.Pointer[candidateSet]
}

func newBackendPool() *backendPool { return &backendPool{} }

// candidates sorts the members of a view by service, once for each view.
func (p *backendPool) candidates(v *view.View) *candidateSet {
	if c := p.cached.Load(); c != nil && c.view == v {
		return c
	}
	c := &candidateSet{view: v, byService: map[string][]candidate{}}
	for _, m := range v.Members {
		if m.State != cluster.StateActive || m.Backend == nil || !m.Backend.Ready {
			continue
		}
		s := m.Backend.Service
		c.byService[s] = append(c.byService[s], candidate{member: m, load: p.load(m.MemberRef)})
	}
	p.cached.Store(c)
	p.prune(v)
	return c
}

// prune drops what was seen of members that are gone.
func (p *backendPool) prune(v *view.View) {
	p.loads.Range(func(ref, _ any) bool {
		m := v.Members[ref.(cluster.MemberRef).Name]
		if m == nil || m.MemberRef != ref {
			p.loads.Delete(ref)
		}
		return true
	})
}

func (p *backendPool) load(ref cluster.MemberRef) *backendLoad {
	if l, ok := p.loads.Load(ref); ok {
		return l.(*backendLoad)
	}
	l, _ := p.loads.LoadOrStore(ref, &backendLoad{})
	return l.(*backendLoad)
}

// pick returns the better of two members drawn at random, or nil if there is
// none. tried holds members that this request has failed at; they are taken
// only if no other is left.
func (p *backendPool) pick(v *view.View, service string, tried map[string]bool) *cluster.Member {
	all := p.candidates(v).byService[service]
	if len(all) == 0 {
		return nil
	}
	now := time.Now()
	for range maxDraws {
		a := &all[rand.IntN(len(all))]
		b := &all[rand.IntN(len(all))]
		if !a.usable(tried, now) {
			a = b
		}
		if !a.usable(tried, now) {
			continue
		}
		if b.usable(tried, now) && b.load.fasterThan(a.load, now) {
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
		if c := &all[i]; best == nil || c.preferredTo(best, tried, now) {
			best = c
		}
	}
	return best
}

func (c *candidate) preferredTo(other *candidate, tried map[string]bool, now time.Time) bool {
	if mine, its := c.usable(tried, now), other.usable(tried, now); mine != its {
		return mine
	} else if mine {
		return c.load.fasterThan(other.load, now)
	}
	if mine, its := tried[c.member.Name], tried[other.member.Name]; mine != its {
		return its
	}
	return c.load.avoidUntil.Load() < other.load.avoidUntil.Load()
}

// usable reports whether the candidate may be drawn. After a failure it gets a
// single request at a time until one is answered; a new one may have no more
// requests under way than it has answered, and one more, so that a cold
// backend server is not flooded.
func (c *candidate) usable(tried map[string]bool, now time.Time) bool {
	l := c.load
	if tried[c.member.Name] || l.avoidUntil.Load() > now.UnixNano() {
		return false
	}
	own := l.ownInFlight.Load()
	if l.consecutiveFailures.Load() > 0 {
		return own == 0
	}
	return own <= l.responses.Load()
}

// fasterThan reports whether a request is likely to end sooner here than there.
func (l *backendLoad) fasterThan(other *backendLoad, now time.Time) bool {
	latency, otherLatency := l.expectedLatency(now), other.expectedLatency(now)
	if l.avgLatency.Load() == 0 || other.avgLatency.Load() == 0 {
		// Without an answer yet there is only the number of requests.
		latency, otherLatency = 1, 1
	}
	return latency*float64(l.inFlight(now)+1) < otherLatency*float64(other.inFlight(now)+1)
}

// inFlight returns the greater of what this entry has sent there and what the
// gate reported lately.
func (l *backendLoad) inFlight(now time.Time) int64 {
	n := l.ownInFlight.Load()
	if now.UnixNano()-l.reportedAt.Load() < int64(maxReportAge) {
		n = max(n, l.reportedInFlight.Load())
	}
	return n
}

// expectedLatency estimates the latency. Requests that are under way without any
// answer raise it from the moment on that they take longer than usual, so a
// frozen backend server is passed over long before its deadlines pass.
func (l *backendLoad) expectedLatency(now time.Time) float64 {
	latency := l.avgLatency.Load()
	if l.ownInFlight.Load() > 0 {
		latency = max(latency, now.UnixNano()-l.lastProgress.Load())
	}
	return float64(latency + int64(minLatency))
}

// requestSent counts a request that is sent.
func (l *backendLoad) requestSent(now time.Time) {
	if l.ownInFlight.Add(1) == 1 {
		l.lastProgress.Store(now.UnixNano())
	}
}

// requestEnded uncounts a request.
func (l *backendLoad) requestEnded() { l.ownInFlight.Add(-1) }

// recordProgress records that bytes of an answer came.
func (l *backendLoad) recordProgress(now time.Time) { l.lastProgress.Store(now.UnixNano()) }

// recordResponse records the start of an answer.
func (l *backendLoad) recordResponse(latency time.Duration, now time.Time) {
	l.responses.Add(1)
	l.recordProgress(now)
	l.consecutiveFailures.Store(0)
	l.avoidUntil.Store(0)
	old := l.avgLatency.Load()
	if old == 0 {
		l.avgLatency.Store(max(int64(latency), 1))
		return
	}
	l.avgLatency.Store(old + (int64(latency)-old)/latencyEWMADivisor)
}

// recordFailure passes the server over for a while, at once.
func (l *backendLoad) recordFailure(now time.Time) {
	penalty := maxPenalty
	if doublings := l.consecutiveFailures.Add(1) - 1; doublings < maxPenaltyDoublings {
		penalty = min(minPenalty<<doublings, maxPenalty)
	}
	l.avoidUntil.Store(now.Add(penalty).UnixNano())
}

// recordReport records what the gate said of its load.
func (l *backendLoad) recordReport(inFlight uint32, now time.Time) {
	l.reportedInFlight.Store(int64(inFlight))
	l.reportedAt.Store(now.UnixNano())
}

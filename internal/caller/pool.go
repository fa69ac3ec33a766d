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
	// latencyEWMADivisor sets the weight of the newest latency in the moving
	// average to 1/latencyEWMADivisor.
	latencyEWMADivisor = 8
	// minPenalty and maxPenalty bound how long a backend server is not used
	// after a refusal or failure; each further consecutive failure doubles the
	// time.
	minPenalty          = 100 * time.Millisecond
	maxPenalty          = 5 * time.Second
	maxPenaltyDoublings = 6
	// maxReportAge is how long the load that a gate reported is used.
	maxReportAge = time.Second
	// latencyOffset is added to latencies, so that noise between very fast
	// responses does not decide the choice.
	latencyOffset = time.Millisecond
	// maxDraws is how often a pair of candidates is drawn before all candidates
	// are compared.
	maxDraws = 4
)

// backendLoad is the load of one backend server as this node observes it.
type backendLoad struct {
	ownInFlight atomic.Int64
	// reportedInFlight is from the last response head, received at reportedAt,
	// in ns since the Unix epoch.
	reportedInFlight atomic.Int64
	reportedAt       atomic.Int64
	// avgLatency is a moving average in nanoseconds of the time to the start of
	// a response, so that long downloads don't count as slow; 0 before the
	// first response.
	avgLatency atomic.Int64
	// lastProgress is when the last byte of a response was received, or when
	// the first of the requests in flight was sent if that was later, in ns
	// since the Unix epoch.
	lastProgress atomic.Int64
	// responses counts responses that have started.
	responses atomic.Int64
	// consecutiveFailures is reset by a response. The server is not used before
	// avoidUntil, in ns since the Unix epoch.
	consecutiveFailures atomic.Int64
	avoidUntil          atomic.Int64
}

// candidate is a member with a ready backend server, and its observed load.
type candidate struct {
	member *cluster.Member
	load   *backendLoad
}

// candidateSet holds the candidates of a view by service.
type candidateSet struct {
	view      *view.View
	byService map[string][]candidate
}

// backendPool picks backend servers for services that are not divided by key.
// What a backend server reports about itself, its slots included, never raises
// its share of requests; only the observations of this node do.
type backendPool struct {
	loads  sync.Map
	cached atomic.Pointer[candidateSet]
}

func newBackendPool() *backendPool { return &backendPool{} }

// candidates groups the members of a view by service and caches the result.
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

// prune removes the load of members that have left.
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
// none. tried holds members at which this request has failed; they are picked
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

// fallback compares all candidates. It returns the best usable one, or else the
// one that was not tried and whose penalty ends first.
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
	if usable, otherUsable := c.usable(tried, now), other.usable(tried, now); usable != otherUsable {
		return usable
	} else if usable {
		return c.load.fasterThan(other.load, now)
	}
	if wasTried, otherTried := tried[c.member.Name], tried[other.member.Name]; wasTried != otherTried {
		return otherTried
	}
	return c.load.avoidUntil.Load() < other.load.avoidUntil.Load()
}

// usable reports whether the candidate may be drawn. After a failure it gets a
// single request at a time until one is answered. A new one may have at most
// one request in flight more than it has answered, so that a cold backend
// server is not overloaded.
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

// fasterThan reports whether a request is expected to end sooner here than at
// other.
func (l *backendLoad) fasterThan(other *backendLoad, now time.Time) bool {
	latency, otherLatency := l.expectedLatency(now), other.expectedLatency(now)
	if l.avgLatency.Load() == 0 || other.avgLatency.Load() == 0 {
		// Until both have responded, only the numbers of requests in flight are
		// compared.
		latency, otherLatency = 1, 1
	}
	return latency*float64(l.inFlight(now)+1) < otherLatency*float64(other.inFlight(now)+1)
}

// inFlight returns the greater of the number of requests that this node has in
// flight there and the number that the gate reported recently.
func (l *backendLoad) inFlight(now time.Time) int64 {
	n := l.ownInFlight.Load()
	if now.UnixNano()-l.reportedAt.Load() < int64(maxReportAge) {
		n = max(n, l.reportedInFlight.Load())
	}
	return n
}

// expectedLatency estimates the latency. Requests in flight without progress
// raise it as soon as they take longer than the average, so a frozen backend
// server is avoided long before the deadlines of its requests pass.
func (l *backendLoad) expectedLatency(now time.Time) float64 {
	latency := l.avgLatency.Load()
	if l.ownInFlight.Load() > 0 {
		latency = max(latency, now.UnixNano()-l.lastProgress.Load())
	}
	return float64(latency + int64(latencyOffset))
}

// requestSent counts a request that is sent.
func (l *backendLoad) requestSent(now time.Time) {
	if l.ownInFlight.Add(1) == 1 {
		l.lastProgress.Store(now.UnixNano())
	}
}

// requestEnded removes a request from the count in flight.
func (l *backendLoad) requestEnded() { l.ownInFlight.Add(-1) }

// recordProgress records that bytes of a response were received.
func (l *backendLoad) recordProgress(now time.Time) { l.lastProgress.Store(now.UnixNano()) }

// recordResponse records the start of a response.
func (l *backendLoad) recordResponse(latency time.Duration, now time.Time) {
	l.responses.Add(1)
	l.recordProgress(now)
	l.consecutiveFailures.Store(0)
	l.avoidUntil.Store(0)
	oldLatency := l.avgLatency.Load()
	if oldLatency == 0 {
		l.avgLatency.Store(max(int64(latency), 1))
		return
	}
	l.avgLatency.Store(oldLatency + (int64(latency)-oldLatency)/latencyEWMADivisor)
}

// recordFailure records a failure and starts the penalty of the server.
func (l *backendLoad) recordFailure(now time.Time) {
	penalty := maxPenalty
	if doublings := l.consecutiveFailures.Add(1) - 1; doublings < maxPenaltyDoublings {
		penalty = min(minPenalty<<doublings, maxPenalty)
	}
	l.avoidUntil.Store(now.Add(penalty).UnixNano())
}

// recordReport records the number of requests in flight that the gate reported.
func (l *backendLoad) recordReport(inFlight uint32, now time.Time) {
	l.reportedInFlight.Store(int64(inFlight))
	l.reportedAt.Store(now.UnixNano())
}

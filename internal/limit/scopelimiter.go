package limit

import (
	"math"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/contract"
)

// scopeLimiter is one node's limiter for one scope: the node's share, the bucket
// that the share fills, and the demand that determines the next share request.
type scopeLimiter struct {
	terms contract.Terms
	// memberCount is the number of nodes that the reserve is divided by.
	memberCount int
	share       Share
	// expiry is when the share expires; zero if there is no share.
	expiry clock.Mono
	bucket bucket
	// waiting is the number of requests that wait at this node.
	waiting int

	// arrivals counts the requests since lastEstimate; demand is the estimated
	// rate in requests per second.
	arrivals     int
	demand       float64
	lastEstimate clock.Mono
	lastArrival  clock.Mono
	// firstShareDeadline is the time until which requests may wait for a first
	// share of unknown size.
	firstShareDeadline clock.Mono

	seq         uint64
	lastRequest clock.Mono
	// requestPending is true while a grant is outstanding.
	requestPending bool
	// requestNow makes the next share request due immediately.
	requestNow bool
	// growthDenied is true if the last grant was below the requested rate and
	// hardly above the share held before.
	growthDenied bool
	// lastWantRate is the rate of the last share request.
	lastWantRate float64
}

func newScopeLimiter(terms contract.Terms, members int, now clock.Mono) *scopeLimiter {
	s := &scopeLimiter{terms: terms, memberCount: members, lastEstimate: now, lastArrival: now}
	s.bucket.lastFill = now
	s.updateBucket()
	return s
}

// updateBucket sets the bucket's rate and burst from the share, or from the
// reserve if there is none.
func (s *scopeLimiter) updateBucket() {
	if s.expiry == 0 {
		s.bucket.rate = s.terms.Rate * reserveFraction / float64(max(1, s.memberCount))
		s.bucket.burst = 0
		return
	}
	// The terms may have been lowered since the share was granted.
	s.bucket.rate = min(s.share.Rate, s.terms.Rate)
	s.bucket.burst = min(s.share.Burst, float64(s.terms.Burst))
}

// advance fills the bucket up to now and drops the share if it has expired.
func (s *scopeLimiter) advance(now clock.Mono) {
	if s.expiry != 0 && now >= s.expiry {
		s.bucket.fill(s.expiry, s.waiting > 0)
		s.share = Share{}
		s.expiry = 0
		s.updateBucket()
	}
	s.bucket.fill(now, s.waiting > 0)
}

// recordArrival counts a request.
func (s *scopeLimiter) recordArrival(now clock.Mono) {
	s.advance(now)
	if s.expiry == 0 && (s.seq == 0 || s.idle(now)) {
		s.firstShareDeadline = now.Add(grantTimeout)
	}
	s.arrivals++
	s.lastArrival = now
}

// maxWaiting returns how many requests may wait at this node. Requests that
// arrive after an idle period may wait for the first share, up to the whole
// contract; otherwise a node without a share may queue only its part of the
// reserve.
func (s *scopeLimiter) maxWaiting(now clock.Mono) int {
	switch {
	case s.expiry != 0:
		return min(s.share.MaxWaiting, s.terms.MaxWaiting)
	case now < s.firstShareDeadline:
		return s.terms.MaxWaiting
	default:
		return int(math.Ceil(float64(s.terms.MaxWaiting) * reserveFraction / float64(max(1, s.memberCount))))
	}
}

// estimatedWait returns the expected wait of a new request. While a first share
// is outstanding it is at most one round trip.
func (s *scopeLimiter) estimatedWait(now clock.Mono) time.Duration {
	wait := s.bucket.timeUntil(float64(s.waiting + 1))
	if s.expiry == 0 && now < s.firstShareDeadline {
		return min(wait, firstShareEstimate)
	}
	return wait
}

// updateDemand updates the moving average of the arrival rate.
func (s *scopeLimiter) updateDemand(now clock.Mono) {
	elapsed := now.Sub(s.lastEstimate)
	if elapsed < estimateInterval {
		return
	}
	currentRate := float64(s.arrivals) / elapsed.Seconds()
	timeConstant := fallTimeConstant
	if currentRate > s.demand {
		timeConstant = riseTimeConstant
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
	s.demand += (currentRate - s.demand) * weight
	s.arrivals = 0
	s.lastEstimate = now
}

// wantRate returns the rate to request.
func (s *scopeLimiter) wantRate(now clock.Mono) float64 {
	if s.idle(now) {
		return 0
	}
	currentRate := float64(s.arrivals) / estimateInterval.Seconds()
	want := max(s.demand, currentRate)*demandFactor + float64(s.waiting)
	// The minimum keeps a customer with few requests from waiting for tokens.
	return max(want, s.terms.Rate/float64(4*max(1, s.memberCount)))
}

// idle reports whether no request waits and none has arrived for idleTimeout.
func (s *scopeLimiter) idle(now clock.Mono) bool {
	return s.waiting == 0 && now.Sub(s.lastArrival) >= idleTimeout
}

// nextRequest returns the share request that is due now, if any.
func (s *scopeLimiter) nextRequest(now clock.Mono) (ShareRequest, bool) {
	s.advance(now)
	s.updateDemand(now)
	want := s.wantRate(now)
	if !s.requestDue(now, want) {
		return ShareRequest{}, false
	}
	s.seq++
	s.lastWantRate = want
	s.lastRequest = now
	s.requestPending = true
	s.requestNow = false
	return ShareRequest{Seq: s.seq, WantRate: want, Held: s.share}, true
}

// requestDue reports whether a share request is due.
func (s *scopeLimiter) requestDue(now clock.Mono, want float64) bool {
	since := now.Sub(s.lastRequest)
	switch {
	case s.requestNow:
		return true
	case s.requestPending:
		return since >= grantTimeout
	case want == 0:
		return s.expiry != 0
	case s.expiry == 0:
		return s.seq == 0 || since >= growRequestInterval
	case since >= renewInterval:
		return true
	case s.share.Rate >= growUtilization*leasableRate(s.terms.Rate):
		return false
	case want <= s.share.Rate*growUtilization*demandFactor:
		return false
	case s.growthDenied && want < s.lastWantRate*demandFactor:
		return since >= unmetRequestInterval
	default:
		return since >= growRequestInterval
	}
}

// applyGrant applies a grant or a recall. It ignores answers to any request but
// the latest, because the allocator has treated the earlier ones as void.
func (s *scopeLimiter) applyGrant(now clock.Mono, g Grant) {
	s.advance(now)
	if g.Seq != s.seq {
		return
	}
	if g.Recall {
		s.applyRecall(g.Share)
		return
	}
	if !s.requestPending {
		return
	}
	s.requestPending = false
	s.growthDenied = g.Share.Rate < s.lastWantRate*growUtilization && g.Share.Rate <= s.share.Rate*demandFactor
	s.share = g.Share
	s.expiry = s.lastRequest.Add(g.TTL)
	if g.Share.Rate <= 0 {
		s.expiry = 0
	}
	s.updateBucket()
	s.bucket.tokens += g.Tokens
	s.bucket.fill(now, s.waiting > 0)
}

// applyRecall lowers the share and makes a new request due.
func (s *scopeLimiter) applyRecall(to Share) {
	s.requestNow = true
	if s.expiry == 0 {
		return
	}
	s.share = Share{min(s.share.Rate, to.Rate), min(s.share.Burst, to.Burst), min(s.share.MaxWaiting, to.MaxWaiting)}
	s.updateBucket()
}

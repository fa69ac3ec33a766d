package limit

import (
	"math"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/contract"
)

// portion is one node's part in a scope: its share, the bucket that the share
// fills, and the demand that decides what it asks for.
type portion struct {
	terms contract.Terms
	// members is the number of nodes that split the reserve.
	members int
	share   Share
	// until is when the share lapses; zero before the first.
	until  clock.Mono
	bucket bucket
	// waiting is the number of requests that wait here.
	waiting int

	arrivals     int
	demand       float64
	lastEstimate clock.Mono
	lastArrival  clock.Mono
	// awaiting is until when requests may wait for a first share although
	// nothing is known of its size.
	awaiting clock.Mono

	seq     uint64
	lastAsk clock.Mono
	// asked is true while a grant is awaited.
	asked bool
	// urgent orders to ask at the next opportunity.
	urgent bool
	// stalled is true if the last grant was less than wanted and did not add to
	// the share.
	stalled bool
	// lastWant is what the last ask wanted.
	lastWant float64
}

func newPortion(terms contract.Terms, members int, now clock.Mono) *portion {
	p := &portion{terms: terms, members: members, lastEstimate: now, lastArrival: now}
	p.bucket.last = now
	p.apply()
	return p
}

// apply sets the bucket by the share, or by the reserve if there is none.
func (p *portion) apply() {
	if p.until == 0 {
		p.bucket.rate = p.terms.Rate * reserve / float64(max(1, p.members))
		p.bucket.burst = 0
		return
	}
	// The share may come from terms that were lowered since.
	p.bucket.rate = min(p.share.Rate, p.terms.Rate)
	p.bucket.burst = min(p.share.Burst, float64(p.terms.Burst))
}

// advance fills the bucket up to now and drops a share that lapsed meanwhile.
func (p *portion) advance(now clock.Mono) {
	if p.until != 0 && now >= p.until {
		p.bucket.fill(p.until, p.waiting > 0)
		p.share = Share{}
		p.until = 0
		p.apply()
	}
	p.bucket.fill(now, p.waiting > 0)
}

// arrive counts a request.
func (p *portion) arrive(now clock.Mono) {
	p.advance(now)
	if p.until == 0 && (p.seq == 0 || p.idle(now)) {
		p.awaiting = now.Add(answerTimeout)
	}
	p.arrivals++
	p.lastArrival = now
}

// maxWaiting is how many requests may wait here. A burst after a pause may
// wait for the first share; without one only a part of the reserve may.
func (p *portion) maxWaiting(now clock.Mono) int {
	switch {
	case p.until != 0:
		return min(p.share.Waiting, p.terms.MaxWaiting)
	case now < p.awaiting:
		return p.terms.MaxWaiting
	default:
		return int(math.Ceil(float64(p.terms.MaxWaiting) * reserve / float64(max(1, p.members))))
	}
}

// wait estimates how long a new request waits. While the first share is on its
// way the estimate is one round trip.
func (p *portion) wait(now clock.Mono) time.Duration {
	w := p.bucket.wait(float64(p.waiting + 1))
	if p.until == 0 && now < p.awaiting {
		return min(w, firstShareWait)
	}
	return w
}

// estimate brings the demand up to date.
func (p *portion) estimate(now clock.Mono) {
	dt := now.Sub(p.lastEstimate)
	if dt < estimateInterval {
		return
	}
	present := float64(p.arrivals) / dt.Seconds()
	window := shrinkWindow
	if present > p.demand {
		window = growWindow
	}
	weight := 1 - math.Exp(-dt.Seconds()/window.Seconds())
	p.demand += (present - p.demand) * weight
	p.arrivals = 0
	p.lastEstimate = now
}

// want is the rate to ask for.
func (p *portion) want(now clock.Mono) float64 {
	if p.idle(now) {
		return 0
	}
	present := float64(p.arrivals) / estimateInterval.Seconds()
	w := max(p.demand, present)*demandMargin + float64(p.waiting)
	// A floor keeps a customer with few requests from waiting for tokens.
	return max(w, p.terms.Rate/float64(4*max(1, p.members)))
}

func (p *portion) idle(now clock.Mono) bool {
	return p.waiting == 0 && now.Sub(p.lastArrival) >= idleTimeout
}

// ask returns the ask that is due now, if any.
func (p *portion) ask(now clock.Mono) (Ask, bool) {
	p.advance(now)
	p.estimate(now)
	want := p.want(now)
	if !p.due(now, want) {
		return Ask{}, false
	}
	p.seq++
	p.lastWant = want
	p.lastAsk = now
	p.asked = true
	p.urgent = false
	return Ask{Seq: p.seq, Want: want, Held: p.share}, true
}

// due reports whether to ask now.
func (p *portion) due(now clock.Mono, want float64) bool {
	since := now.Sub(p.lastAsk)
	switch {
	case p.urgent:
		return true
	case p.asked:
		return since >= answerTimeout
	case want == 0:
		return p.until != 0
	case p.until == 0:
		return p.seq == 0 || since >= growInterval
	case since >= renewInterval:
		return true
	case p.share.Rate >= growThreshold*leasable(p.terms.Rate):
		return false
	case want <= p.share.Rate*growThreshold*demandMargin:
		return false
	case p.stalled && want < p.lastWant*demandMargin:
		return since >= unmetInterval
	default:
		return since >= growInterval
	}
}

// grant takes a grant or obeys a recall. Only the answer to the newest ask
// counts: the holder has taken all earlier ones as void.
func (p *portion) grant(now clock.Mono, g Grant) {
	p.advance(now)
	if g.Seq != p.seq {
		return
	}
	if g.Recall {
		p.recall(g.Share)
		return
	}
	if !p.asked {
		return
	}
	p.asked = false
	p.stalled = g.Share.Rate < p.lastWant*growThreshold && g.Share.Rate <= p.share.Rate*demandMargin
	p.share = g.Share
	p.until = p.lastAsk.Add(g.TTL)
	if g.Share.Rate <= 0 {
		p.until = 0
	}
	p.apply()
	p.bucket.tokens += g.Tokens
	p.bucket.fill(now, p.waiting > 0)
}

// recall lowers the share and has the node ask again.
func (p *portion) recall(to Share) {
	p.urgent = true
	if p.until == 0 {
		return
	}
	p.share = Share{min(p.share.Rate, to.Rate), min(p.share.Burst, to.Burst), min(p.share.Waiting, to.Waiting)}
	p.apply()
}

// Package locality chooses a backend server for a request of a service that is not
// divided by keys. A request stays in the zone of its entry while a server there is
// predicted to answer it by its target. The package reads no clock and is not safe for
// concurrent use.
package locality

import (
	"slices"
	"time"

	"fulmarhinge/internal/fleet"
)

const (
	// zoneDistance is the time by which a round trip to another zone is longer. The
	// zones of the deployments are 0.9 and 1.4 ms apart, one way.
	zoneDistance = 3 * time.Millisecond
	// crossTimePerByte is what a crossing has to gain for each byte of request and
	// response: three times their transfer at 10 Mbit/s, the slowest link.
	crossTimePerByte = 3 * 800 * time.Nanosecond
	// crossWorkShare is what a crossing has to gain besides, as a share of the mean
	// service time of the route. Server speeds differ by more than that.
	crossWorkShare = 0.25
	// crossDistances is what it has to gain besides, in distances between zones.
	crossDistances = 4
	// minLateGain is the least difference between the probabilities to be late in the zone
	// and elsewhere for which a request without a body and with an empty response crosses.
	// In the simulated load, 0.05 let twice as many payouts and ledger calls cross for
	// 0.002 more of them in time; with 0.1, 0.007 fewer were in time when the demand of a
	// zone doubled.
	minLateGain = 0.07
	// lateGainBytes is the size of request and response at which that difference is twice
	// as large, and maxLateGain its upper limit.
	lateGainBytes = 16 << 10
	maxLateGain   = 0.15
	// maxLateShare is the probability to be late above which the target is taken for
	// missed, so that an earlier response elsewhere may be worth a crossing.
	maxLateShare = 0.5
	// jitter is the relative range of the random factor that spreads requests over
	// servers with nearly equal predictions.
	jitter = 0.1
)

// Crossing is the reason why a request leaves its zone. The zero value means that it
// stays.
type Crossing int

// Reasons for a crossing.
const (
	// NoServer means that the zone has no server that could be chosen.
	NoServer Crossing = iota + 1
	// Target means that a server in another zone is clearly more likely to answer by the
	// target.
	Target
	// Gain means that no server is, and one in another zone is predicted to answer much
	// earlier.
	Gain
)

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Route string
	// Target is the time left until the latency target; 0 or less if there is none or it
	// has passed. Deadline is the time left until the deadline.
	Target, Deadline time.Duration
	// Priority is that of the route; 0 is the highest.
	Priority int
	// Bulk marks a large response, which waits for the link of the server's node.
	Bulk bool
}

// Choice is the result of Balancer.Choose.
type Choice struct {
	// Member is nil if there is no server to choose.
	Member   *fleet.Member
	Crossing Crossing
	// Predicted is the predicted time until the response.
	Predicted time.Duration
}

// Balancer holds what one entry knows about the backend servers.
type Balancer struct {
	self, zone string
	random     func() float64
	servers    map[string]*server
	routes     map[string]*routeStats
	services   map[string]*average
}

// New returns a balancer for the entry at node self in the zone. random returns numbers
// from 0 to 1.
func New(self, zone string, random func() float64) *Balancer {
	return &Balancer{
		self: self, zone: zone, random: random,
		servers: map[string]*server{}, routes: map[string]*routeStats{}, services: map[string]*average{},
	}
}

// option is the best server of a zone, or of all other zones.
type option struct {
	member *fleet.Member
	// predicted is the predicted time until the response, in ns, including jitter.
	predicted float64
	avoided   bool
}

// Choose chooses one of the members that are not in tried, and counts the request as in
// flight there.
func (b *Balancer) Choose(now time.Time, members []*fleet.Member, tried []string, r Request) Choice {
	var near, far option
	route := b.route(r)
	for _, m := range members {
		if slices.Contains(tried, m.Name) {
			continue
		}
		o := b.option(now, m, b.server(m), r, route)
		o.predicted *= 1 - jitter/2 + jitter*b.random()
		b.keepBetter(&near, &far, o)
	}
	chosen, reason := b.decide(r, route, near, far)
	if chosen.member == nil {
		return Choice{}
	}
	s := b.server(chosen.member)
	s.inFlight++
	return Choice{Member: chosen.member, Crossing: reason, Predicted: time.Duration(chosen.predicted)}
}

// option returns a member as an option, without jitter.
func (b *Balancer) option(now time.Time, m *fleet.Member, s *server, r Request, route *routeStats) option {
	return option{member: m, predicted: b.predict(now, m, s, r, route), avoided: now.Before(s.avoidUntil)}
}

// keepBetter replaces the best option of the zone, or that of all other zones, by o if o is
// better.
func (b *Balancer) keepBetter(near, far *option, o option) {
	best := near
	if o.member.Zone != b.zone {
		best = far
	}
	if best.member == nil || o.before(*best) {
		*best = o
	}
}

// before reports whether o is the better one of two servers of the same zone.
func (o option) before(p option) bool {
	if o.avoided != p.avoided {
		return p.avoided
	}
	return o.predicted < p.predicted
}

// decide chooses between the best server of the zone and the best one elsewhere.
func (b *Balancer) decide(r Request, route *routeStats, near, far option) (option, Crossing) {
	switch {
	case far.member == nil:
		return near, 0
	case near.member == nil:
		return far, NoServer
	case near.avoided != far.avoided:
		if far.avoided {
			return near, 0
		}
		return far, Target
	}
	nearLate, farLate := route.late(r, near), route.late(r, far)
	switch {
	case nearLate-farLate > min(minLateGain*(1+route.bytes.value/lateGainBytes), maxLateGain):
		return far, Target
	case nearLate > maxLateShare && near.predicted-far.predicted > route.crossingCost():
		return far, Gain
	}
	return near, 0
}

// late returns the probability that a response comes after the target, according to the
// errors of earlier predictions.
func (s *routeStats) late(r Request, o option) float64 {
	if r.Target <= 0 {
		return 1
	}
	return s.errors.beyond(float64(r.Target) / o.predicted)
}

// crossingCost returns what a crossing has to gain, in ns, if it does not decide about
// the target.
func (s *routeStats) crossingCost() float64 {
	return crossWorkShare*s.work.value + crossDistances*float64(zoneDistance) + float64(crossTimePerByte)*s.bytes.value
}

// Refused reports whether it is certain that no member answers by the deadline, and
// returns the earliest time after which one has capacity. It is certain only if all members
// have stated a rate whose wait is longer: in a fresh report, and even for a request that
// precedes all that wait, or while their servers are cold.
func (b *Balancer) Refused(now time.Time, members []*fleet.Member, r Request) (time.Duration, bool) {
	earliest := time.Duration(0)
	for i, m := range members {
		wait := b.peekServer(m).certainWait(now, r.Priority)
		if wait <= r.Deadline {
			return 0, false
		}
		if i == 0 || wait < earliest {
			earliest = wait
		}
	}
	return earliest, len(members) > 0
}

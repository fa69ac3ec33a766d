package locality

import (
	"time"

	"fulmarhinge/internal/fleet"
)

// String returns the reason as it stands in metrics and explanations: "stays",
// "no-server", "target" or "gain".
func (c Crossing) String() string {
	switch c {
	case NoServer:
		return "no-server"
	case Target:
		return "target"
	case Gain:
		return "gain"
	default:
		return "stays"
	}
}

// Candidate is a member as Choose would assess it.
type Candidate struct {
	Member *fleet.Member
	// Predicted is the predicted time until the response, without jitter.
	Predicted time.Duration
	// Late is the probability that the response comes after the target; 1 if there is no
	// target or it has passed.
	Late float64
	// AvoidedFor is how long the server is still avoided, 0 if it is not.
	AvoidedFor time.Duration
	// ColdLeft is the rest of the slow start that the last report stated, 0 if there is none.
	ColdLeft time.Duration
	// Wait is the wait for the limit and the rate of the server.
	Wait time.Duration
	// ReportAge is the age of Report, -1 if the server has not been heard of.
	ReportAge time.Duration
	Report    Report
	// InFlight counts the requests of this entry that have not ended.
	InFlight int
	// MayBeChosen is true if jitter can make this server the choice.
	MayBeChosen bool
}

// Explain returns what Choose would choose now without jitter, and all members in their
// order. It counts no request as in flight and changes nothing.
func (b *Balancer) Explain(now time.Time, members []*fleet.Member, r Request) (Choice, []Candidate) {
	var near, far option
	route := b.peekRoute(r)
	options := make([]option, len(members))
	out := make([]Candidate, len(members))
	for i, m := range members {
		s := b.peekServer(m)
		o := b.option(now, m, s, r, route)
		b.keepBetter(&near, &far, o)
		options[i] = o
		c := Candidate{
			Member: m, Predicted: time.Duration(o.predicted), Late: route.late(r, o), AvoidedFor: max(0, s.avoidUntil.Sub(now)),
			ReportAge: -1, Report: s.report, InFlight: s.inFlight,
		}
		if !s.reportedAt.IsZero() {
			c.ReportAge = now.Sub(s.reportedAt)
			c.ColdLeft = max(0, s.report.ColdLeft-c.ReportAge)
			c.Wait = s.paceWait(c.ReportAge, max(0, s.inFlight-s.inFlightAtReport))
		}
		out[i] = c
	}
	chosen, reason := b.decide(r, route, near, far)
	if chosen.member == nil {
		return Choice{}, out
	}
	for i, o := range options {
		sameSide := (o.member.Zone == b.zone) == (chosen.member.Zone == b.zone)
		out[i].MayBeChosen = sameSide && o.avoided == chosen.avoided &&
			o.predicted*(1-jitter/2) <= chosen.predicted*(1+jitter/2)
	}
	return Choice{Member: chosen.member, Crossing: reason, Predicted: time.Duration(chosen.predicted)}, out
}

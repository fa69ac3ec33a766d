package fleet

import "time"

// ServerNotice reports what the backend server has stated about itself in its
// responses.
type ServerNotice struct {
	Instance Instance
	// Limited is true if the server names a limit: it takes Limit requests per
	// second from all nodes together.
	Limited bool
	Limit   float64
	// Leaving is true once the server has stated that it leaves.
	Leaving bool
	// ColdLeft is how much longer the gate limits the server as cold, and ColdPerSecond the
	// rate that it keeps meanwhile; both are 0 if it does not.
	ColdLeft      time.Duration
	ColdPerSecond float64
}

func (ServerNotice) event() {}

// serverLimit is the limit that a backend server names. The zero value is none.
type serverLimit struct {
	named     bool
	perSecond float64
}

// minLimitedCapacity is the least capacity in requests per second of a server that
// names a limit; utilizations are relative to it.
const minLimitedCapacity = 1.0

// cap returns a capacity in requests per second, bounded by the limit.
func (l serverLimit) cap(capacity float64) float64 {
	if !l.named {
		return capacity
	}
	return min(capacity, max(l.perSecond, minLimitedCapacity))
}

// limitOf returns the limit in a member's last status, if that is of the server
// instance that the document lists.
func (p *planner) limitOf(m *Member) serverLimit {
	s := p.machine.leadership.statuses[m.Name]
	if s == nil || s.GetServer().GetId() != m.Server.ID || s.GetServer().GetBornMs() != m.Server.StartedMs {
		return serverLimit{}
	}
	return serverLimit{s.GetLimited(), s.GetLimit()}
}

// handleServerNotice records what the server has stated in its responses. The leader
// learns the limit with the next status, and moves load off the server.
func (m *Machine) handleServerNotice(e ServerNotice) {
	l := &m.local
	if e.Leaving && e.Instance.StartedMs != 0 {
		m.recordDeparture(e.Instance.ID, e.Instance.StartedMs, m.now)
	}
	if !l.alive || l.server.Instance != e.Instance {
		return
	}
	if l.limit.named != e.Limited {
		// A change of the value goes with the next status: a server may name
		// another one in each answer.
		m.sendStatusNow()
	}
	l.limit = serverLimit{e.Limited, e.Limit}
	m.recordCold(e)
}

package fleet

import (
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/wire"
)

// coldState is what the gate states of the slow start of its server. The zero value means
// that the server is warm.
type coldState struct {
	until     clock.Mono
	perSecond float64
}

// recordCold records the slow start of the server. The leader learns of its start and end
// with a status at once.
func (m *Machine) recordCold(e ServerNotice) {
	l := &m.local
	if (e.ColdLeft > 0) != (l.cold.until > m.now) {
		m.sendStatusNow()
	}
	l.cold = coldState{}
	if e.ColdLeft > 0 {
		l.cold = coldState{until: m.now.Add(e.ColdLeft), perSecond: e.ColdPerSecond}
	}
}

// setCold sets the slow start of the server in a status.
func (m *Machine) setCold(s *wire.NodeStatus) {
	if left := m.local.cold.until.Sub(m.now); m.local.cold.until > 0 && left > 0 {
		s.ColdLeftMs, s.ColdPerSecond = uint32(left.Milliseconds()+1), m.local.cold.perSecond
	}
}

// coldOf reports whether a member's server is cold by the member's last status, and the
// requests per second that it takes meanwhile.
func (p *planner) coldOf(m *Member) (cold bool, perSecond float64) {
	s := p.machine.leadership.statuses[m.Name]
	if s == nil || s.GetServer().GetId() != m.Server.ID || s.GetServer().GetBornMs() != m.Server.StartedMs {
		return false, 0
	}
	left := time.Duration(s.GetColdLeftMs())*time.Millisecond - p.machine.now.Sub(s.receivedAt)
	return left > 0, s.GetColdPerSecond()
}

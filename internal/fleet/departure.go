package fleet

import (
	"time"

	"fulmarhinge/internal/clock"
)

// A backend server that leaves is not used again, so what it says of that is kept whether or
// not this node knows the server at the time: the node may have just started, the server may
// have been silent, and calls may arrive late or in another order.

const (
	// earlierDeparture is how long ago a departure is taken to be that an earlier process of
	// this node acknowledged: every drain period is over by then.
	earlierDeparture = time.Hour
	// maxDepartures bounds the ids whose departures are kept. One server runs at a time
	// beside a node.
	maxDepartures = 16
)

// departure is what is known of the leaving of the server instances with one id.
type departure struct {
	// startedBy is the latest start, in ms since the Unix epoch, of an instance that
	// leaves. Instances that started later do not.
	startedBy int64
	// since is when the node first knew of it.
	since clock.Mono
}

// recordDeparture records that the server instances with this id leave that had started by
// a time in ms since the Unix epoch.
func (m *Machine) recordDeparture(id string, startedBy int64, since clock.Mono) {
	l := &m.local
	if known, ok := l.departures[id]; ok && known.startedBy >= startedBy {
		return
	}
	if len(l.departures) >= maxDepartures {
		oldest := id
		for other, d := range l.departures {
			if oldest == id || d.since < l.departures[oldest].since {
				oldest = other
			}
		}
		delete(l.departures, oldest)
	}
	l.departures[id] = departure{startedBy, since}
	m.note("backend server is leaving", "id", id, "started_by", startedBy, "known", l.server.ID == id, "alive", l.alive)
	m.sendStatusNow()
	if m.hasLeft(l.server.Instance) {
		l.server.Ready = false
	}
}

// hasLeft reports whether a server instance is known to be leaving. It does not come back,
// whatever it reports.
func (m *Machine) hasLeft(instance Instance) bool {
	d, known := m.local.departures[instance.ID]
	return known && instance.StartedMs <= d.startedBy
}

// LeavingSince returns since when a server instance is known to be leaving.
func (m *Machine) LeavingSince(instance Instance) (clock.Mono, bool) {
	return m.local.departures[instance.ID].since, m.hasLeft(instance)
}

// Deregistration is the announcement of a server that it is leaving and will not report again.
type Deregistration struct {
	ID string
	// StartedMs is the start of the instance in ms since the Unix epoch, 0 if it is not
	// stated.
	StartedMs int64
	// ReceivedMs is when the call was received, in ms since the Unix epoch.
	ReceivedMs int64
}

// Deregister records a deregistration. One that does not state its instance is that of the
// instance which this node or the document knows, else of any that had started by then.
func (m *Machine) Deregister(now clock.Mono, d Deregistration) {
	m.now = max(m.now, now)
	startedBy, listed := d.StartedMs, m.listedServer()
	switch {
	case startedBy != 0:
	case m.local.server.ID == d.ID:
		startedBy = m.local.server.StartedMs
	case listed != nil && listed.ID == d.ID:
		startedBy = listed.StartedMs
	default:
		startedBy = d.ReceivedMs
	}
	m.recordDeparture(d.ID, startedBy, m.now)
}

// adoptDeparture takes over from the document that the local server leaves, which an earlier
// process of this node acknowledged.
func (m *Machine) adoptDeparture() {
	if s := m.listedServer(); s != nil && !s.Ready {
		m.recordDeparture(s.ID, s.StartedMs, m.now.Add(-earlierDeparture))
	}
}

// listedServer returns the local server as the document lists it, nil if it does not.
func (m *Machine) listedServer() *Server {
	if m.doc == nil {
		return nil
	}
	if self := m.doc.Members[m.params.Self.Name]; self != nil {
		return self.Server
	}
	return nil
}

// reportedServer returns the local server as this node reports it to the leader, nil if there
// is none. A server that has left is reported until the next one starts, so that the document
// tells later processes of this node.
func (m *Machine) reportedServer() *Server {
	l := &m.local
	if l.alive || l.server.StartedMs != 0 && m.hasLeft(l.server.Instance) {
		return &l.server
	}
	if s := m.listedServer(); l.server.StartedMs == 0 && s != nil && m.hasLeft(s.Instance) {
		left := *s
		left.Ready = false
		return &left
	}
	return nil
}

package control

import (
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/placement"
	"fulmarhinge/internal/wire"
)

// Parameters of load reports.
const (
	// reportIntervalPerMember lengthens the report interval in proportion to
	// the fleet, so that load reports do not overload the controller of a
	// large fleet.
	reportIntervalPerMember = 50 * time.Millisecond
	// reportValidIntervals is the number of report intervals for which a report
	// is valid.
	reportValidIntervals = 3
)

// loadReport is the latest report of one member.
type loadReport struct {
	ref   cluster.MemberRef
	at    clock.Mono
	units map[cluster.Unit]unitLoad
}

type unitLoad struct {
	rate  float64
	epoch uint64
}

// addLoads adds the loads of all valid reports, including the last reports of
// members that are gone: these give the load of the units that must be placed
// again.
func (m *Machine) addLoads(in *placement.Input, c *serviceControl) {
	latest := map[cluster.Unit]unitLoad{}
	for _, r := range c.reports {
		if !m.isRecent(r) {
			continue
		}
		for u, l := range r.units {
			if old, known := latest[u]; !known || l.supersedes(old) {
				latest[u] = l
			}
		}
	}
	for u, l := range latest {
		in.Load[u] = l.rate
		if l.epoch > 0 {
			in.Serving[u] = l.epoch
		}
	}
}

// supersedes reports whether l takes precedence over another report on the
// same unit. A former owner keeps reporting its decaying average, without an
// epoch, so the report of the latest owner takes precedence.
func (l unitLoad) supersedes(old unitLoad) bool {
	if l.epoch != old.epoch {
		return l.epoch > old.epoch
	}
	return l.rate > old.rate
}

func (m *Machine) isRecent(r loadReport) bool {
	return r.at.Add(reportValidIntervals*m.reportInterval()) >= m.now
}

// allReported reports whether every owner has a valid report.
func (m *Machine) allReported(in placement.Input, c *serviceControl) bool {
	reported := func(a cluster.Assignment) bool {
		r, ok := c.reports[a.Owner.Name]
		return ok && r.ref == a.Owner && m.isRecent(r)
	}
	for i := range in.Shards {
		if !reported(in.Shards[i]) {
			return false
		}
	}
	for i := range in.Pins {
		if !reported(in.Pins[i].Assignment) {
			return false
		}
	}
	return true
}

// reportInterval is the time between two load reports of one node.
func (m *Machine) reportInterval() time.Duration {
	return max(balanceInterval, time.Duration(len(m.members))*reportIntervalPerMember)
}

func (m *Machine) onLoadSampled(e LoadSampled) { m.units.rates = e.Rates }

// reportLoad sends the units that this node serves and their load to all
// leading controllers, so that the next one knows the loads when the first is
// lost.
func (m *Machine) reportLoad(service string, c *serviceControl) {
	if c.nextReport > m.now {
		return
	}
	c.nextReport = m.now.Add(m.reportInterval())
	to := m.controllers(service)
	to = to[:min(len(to), leadingControllers)]
	r := m.buildReport(service)
	for _, p := range to {
		if p.MemberRef == m.self {
			m.onLoadReport(m.self, r)
			continue
		}
		if len(r.Units) > 0 {
			m.sendToMember(p.Name, &wire.Control{Body: &wire.Control_LoadReport{LoadReport: r}})
		}
	}
}

func (m *Machine) buildReport(service string) *wire.LoadReport {
	r := &wire.LoadReport{}
	add := func(u cluster.Unit, epoch uint64) {
		r.Units = append(r.Units, &wire.UnitLoad{
			Service: u.Service, Shard: uint32(u.Shard), Key: u.Key, Rate: m.units.rates[u], Epoch: epoch,
		})
	}
	for _, u := range sortedUnits(m.units.local) {
		if cur := m.units.local[u]; u.Service == service && cur.serving() {
			add(u, cur.epoch)
		}
	}
	for _, u := range sortedUnits(m.units.rates) {
		if u.Service == service && m.units.local[u] == nil {
			add(u, 0)
		}
	}
	return r
}

func (m *Machine) onLoadReport(from cluster.MemberRef, r *wire.LoadReport) {
	byService := map[string]map[cluster.Unit]unitLoad{}
	for _, l := range r.GetUnits() {
		u := cluster.Unit{Service: l.GetService(), Shard: int(l.GetShard()), Key: l.GetKey()}
		if byService[u.Service] == nil {
			byService[u.Service] = map[cluster.Unit]unitLoad{}
		}
		byService[u.Service][u] = unitLoad{rate: l.GetRate(), epoch: l.GetEpoch()}
	}
	for s, units := range byService {
		m.serviceControl(s).reports[from.Name] = loadReport{ref: from, at: m.now, units: units}
	}
}

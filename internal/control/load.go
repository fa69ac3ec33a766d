package control

import (
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/placement"
	"fulmarhinge/internal/wire"
)

// loadReport is the last report of one member.
type loadReport struct {
	ref   cluster.MemberRef
	at    clock.Mono
	units map[cluster.Unit]unitLoad
}

type unitLoad struct {
	rate  float64
	epoch uint64
}

// addLoads uses the reports that are recent and from living incarnations.
func (m *Machine) addLoads(in *placement.Input, c *serviceControl) {
	for _, r := range c.reports {
		if m.isGone(r.ref) || r.at.Add(loadKept*m.reportPeriod()) < m.now {
			continue
		}
		for u, l := range r.units {
			in.Load[u] = l.rate
			if l.epoch > 0 {
				in.Serving[u] = max(in.Serving[u], l.epoch)
			}
		}
	}
}

// reportPeriod is the time between two load reports of one node.
func (m *Machine) reportPeriod() time.Duration {
	return max(balanceEvery, time.Duration(len(m.members))*reportPerMember)
}

func (m *Machine) sampleLoad(e LoadSampled) { m.units.rates = e.Rates }

// reportLoad tells the first controller what this node serves and how much.
func (m *Machine) reportLoad(service string, c *serviceControl) {
	if c.nextReport > m.now {
		return
	}
	c.nextReport = m.now.Add(m.reportPeriod())
	first := m.controllers(service)
	if len(first) == 0 {
		return
	}
	r := m.buildReport(service)
	if first[0].MemberRef == m.self {
		m.onLoadReport(m.self, r)
		return
	}
	if len(r.Units) > 0 {
		m.sendTo(first[0].Name, &wire.Control{Body: &wire.Control_LoadReport{LoadReport: r}})
	}
}

func (m *Machine) buildReport(service string) *wire.LoadReport {
	r := &wire.LoadReport{PeriodMs: uint64(m.reportPeriod().Milliseconds())}
	add := func(u cluster.Unit, epoch uint64) {
		r.Units = append(r.Units, &wire.UnitLoad{
			Service: u.Service, Shard: uint32(u.Shard), Key: u.Key, Rate: m.units.rates[u], Epoch: epoch,
		})
	}
	for _, u := range sortedUnits(m.units.own) {
		if cur := m.units.own[u]; u.Service == service && cur.serving() {
			add(u, cur.epoch)
		}
	}
	for _, u := range sortedUnits(m.units.rates) {
		if u.Service == service && m.units.own[u] == nil {
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

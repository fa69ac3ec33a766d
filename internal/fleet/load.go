package fleet

// priorRPS is the load in requests per second that is assumed in addition for
// all keys of a service together, so that idle rows are spread as well.
const priorRPS = 20.0

// plannedLoad tracks the load and the rows that a plan assigns to each backend
// server.
type plannedLoad struct {
	names    []string
	capacity map[string]float64
	load     map[string]float64
	rows     map[string]int
	// warm holds the capacity of the servers that are not cold.
	warm map[string]float64
}

// newPlannedLoad sums the rows that each server has or is to receive.
func newPlannedLoad(p *planner, service string, usable []*Member, loads []float64) *plannedLoad {
	pl := &plannedLoad{capacity: map[string]float64{}, load: map[string]float64{}, rows: map[string]int{}, warm: map[string]float64{}}
	for _, m := range usable {
		pl.names = append(pl.names, m.Name)
		pl.capacity[m.Name] = p.capacity(m)
		if cold, perSecond := p.coldOf(m); cold {
			pl.capacity[m.Name] = min(pl.capacity[m.Name], max(perSecond, minLimitedCapacity))
		} else {
			pl.warm[m.Name] = pl.capacity[m.Name]
		}
	}
	for i, r := range p.doc.Tables[service] {
		to := r.Owner
		if r.Next != "" {
			to = r.Next
		}
		pl.add(to, loads[i])
	}
	return pl
}

func (pl *plannedLoad) add(name string, load float64) {
	pl.load[name] += load
	pl.rows[name]++
}

// leastLoaded returns the server whose utilization is lowest with the given
// load added.
func (pl *plannedLoad) leastLoaded(load float64) string { return pl.leastLoadedExcept("", load) }

// leastLoadedExcept is like leastLoaded but skips one server; it returns the
// empty string if no other exists. A server that has reached maxRowsPerServer
// is chosen only if all have. Warm servers are preferred while they have capacity: a cold
// one cannot serve a row's keys as well for some seconds.
func (pl *plannedLoad) leastLoadedExcept(except string, load float64) string {
	if len(pl.warm) < len(pl.names) {
		if best := pl.leastLoadedOf(except, load, pl.isWarm); best != "" && pl.hasRoom(best, load) {
			return best
		}
	}
	return pl.leastLoadedOf(except, load, func(string) bool { return true })
}

func (pl *plannedLoad) isWarm(name string) bool { return pl.warm[name] > 0 }

// hasRoom reports whether a server has capacity and place for another row of this load.
func (pl *plannedLoad) hasRoom(name string, load float64) bool {
	return pl.load[name]+load <= pl.capacity[name] && pl.rows[name] < maxRowsPerServer
}

// mayKeep reports whether rows of the earlier server instance of a node are assigned to the
// next one. If that is cold, it gets back what its slow start allows: if many servers restart
// at once, those that restart last still look warm, and would get the rows of all others.
func (pl *plannedLoad) mayKeep(name string, load float64) bool {
	if pl.isWarm(name) || pl.hasRoom(name, load) {
		return true
	}
	best := pl.leastLoadedOf("", load, pl.isWarm)
	return best == "" || !pl.hasRoom(best, load)
}

// leastLoadedOf is leastLoadedExcept among the servers that match.
func (pl *plannedLoad) leastLoadedOf(except string, load float64, matches func(name string) bool) string {
	best, bestRatio, bestFull := "", 0.0, false
	for _, name := range pl.names {
		if name == except || !matches(name) {
			continue
		}
		ratio := (pl.load[name] + load) / pl.capacity[name]
		full := pl.rows[name] >= maxRowsPerServer
		if best == "" || bestFull && !full || full == bestFull && ratio < bestRatio {
			best, bestRatio, bestFull = name, ratio, full
		}
	}
	return best
}

// defaultServiceMs is the service time in ms that is assumed before any server
// has measured one.
const defaultServiceMs = 100.0

// capacity returns how many requests per second a member's backend server can
// serve, at most the limit that it names.
func (p *planner) capacity(m *Member) float64 { return p.limitOf(m).cap(p.slotCapacity(m)) }

// slotCapacity returns how many requests per second a member's backend server can
// serve with its slots. One that has not served any requests yet counts with the
// mean service time of the others.
func (p *planner) slotCapacity(m *Member) float64 {
	slots := float64(max(1, m.Server.Slots))
	if s := p.machine.leadership.statuses[m.Name]; s != nil && s.GetWorkMs() > 0 {
		return slots * 1000 / s.GetWorkMs()
	}
	totalMs, n := 0.0, 0
	for _, s := range p.machine.leadership.statuses {
		if s.GetServer().GetService() == m.Server.Service && s.GetWorkMs() > 0 {
			totalMs += s.GetWorkMs()
			n++
		}
	}
	if n == 0 {
		return slots * 1000 / defaultServiceMs
	}
	return slots * 1000 * float64(n) / totalMs
}

// rowLoads returns the load of each row of a service in requests per second:
// what the owners measured, plus a share of priorRPS in proportion to the
// number of keys.
func (p *planner) rowLoads(service string) []float64 {
	t := p.doc.Tables[service]
	out := make([]float64, len(t))
	for i, r := range t {
		out[i] = priorRPS * float64(r.To-r.From+1) / (MaxKey + 1)
	}
	for _, s := range p.machine.leadership.statuses {
		if s.GetServer().GetService() != service {
			continue
		}
		for _, l := range s.GetLoads() {
			addSpanLoad(t, out, int(l.GetFrom()), int(l.GetTo()), l.GetRate())
		}
	}
	return out
}

// addSpanLoad distributes a measured rate over the rows that its key range
// covers.
func addSpanLoad(t Table, out []float64, from, to int, rate float64) {
	width := float64(to - from + 1)
	for i := t.Locate(from); i >= 0 && i < len(t) && t[i].From <= to; i++ {
		overlap := min(t[i].To, to) - max(t[i].From, from) + 1
		out[i] += rate * float64(overlap) / width
	}
}

package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fulmarhinge/internal/clock"
)

const (
	// balanceInterval is the least time between two rebalancings of a service.
	// A hand-over takes about one report period at each server, and the loads
	// must be measured again after it.
	balanceInterval = time.Second
	// overloadRatio is the utilization of a backend server, relative to the
	// mean, above which rows are moved off it. targetRatio is the relative
	// utilization at which the moves stop.
	overloadRatio = 1.15
	targetRatio   = 1.03
	// minSourceUtilization is the fraction of its capacity that a backend
	// server must use for rows to be moved off it. Below it, requests hardly
	// wait and a move only has a cost.
	minSourceUtilization = 0.65
	// baseMoves and movesPerServer bound the moves of one rebalancing to
	// baseMoves plus movesPerServer for each server: the keys of each move are
	// not served during the hand-over.
	baseMoves      = 24
	movesPerServer = 1
	// minServiceRPS is the load of a service in requests per second, over all
	// servers, below which moving keys gains nothing.
	minServiceRPS = 40.0
)

// balanceState holds when each service may be rebalanced next.
type balanceState struct {
	nextAt map[string]clock.Mono
}

// keyRange is a range of keys of one owner that can be moved.
type keyRange struct {
	from, to int
	rps      float64
	// wholeRow is true if the range is a whole row, so that moving it does not
	// split a row.
	wholeRow bool
}

// balance moves keys off overloaded backend servers, for each service. This
// handles key ranges that become hot, and servers of different speed.
func (p *planner) balance() {
	for _, service := range p.doc.services() {
		if p.machine.keyedServices[service] && p.balanceDue(service) {
			p.balanceService(service)
		}
	}
}

// balanceDue reports whether a service may be rebalanced: balanceInterval has
// passed since the last time, and all rows have an owner and none is being
// handed over.
func (p *planner) balanceDue(service string) bool {
	b := &p.machine.leadership.balance
	if b.nextAt == nil {
		b.nextAt = map[string]clock.Mono{}
	}
	if p.machine.now < b.nextAt[service] {
		return false
	}
	moving := func(r Row) bool { return r.Next != "" || r.Owner == "" }
	return !slices.ContainsFunc(p.doc.Tables[service], moving)
}

func (p *planner) balanceService(service string) {
	usable := p.usable(service)
	maxCapacity := 0.0
	for _, m := range usable {
		maxCapacity = max(maxCapacity, p.capacity(m))
	}
	loads := p.measuredLoads(service, maxCapacity)
	total := 0.0
	for _, l := range loads {
		total += l
	}
	if len(usable) < 2 || total < minServiceRPS {
		return
	}
	b := newBalancing(p, service, usable, loads, maxCapacity)
	moved := b.run()
	if moved == 0 {
		return
	}
	p.machine.leadership.balance.nextAt[service] = p.machine.now.Add(balanceInterval)
	p.changed = true
	p.machine.note("load rebalanced", "service", service, "pieces", moved, "rate", int(total),
		"highest_before", b.highestBefore, "highest_after", b.utilization(b.busiest())/b.meanUtilization,
		"busiest", b.busiest(), "mean", b.meanUtilization, "busiest_rate", int(b.load[b.busiest()]),
		"busiest_capacity", int(b.capacity[b.busiest()]), "largest_left", int(b.maxRangeRPS(b.busiest())), "moves", strings.Join(b.moves, ", "))
}

// measuredLoads returns the measured load of each row in requests per second.
// The load of a single key counts only up to the capacity of the fastest
// server: no server can serve the excess, and counting it would raise the mean
// that the other servers are compared with.
func (p *planner) measuredLoads(service string, maxCapacity float64) []float64 {
	t := p.doc.Tables[service]
	out := make([]float64, len(t))
	for name, s := range p.machine.leadership.statuses {
		if s.GetServer().GetService() != service {
			continue
		}
		for _, l := range s.GetLoads() {
			from, to := int(l.GetFrom()), int(l.GetTo())
			rows := ownedRows(t, name, from, to)
			width := 0
			for _, i := range rows {
				width += min(t[i].To, to) - max(t[i].From, from) + 1
			}
			rate := l.GetRate()
			if from == to {
				rate = min(rate, maxCapacity)
			}
			for _, i := range rows {
				overlap := min(t[i].To, to) - max(t[i].From, from) + 1
				out[i] += rate * float64(overlap) / float64(width)
			}
		}
	}
	return out
}

// ownedRows returns the indexes of an owner's rows that overlap a range.
func ownedRows(t Table, owner string, from, to int) []int {
	var out []int
	for i := t.Locate(from); i >= 0 && i < len(t) && t[i].From <= to; i++ {
		if t[i].Owner == owner {
			out = append(out, i)
		}
	}
	return out
}

// balancing is the state of one rebalancing of a service.
type balancing struct {
	planner         *planner
	service         string
	names           []string
	load            map[string]float64
	capacity        map[string]float64
	rows            map[string]int
	ranges          map[string][]keyRange
	meanUtilization float64
	highestBefore   float64
	// cold marks the servers that get no rows, as they are cold.
	cold map[string]bool
	// moves lists the moves for the log.
	moves []string
}

func newBalancing(p *planner, service string, usable []*Member, loads []float64, maxCapacity float64) *balancing {
	b := &balancing{
		planner: p, service: service, load: map[string]float64{}, capacity: map[string]float64{},
		rows: map[string]int{}, ranges: map[string][]keyRange{}, cold: map[string]bool{},
	}
	total, capacity := 0.0, 0.0
	for _, m := range usable {
		b.names = append(b.names, m.Name)
		b.capacity[m.Name] = p.capacity(m)
		b.cold[m.Name], _ = p.coldOf(m)
		capacity += b.capacity[m.Name]
	}
	for i, r := range p.doc.Tables[service] {
		b.load[r.Owner] += loads[i]
		b.rows[r.Owner]++
		total += loads[i]
		b.ranges[r.Owner] = append(b.ranges[r.Owner], keyRange{from: r.From, to: r.To, rps: loads[i], wholeRow: true})
	}
	b.meanUtilization = total / capacity
	for _, name := range b.names {
		b.addPartialRows(name, maxCapacity)
	}
	return b
}

// addPartialRows adds the parts of rows that the owner measured separately.
func (b *balancing) addPartialRows(name string, maxCapacity float64) {
	s := b.planner.machine.leadership.statuses[name]
	if s == nil {
		return
	}
	t := b.planner.doc.Tables[b.service]
	for _, l := range s.GetLoads() {
		from, to := int(l.GetFrom()), int(l.GetTo())
		rows := ownedRows(t, name, from, to)
		if len(rows) != 1 || l.GetRate() <= 0 {
			continue
		}
		r := t[rows[0]]
		if start, end := max(from, r.From), min(to, r.To); start > r.From || end < r.To {
			rate := l.GetRate()
			if from == to {
				rate = min(rate, maxCapacity)
			}
			b.ranges[name] = append(b.ranges[name], keyRange{from: start, to: end, rps: rate})
		}
	}
}

// maxRangeRPS returns the load of a server's most loaded range in requests per
// second.
func (b *balancing) maxRangeRPS(name string) float64 {
	rate := 0.0
	for _, c := range b.ranges[name] {
		rate = max(rate, c.rps)
	}
	return rate
}

// utilization returns a server's load as a fraction of its capacity.
func (b *balancing) utilization(name string) float64 { return b.load[name] / b.capacity[name] }

func (b *balancing) busiest() string {
	return slices.MaxFunc(b.names, func(x, y string) int { return compareFloat(b.utilization(x), b.utilization(y)) })
}

// leastBusy returns the server with the lowest utilization that can take
// another row and is not cold; empty if there is none.
func (b *balancing) leastBusy() string {
	best := ""
	for _, name := range b.names {
		if !b.cold[name] && b.rows[name] < maxRowsPerServer && (best == "" || b.utilization(name) < b.utilization(best)) {
			best = name
		}
	}
	return best
}

func compareFloat(x, y float64) int {
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

// run moves ranges from the busiest server to the least busy one until none is
// overloaded, and returns how many it moved.
func (b *balancing) run() int {
	b.highestBefore = b.utilization(b.busiest()) / b.meanUtilization
	moved := 0
	for moved < baseMoves+movesPerServer*len(b.names) {
		from, to := b.busiest(), b.leastBusy()
		threshold := overloadRatio
		if moved > 0 {
			threshold = targetRatio
		}
		if to == "" || from == to || b.utilization(from) <= threshold*b.meanUtilization ||
			b.utilization(from) < minSourceUtilization {
			break
		}
		excess := b.load[from] - targetRatio*b.meanUtilization*b.capacity[from]
		room := targetRatio*b.meanUtilization*b.capacity[to] - b.load[to]
		i := b.chooseRange(from, to, min(excess, room))
		if i < 0 {
			break
		}
		b.move(from, to, i)
		moved++
	}
	return moved
}

// chooseRange returns the index of the range to move, or -1: the most loaded
// one that fits, else the least loaded one that makes the busier of the two
// servers less busy.
func (b *balancing) chooseRange(from, to string, maxRPS float64) int {
	best := -1
	for i, c := range b.ranges[from] {
		if c.rps <= 0 || c.rps > maxRPS || !c.wholeRow && b.rows[from]+1 >= maxRowsPerServer {
			continue
		}
		if best < 0 || c.rps > b.ranges[from][best].rps {
			best = i
		}
	}
	if best >= 0 {
		return best
	}
	for i, c := range b.ranges[from] {
		after := (b.load[to] + c.rps) / b.capacity[to]
		if c.rps <= 0 || after >= b.utilization(from)-0.1*b.meanUtilization ||
			!c.wholeRow && b.rows[from]+1 >= maxRowsPerServer {
			continue
		}
		if best < 0 || c.rps < b.ranges[from][best].rps {
			best = i
		}
	}
	return best
}

// move starts the hand-over of a range and removes all ranges that overlap it
// from the owner's ranges.
func (b *balancing) move(from, to string, index int) {
	c := b.ranges[from][index]
	t := b.planner.doc.Tables[b.service].split(c.from).split(c.to + 1)
	for i := t.Locate(c.from); i < len(t) && t[i].From <= c.to; i++ {
		if t[i].Owner == from {
			t[i].Next = to
		}
	}
	if len(b.moves) < maxLoggedRows {
		b.moves = append(b.moves, fmt.Sprintf("%d-%d %s>%s", c.from, c.to, from, to))
	}
	b.rows[from] += len(t) - len(b.planner.doc.Tables[b.service]) - 1
	b.rows[to]++
	b.planner.doc.Tables[b.service] = t
	b.load[from] -= c.rps
	b.load[to] += c.rps
	b.ranges[from] = slices.DeleteFunc(b.ranges[from], func(o keyRange) bool { return o.from <= c.to && o.to >= c.from })
}

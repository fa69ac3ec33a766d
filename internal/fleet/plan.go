package fleet

import (
	"cmp"
	"slices"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/wire"
)

const (
	// newRows is about how many rows a new service has. Rows of neighbouring
	// keys go to different servers, so that a stretch of busy keys is spread from
	// the start; each row costs room in every node's document.
	newRows = 600
	// minServerRows and maxServerRows bound the rows of one backend server then.
	minServerRows = 8
	maxServerRows = 80
	// maxRows bounds the rows of one backend server: the answer to a liveness
	// report holds all of them and is limited in size.
	maxRows = 150
)

// planner works out the next document.
type planner struct {
	doc     *Document
	changed bool
	m       *Machine
	// before is the last owner of the rows that this plan has freed.
	before map[uint64]string
}

// plan returns the document that the members' statuses call for, or nil if the
// present one is right.
func (m *Machine) plan() *Document {
	p := &planner{doc: m.doc.clone(), m: m, before: map[uint64]string{}}
	p.members()
	p.evict()
	p.releases()
	for _, service := range sortedServices(m.keyed) {
		p.found(service)
		p.assign(service)
		p.retarget(service)
	}
	p.balance()
	if !p.doc.Settled && m.settled() {
		p.doc.Settled = true
		p.changed = true
	}
	if !p.changed {
		return nil
	}
	for _, service := range p.doc.services() {
		p.doc.Tables[service] = merge(p.doc.Tables[service])
	}
	return p.doc
}

func sortedServices(keyed map[string]bool) []string {
	var out []string
	for s, yes := range keyed {
		if yes {
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return out
}

// members takes over what the members say of themselves.
func (p *planner) members() {
	for _, name := range sortedNames(p.m.lead.statuses) {
		s := p.m.lead.statuses[name]
		ref := cluster.MemberRef{Name: name, Incarnation: s.incarnation}
		mem := p.doc.Members[name]
		if p.m.now.Sub(s.at) > silenceLimit || mem != nil && mem.Incarnation > s.incarnation {
			continue
		}
		if mem == nil || mem.MemberRef != ref {
			mem = p.arrive(ref, mem, s)
		}
		if mem.Evicted {
			// The present incarnation is back before its rows went elsewhere.
			mem.Evicted = false
			p.changed = true
		}
		p.tenure(mem, s)
		p.server(mem, s)
	}
}

// arrive lists a new incarnation. An earlier one at the same address has ended,
// so its rows stay where they are.
func (p *planner) arrive(ref cluster.MemberRef, old *Member, s *heardStatus) *Member {
	mem := &Member{MemberRef: ref, Addr: s.GetPeerAddr(), Zone: s.GetZone(), Weight: s.GetWeight(), Operator: s.GetOperatorAddr()}
	if old != nil {
		mem.Server = old.Server
	}
	p.doc.Members[ref.Name] = mem
	p.changed = true
	p.m.note("member joins", "member", ref.String(), "addr", mem.Addr, "zone", mem.Zone)
	return mem
}

// tenure frees the rows of a member that gave them up.
func (p *planner) tenure(mem *Member, s *heardStatus) {
	if s.GetTenure() <= mem.Tenure {
		return
	}
	mem.Tenure = s.GetTenure()
	mem.Server = nil
	p.free(mem.Name)
	p.changed = true
}

// server takes over what a member says of its backend server. A member that
// has just started says nothing until the server's first report.
func (p *planner) server(mem *Member, s *heardStatus) {
	in := s.GetServer()
	if in == nil {
		return
	}
	now := Server{
		Life: Life{ID: in.GetId(), Born: in.GetBornMs()}, Service: in.GetService(),
		Slots: int(in.GetSlots()), Ready: in.GetReady(),
	}
	if mem.Server != nil && mem.Server.Life != now.Life && mem.Tenure == 0 && s.GetTenure() == 0 {
		// A new life without a new tenure: the earlier life was another
		// process's, and this one has granted nothing yet.
		p.free(mem.Name)
	}
	if mem.Server == nil || *mem.Server != now {
		mem.Server = &now
		p.changed = true
	}
	if mem.Leaving != s.GetLeaving() {
		mem.Leaving = s.GetLeaving()
		p.changed = true
	}
}

// free takes all rows from a member; nobody holds them any more.
func (p *planner) free(name string) {
	for _, service := range p.doc.services() {
		t := p.doc.Tables[service]
		for i := range t {
			if t[i].Owner == name {
				p.before[t[i].Epoch] = name
				t[i].Owner, t[i].Next, t[i].Token = "", "", ""
				p.changed = true
			}
		}
	}
}

// evict marks silent members, and frees the rows of marked ones once their
// leases have run out.
func (p *planner) evict() {
	l := p.m.lead
	for _, name := range p.doc.names() {
		mem := p.doc.Members[name]
		if name == p.m.p.Self.Name {
			continue
		}
		last := l.claimedAt
		if s := l.statuses[name]; s != nil {
			last = max(last, s.at)
		}
		silent := p.m.now.Sub(last)
		if !mem.Evicted {
			if silent > silenceLimit && p.m.now.Sub(l.proofAt) < p.m.p.Timing.Fresh {
				mem.Evicted = true
				p.changed = true
				p.m.note("member evicted", "member", mem.MemberRef.String(), "silent", silent)
			}
			continue
		}
		at, seen := l.evictedAt[name]
		wait := p.m.p.Timing.Lease * (100 + driftPercent) / 100
		if !seen || p.m.now < at.Add(wait) || !p.m.settled() {
			continue
		}
		p.free(name)
		if p.m.now >= at.Add(wait+forgetAfter) || mem.Server != nil {
			mem.Server = nil
			p.changed = true
		}
		if p.m.now >= at.Add(wait+forgetAfter) {
			delete(p.doc.Members, name)
			delete(l.statuses, name)
			p.changed = true
			p.dropNext(name)
		}
	}
}

// dropNext forgets a member that rows were to move to.
func (p *planner) dropNext(name string) {
	for _, service := range p.doc.services() {
		t := p.doc.Tables[service]
		for i := range t {
			if t[i].Next == name {
				t[i].Next = t[i].Owner
			}
		}
	}
}

// releases gives released rows to the member that waits for them.
func (p *planner) releases() {
	for _, name := range sortedNames(p.m.lead.statuses) {
		s := p.m.lead.statuses[name]
		mem := p.doc.Members[name]
		if mem == nil || mem.Incarnation != s.incarnation || mem.Tenure != s.GetTenure() || mem.Server == nil {
			continue
		}
		for _, r := range s.GetReleased() {
			p.release(name, mem.Server.Service, r)
		}
	}
}

func (p *planner) release(owner, service string, r *wire.ReleasedSpan) {
	from, to := int(r.GetFrom()), int(r.GetTo())
	t := p.doc.Tables[service]
	for i := 0; i < len(t); i++ {
		row := t[i]
		if row.Owner != owner || row.Epoch != r.GetEpoch() || row.Next == "" || row.From > to || row.To < from {
			continue
		}
		t = t.split(from).split(to + 1)
		i = t.Locate(max(from, row.From))
		p.doc.LastEpoch++
		t[i].Owner, t[i].Next, t[i].Epoch, t[i].Token = row.Next, "", p.doc.LastEpoch, r.GetToken()
		p.changed = true
	}
	p.doc.Tables[service] = t
}

// found makes the table of a new service once its backend servers are there.
func (p *planner) found(service string) {
	if p.doc.Tables[service] != nil {
		return
	}
	n := len(p.usable(service))
	if n == 0 {
		return
	}
	since, seen := p.m.lead.readySince[service]
	if !seen {
		p.m.lead.readySince[service] = p.m.now
		return
	}
	if p.m.now.Sub(since) < gatherFor {
		return
	}
	rows := n * min(max(newRows/n, minServerRows), maxServerRows)
	p.doc.Tables[service] = stripes(rows)
	p.changed = true
	p.m.note("service placed", "service", service, "servers", n, "rows", rows)
}

// stripes divides all keys into rows of equal width without an owner.
func stripes(n int) Table {
	t := make(Table, n)
	for i := range t {
		t[i].From = i * (MaxKey + 1) / n
		t[i].To = (i+1)*(MaxKey+1)/n - 1
	}
	return t
}

// usable returns the members that rows of a service may be placed on, in order.
func (p *planner) usable(service string) []*Member {
	var out []*Member
	for _, name := range p.doc.names() {
		if m := p.doc.Members[name]; m.usable(service) {
			out = append(out, m)
		}
	}
	return out
}

// assign gives rows without an owner to the backend servers: back to the
// server's next life beside the same node if there is one, else by load.
func (p *planner) assign(service string) {
	t := p.doc.Tables[service]
	if !slices.ContainsFunc(t, func(r Row) bool { return r.Owner == "" }) {
		return
	}
	usable := p.usable(service)
	if len(usable) == 0 {
		return
	}
	loads := p.rowLoads(service)
	shares := newShares(p, service, usable, loads)
	for i := range t {
		if t[i].Owner != "" {
			continue
		}
		to := p.before[t[i].Epoch]
		if to == "" || !p.doc.Members[to].usable(service) {
			to = shares.least(loads[i])
		}
		shares.add(to, loads[i])
		p.doc.LastEpoch++
		t[i].Owner, t[i].Next, t[i].Epoch, t[i].Token = to, "", p.doc.LastEpoch, ""
		p.changed = true
	}
}

// retarget moves rows off backend servers that leave, and points rows that are
// on the move to a server that is still there.
func (p *planner) retarget(service string) {
	t := p.doc.Tables[service]
	usable := p.usable(service)
	if len(usable) == 0 {
		return
	}
	var loads []float64
	var spread *shares
	for i := range t {
		owner := p.doc.Members[t[i].Owner]
		if owner == nil || owner.Evicted || owner.Server == nil || p.settledRow(service, &t[i]) {
			// Rows of an owner without a server are freed once nobody can hold
			// them.
			continue
		}
		if spread == nil {
			loads = p.rowLoads(service)
			spread = newShares(p, service, usable, loads)
		}
		to := spread.leastBut(t[i].Owner, loads[i])
		if to == "" && t[i].Next != "" {
			to = t[i].Owner
		}
		if to == "" || to == t[i].Next {
			continue
		}
		spread.add(to, loads[i])
		t[i].Next = to
		p.changed = true
	}
}

// settledRow reports whether a row may stay, or go on moving, as it is.
func (p *planner) settledRow(service string, r *Row) bool {
	if r.Next == "" {
		return p.doc.Members[r.Owner].usable(service)
	}
	return r.Next != r.Owner && p.doc.Members[r.Next].usable(service)
}

// merge joins neighbouring rows that are one in all but name.
func merge(t Table) Table {
	out := t[:0]
	for _, r := range t {
		if n := len(out); n > 0 {
			last := &out[n-1]
			if last.Epoch == r.Epoch && last.Owner == r.Owner && last.Next == r.Next && last.Token == r.Token {
				last.To = r.To
				continue
			}
		}
		out = append(out, r)
	}
	return out
}

func sortedNames[T any](set map[string]T) []string {
	out := make([]string, 0, len(set))
	for name := range set {
		out = append(out, name)
	}
	slices.SortFunc(out, cmp.Compare[string])
	return out
}

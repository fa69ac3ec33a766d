package fleet

import (
	"cmp"
	"slices"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/wire"
)

const (
	// initialRows is the approximate number of rows of a new service. Rows of
	// adjacent keys go to different servers, so that a busy key range is spread
	// from the start. Each row takes space in every node's document.
	initialRows = 600
	// minInitialRowsPerServer and maxInitialRowsPerServer bound the rows of one
	// backend server in a new table.
	minInitialRowsPerServer = 8
	maxInitialRowsPerServer = 72
	// maxRowsPerServer bounds the rows of one backend server: the answer to a
	// liveness report lists all of them and is limited in size.
	maxRowsPerServer = 150
	// mergedRowsPerServer is the number of rows for each usable server above
	// which rows of lost servers are assigned in runs.
	mergedRowsPerServer = 100
)

// planner computes the next document.
type planner struct {
	doc     *Document
	changed bool
	machine *Machine
	// previousOwner maps the epoch of each row that this plan has unassigned to
	// its last owner.
	previousOwner map[uint64]string
}

// plan returns the next document according to the members' statuses, or nil if
// the current one needs no change.
func (m *Machine) plan() *Document {
	p := &planner{doc: m.doc.clone(), machine: m, previousOwner: map[uint64]string{}}
	p.applyStatuses()
	p.storeSuspects()
	p.applyEvacuations()
	if p.doc.Recovered && !m.earlierLeasesExpired() {
		// Another member may hold rows that this document does not know of.
		return p.result()
	}
	p.confirmRows()
	p.evict()
	p.applyReleases()
	for _, service := range sortedServices(m.keyedServices) {
		p.createTable(service)
		p.assignUnowned(service)
		p.redirectMoves(service)
	}
	p.balance()
	if !p.doc.EarlierLeasesExpired && m.earlierLeasesExpired() {
		p.doc.EarlierLeasesExpired = true
		p.changed = true
	}
	return p.result()
}

// result returns the planned document, or nil if it is the current one.
func (p *planner) result() *Document {
	if !p.changed {
		return nil
	}
	p.takeSuspects()
	for _, service := range p.doc.services() {
		p.doc.Tables[service] = mergeRows(p.doc.Tables[service])
	}
	return p.doc
}

func sortedServices(keyedServices map[string]bool) []string {
	var out []string
	for s, divided := range keyedServices {
		if divided {
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return out
}

// applyStatuses updates the members from their recent statuses.
func (p *planner) applyStatuses() {
	for _, name := range sortedNames(p.machine.leadership.statuses) {
		s := p.machine.leadership.statuses[name]
		ref := cluster.MemberRef{Name: name, Incarnation: s.incarnation}
		mem := p.doc.Members[name]
		if p.machine.now.Sub(s.receivedAt) > evictionTimeout || mem != nil && mem.Incarnation > s.incarnation {
			continue
		}
		if mem == nil || mem.MemberRef != ref {
			mem = p.addMember(ref, mem, s)
		}
		if mem.Evicted {
			// The member's current incarnation reports again before its rows
			// were reassigned.
			mem.Evicted = false
			p.changed = true
		}
		p.applyGeneration(mem, s)
		p.applyServer(mem, s)
	}
}

// addMember lists a new incarnation. An earlier one at the same address has
// ended, so its rows stay assigned to the member.
func (p *planner) addMember(ref cluster.MemberRef, old *Member, s *memberStatus) *Member {
	mem := &Member{
		MemberRef: ref, Addr: s.GetPeerAddr(), Zone: s.GetZone(),
		Weight: s.GetWeight(), OperatorAddr: s.GetOperatorAddr(),
	}
	if old != nil {
		mem.Server = old.Server
	}
	p.doc.Members[ref.Name] = mem
	p.changed = true
	p.machine.note("member joins", "member", ref.String(), "addr", mem.Addr, "zone", mem.Zone)
	return mem
}

// applyGeneration unassigns the rows of a member that has given them up.
func (p *planner) applyGeneration(mem *Member, s *memberStatus) {
	if s.GetTenure() <= mem.Generation {
		return
	}
	mem.Generation = s.GetTenure()
	mem.Server = nil
	p.unassignRows(mem.Name)
	p.changed = true
}

// applyServer updates the backend server of a member. A member that has just
// started reports no server until the server's first report.
func (p *planner) applyServer(mem *Member, s *memberStatus) {
	in := s.GetServer()
	if in == nil {
		return
	}
	reported := Server{
		Instance: Instance{ID: in.GetId(), StartedMs: in.GetBornMs()}, Service: in.GetService(),
		Slots: int(in.GetSlots()), Ready: in.GetReady(),
	}
	if mem.Server != nil && mem.Server.Instance != reported.Instance && mem.Generation == 0 && s.GetTenure() == 0 {
		// A new server instance with generation 0 on both sides: rows were
		// granted to the earlier instance by an earlier process of the node,
		// and this process has granted none yet.
		p.unassignRows(mem.Name)
	}
	if mem.Server == nil || *mem.Server != reported {
		mem.Server = &reported
		p.changed = true
	}
	if mem.Leaving != s.GetLeaving() {
		mem.Leaving = s.GetLeaving()
		p.changed = true
	}
}

// unassignRows removes the owner of all rows of a member; nobody holds them any
// more.
func (p *planner) unassignRows(name string) {
	for _, service := range p.doc.services() {
		t := p.doc.Tables[service]
		for i := range t {
			if t[i].Owner == name {
				p.previousOwner[t[i].Epoch] = name
				t[i].Owner, t[i].Next, t[i].Token = "", "", ""
				p.changed = true
			}
		}
	}
}

// evict marks silent members as evicted, and unassigns the rows of evicted ones
// once their leases have run out.
func (p *planner) evict() {
	l := p.machine.leadership
	for _, name := range p.doc.names() {
		mem := p.doc.Members[name]
		if name == p.machine.params.Self.Name {
			continue
		}
		lastStatusAt := l.claimedAt
		if s := l.statuses[name]; s != nil {
			lastStatusAt = max(lastStatusAt, s.receivedAt)
		}
		silent := p.machine.now.Sub(lastStatusAt)
		if !mem.Evicted {
			if silent > evictionTimeout && p.machine.now.Sub(l.proofAt) < p.machine.params.Timing.MaxProofAge {
				mem.Evicted = true
				p.changed = true
				p.machine.note("member evicted", "member", mem.MemberRef.String(), "silent", silent)
			}
			continue
		}
		markedAt, seen := l.evictedAt[name]
		wait := p.machine.params.Timing.Lease * (100 + maxClockDriftPercent) / 100
		if !seen || p.machine.now < markedAt.Add(wait) || !p.machine.earlierLeasesExpired() {
			continue
		}
		p.unassignRows(name)
		if p.machine.now >= markedAt.Add(wait+evictedRetention) || mem.Server != nil {
			mem.Server = nil
			p.changed = true
		}
		if p.machine.now >= markedAt.Add(wait+evictedRetention) {
			delete(p.doc.Members, name)
			delete(l.statuses, name)
			p.changed = true
			p.clearDestination(name)
		}
	}
}

// clearDestination sets the destination of rows that were to move to a member
// back to their owner, so that redirectMoves chooses a new one.
func (p *planner) clearDestination(name string) {
	for _, service := range p.doc.services() {
		t := p.doc.Tables[service]
		for i := range t {
			if t[i].Next == name {
				t[i].Next = t[i].Owner
			}
		}
	}
}

// applyReleases assigns released rows to the members that they are to move to.
func (p *planner) applyReleases() {
	for _, name := range sortedNames(p.machine.leadership.statuses) {
		s := p.machine.leadership.statuses[name]
		mem := p.doc.Members[name]
		if mem == nil || mem.Incarnation != s.incarnation || mem.Generation != s.GetTenure() || mem.Server == nil {
			continue
		}
		for _, r := range s.GetReleased() {
			p.applyRelease(name, mem.Server.Service, r)
		}
	}
}

func (p *planner) applyRelease(owner, service string, r *wire.ReleasedSpan) {
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

// createTable creates the table of a new service once it has had backend
// servers for initialPlacementDelay.
func (p *planner) createTable(service string) {
	if p.doc.Tables[service] != nil {
		return
	}
	n := len(p.usable(service))
	if n == 0 {
		return
	}
	since, seen := p.machine.leadership.readySince[service]
	if !seen {
		p.machine.leadership.readySince[service] = p.machine.now
		return
	}
	if p.machine.now.Sub(since) < initialPlacementDelay {
		return
	}
	rows := n * min(max(initialRows/n, minInitialRowsPerServer), maxInitialRowsPerServer)
	p.doc.Tables[service] = equalRows(rows)
	p.changed = true
	p.machine.note("service placed", "service", service, "servers", n, "rows", rows)
}

// equalRows divides all keys into n rows of equal width without an owner.
func equalRows(n int) Table {
	t := make(Table, n)
	for i := range t {
		t[i].From = i * (MaxKey + 1) / n
		t[i].To = (i+1)*(MaxKey+1)/n - 1
	}
	return t
}

// mayOwn reports whether rows of a service may be assigned to the member. The rows of a
// zone under evacuation stay where they are while no member of another zone may own them.
func (p *planner) mayOwn(mem *Member, service string) bool {
	return mem.usable(service) && p.doc.InService(mem)
}

// usable returns the members that rows of a service may be assigned to, sorted
// by name.
func (p *planner) usable(service string) []*Member {
	var out []*Member
	for _, name := range p.doc.names() {
		if m := p.doc.Members[name]; p.mayOwn(m, service) {
			out = append(out, m)
		}
	}
	return out
}

// assignUnowned assigns rows without an owner: to the next server instance of
// the same node if there is one, as far as that is warm or its slow start allows, else by load. If the servers that are left would
// have too many rows, adjacent rows go to the same server, so that they merge.
func (p *planner) assignUnowned(service string) {
	t := p.doc.Tables[service]
	if !slices.ContainsFunc(t, func(r Row) bool { return r.Owner == "" }) {
		return
	}
	usable := p.usable(service)
	if len(usable) == 0 {
		return
	}
	loads := p.rowLoads(service)
	planned := newPlannedLoad(p, service, usable, loads)
	run := len(t)/(len(usable)*mergedRowsPerServer) + 1
	// Rows that one server gets in one plan share an epoch, so that they can merge.
	epochs := map[string]uint64{}
	last, lastIndex, length := "", len(t), 0
	for i := range t {
		if t[i].Owner != "" {
			continue
		}
		to := p.previousOwner[t[i].Epoch]
		if to == "" || !p.mayOwn(p.doc.Members[to], service) || !planned.mayKeep(to, loads[i]) {
			if i == lastIndex+1 && length < run {
				to = last
				length++
			} else {
				to = planned.leastLoaded(loads[i])
				length = 1
			}
			last, lastIndex = to, i
		}
		planned.add(to, loads[i])
		if epochs[to] == 0 {
			p.doc.LastEpoch++
			epochs[to] = p.doc.LastEpoch
		}
		t[i].Owner, t[i].Next, t[i].Epoch, t[i].Token = to, "", epochs[to], ""
		p.changed = true
	}
}

// redirectMoves starts the hand-over of rows whose backend server is leaving or in a
// zone under evacuation, and gives rows that are being handed over a new destination if theirs has
// gone.
func (p *planner) redirectMoves(service string) {
	t := p.doc.Tables[service]
	usable := p.usable(service)
	if len(usable) == 0 {
		return
	}
	var loads []float64
	var planned *plannedLoad
	for i := range t {
		owner := p.doc.Members[t[i].Owner]
		if owner == nil || owner.Evicted || owner.Server == nil || p.keepsPlacement(service, &t[i]) {
			// Rows of an owner without a server are unassigned once nobody can
			// hold them.
			continue
		}
		if planned == nil {
			loads = p.rowLoads(service)
			planned = newPlannedLoad(p, service, usable, loads)
		}
		to := planned.leastLoadedExcept(t[i].Owner, loads[i])
		if to == "" && t[i].Next != "" {
			to = t[i].Owner
		}
		if to == "" || to == t[i].Next {
			continue
		}
		planned.add(to, loads[i])
		t[i].Next = to
		p.changed = true
	}
}

// keepsPlacement reports whether a row's owner and destination can stay as they
// are.
func (p *planner) keepsPlacement(service string, r *Row) bool {
	if r.Next == "" {
		return p.mayOwn(p.doc.Members[r.Owner], service)
	}
	return r.Next != r.Owner && p.mayOwn(p.doc.Members[r.Next], service)
}

// mergeRows joins adjacent rows that differ in their key range only. Rows that are
// being handed over stay separate, as their owner may have released one of them.
func mergeRows(t Table) Table {
	out := t[:0]
	for _, r := range t {
		if n := len(out); n > 0 {
			last := &out[n-1]
			if last.Epoch == r.Epoch && last.Owner == r.Owner && last.Token == r.Token && last.Next == "" && r.Next == "" {
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

package fleet

import (
	"slices"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/quarantine"
	"fulmarhinge/internal/wire"
)

// Diff returns the change from one document to a later one. Sending the change
// keeps the size of a message independent of the size of the fleet.
func Diff(from, to *Document, fromVersion, toVersion uint64) *wire.DocumentChange {
	out := &wire.DocumentChange{
		FromVersion: fromVersion, ToVersion: toVersion, Term: to.Term, Leader: to.Leader.Name,
		LeaderIncarnation: to.Leader.Incarnation, Resigned: to.Resigned, Heir: to.Successor, Settled: to.EarlierLeasesExpired,
		LastEpoch: to.LastEpoch, ChangeId: to.ChangeID, Recovered: to.Recovered,
		Evacuations: diffEvacuations(from, to),
	}
	if !slices.EqualFunc(from.Suspects, to.Suspects, quarantine.Entry.Equal) {
		out.Suspects = quarantine.WireAll(to.Suspects, true)
	}
	for _, name := range to.names() {
		if old := from.Members[name]; old == nil || !sameMember(old, to.Members[name]) {
			out.Members = append(out.Members, encodeMember(to.Members[name]))
		}
	}
	for _, name := range from.names() {
		if to.Members[name] == nil {
			out.Gone = append(out.Gone, name)
		}
	}
	for _, service := range to.services() {
		if rows := diffRows(from.Tables[service], to.Tables[service]); len(rows) > 0 {
			out.Tables = append(out.Tables, &wire.TableChange{
				Service: service, Rows: rows, Count: uint32(len(to.Tables[service])),
			})
		}
	}
	return out
}

func sameMember(a, b *Member) bool {
	x, y := *a, *b
	x.Server, y.Server = nil, nil
	if x != y || (a.Server == nil) != (b.Server == nil) {
		return false
	}
	return a.Server == nil || *a.Server == *b.Server
}

// diffRows returns the rows of a later table that the earlier one does not
// contain.
func diffRows(from, to Table) []*wire.RowEntry {
	var out []*wire.RowEntry
	for _, r := range to {
		if i := from.Locate(r.From); i >= 0 && from[i] == r {
			continue
		}
		out = append(out, &wire.RowEntry{
			From: uint32(r.From), To: uint32(r.To), Epoch: r.Epoch, Owner: r.Owner, Next: r.Next, Token: r.Token,
		})
	}
	return out
}

func encodeMember(m *Member) *wire.MemberEntry {
	out := &wire.MemberEntry{
		Name: m.Name, Incarnation: m.Incarnation, Addr: m.Addr, Zone: m.Zone, Tenure: m.Generation,
		Evicted: m.Evicted, Leaving: m.Leaving, Weight: m.Weight, OperatorAddr: m.OperatorAddr,
	}
	if m.Server != nil {
		out.Server = encodeServer(m.Server)
	}
	return out
}

func encodeServer(s *Server) *wire.BackendServer {
	return &wire.BackendServer{Id: s.ID, BornMs: s.StartedMs, Service: s.Service, Slots: uint32(s.Slots), Ready: s.Ready}
}

// Apply returns the document after a change, or an error if the change does not
// apply to the given one.
func Apply(from *Document, c *wire.DocumentChange) (*Document, error) {
	d := from.share()
	d.Term, d.Resigned, d.Successor, d.EarlierLeasesExpired = c.GetTerm(), c.GetResigned(), c.GetHeir(), c.GetSettled()
	d.Leader = cluster.MemberRef{Name: c.GetLeader(), Incarnation: c.GetLeaderIncarnation()}
	d.LastEpoch, d.ChangeID, d.Recovered = c.GetLastEpoch(), c.GetChangeId(), c.GetRecovered()
	if s := c.GetSuspects(); s != nil {
		d.Suspects = quarantine.FromWire(s.GetSuspects()...)
	}
	if e := c.GetEvacuations(); e != nil {
		d.Evacuations = e.GetZones()
		if err := checkEvacuations(d.Evacuations); err != nil {
			return nil, err
		}
	}
	for _, m := range c.GetMembers() {
		if m.GetName() == "" || !isAmount(m.GetWeight()) {
			return nil, ErrMalformed.New("member %q of weight %v", m.GetName(), m.GetWeight())
		}
		d.Members[m.GetName()] = decodeMember(m)
	}
	for _, name := range c.GetGone() {
		delete(d.Members, name)
	}
	for _, t := range c.GetTables() {
		next, err := applyRows(d.Tables[t.GetService()], t)
		if err != nil {
			return nil, err
		}
		d.Tables[t.GetService()] = next
	}
	return d, nil
}

func decodeMember(m *wire.MemberEntry) *Member {
	out := &Member{
		MemberRef: cluster.MemberRef{Name: m.GetName(), Incarnation: m.GetIncarnation()}, Addr: m.GetAddr(), Zone: m.GetZone(),
		Generation: m.GetTenure(), Evicted: m.GetEvicted(), Leaving: m.GetLeaving(), Weight: m.GetWeight(),
		OperatorAddr: m.GetOperatorAddr(),
	}
	if s := m.GetServer(); s != nil {
		out.Server = &Server{
			Instance: Instance{ID: s.GetId(), StartedMs: s.GetBornMs()}, Service: s.GetService(), Slots: int(s.GetSlots()), Ready: s.GetReady(),
		}
	}
	return out
}

// applyRows merges the changed rows into the old ones in one pass; both are
// sorted.
func applyRows(old Table, c *wire.TableChange) (Table, error) {
	if c.GetCount() > MaxKey+1 {
		return nil, ErrMalformed.New("table of %s with %d rows", c.GetService(), c.GetCount())
	}
	out := make(Table, 0, c.GetCount())
	next := 0
	copyOld := func(until int) {
		// Copies old rows, trimmed where changed rows overlap them, up to but
		// not including the key until.
		for i := old.Locate(next); i >= 0 && i < len(old) && next < until; i++ {
			r := old[i]
			r.From = next
			r.To = min(r.To, until-1)
			out = append(out, r)
			next = r.To + 1
		}
	}
	for _, e := range c.GetRows() {
		from, to := int(e.GetFrom()), int(e.GetTo())
		copyOld(from)
		if from != next || to < from || to > MaxKey {
			return nil, ErrMalformed.New("changed row of the table of %s has invalid bounds %d to %d", c.GetService(), from, to)
		}
		out = append(out, Row{
			From: from, To: to, Epoch: e.GetEpoch(), Owner: e.GetOwner(), Next: e.GetNext(), Token: e.GetToken(),
		})
		next = to + 1
	}
	copyOld(MaxKey + 1)
	if next != MaxKey+1 || len(out) != int(c.GetCount()) {
		return nil, ErrMalformed.New("change yields %d rows of %s up to key %d, expected %d rows",
			len(out), c.GetService(), next-1, c.GetCount())
	}
	return out, nil
}

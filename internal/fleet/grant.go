package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/wire"
)

const (
	// grantMargin is subtracted from each hold to cover the delay between clock
	// readings and the rounding by the backend server.
	grantMargin = 30 * time.Millisecond
	// serverSilenceTimeout is how long a backend server may send no report
	// before its hold is checked. It reports about once a second, sometimes
	// late.
	serverSilenceTimeout = 1500 * time.Millisecond
	// maxSeqStep bounds how many reports may be missing between two. A number that is
	// far off would make all later reports stale.
	maxSeqStep = 1 << 20
)

// Report is a liveness report of the local backend server.
type Report struct {
	Instance
	Service string
	Slots   int
	// Ready is false while the backend server is leaving.
	Ready bool
	// Seq increases with each report of one server instance.
	Seq uint64
	// ColdLeft is how much longer the server is cold; see route.SlowStart.
	ColdLeft time.Duration
	// Holds are the rows that the server holds or still processes requests for.
	Holds []Row
	// Freed are the ranges released since the last acknowledged report, each
	// with the token that proves the release.
	Freed []Row
}

// Grant answers a report.
type Grant struct {
	// Renews is false if the answer leaves the server's rows and hold
	// unchanged.
	Renews bool
	// Rows is the full list of rows that the server may hold. A row's Token is
	// set until the server has reported the row.
	Rows []Row
	// Hold is the duration of the hold, counted on the server's clock from when
	// it sent its report.
	Hold time.Duration
	// Stale is true for a report of an earlier server instance, or one that is
	// older than the latest.
	Stale bool
}

// Held is the set of rows that the gate may use on the backend server.
type Held struct {
	Instance Instance
	// Rows are sorted by From.
	Rows []Row
	// LeftOut are the rows that the server cannot be granted beside these, sorted by
	// From.
	LeftOut []Row
	Until   clock.Mono
}

// Row returns the held row that contains the key at the given time.
func (h *Held) Row(key int, now clock.Mono) (Row, bool) {
	if h == nil || now >= h.Until {
		return Row{}, false
	}
	return findRow(h.Rows, key)
}

// IsLeftOut reports whether the key is in a row that the server cannot be granted.
func (h *Held) IsLeftOut(key int) bool {
	if h == nil {
		return false
	}
	_, found := findRow(h.LeftOut, key)
	return found
}

// findRow returns the row that contains the key, of rows that are sorted by From.
func findRow(rows []Row, key int) (Row, bool) {
	i, found := slices.BinarySearchFunc(rows, key, func(r Row, key int) int {
		switch {
		case r.To < key:
			return -1
		case r.From > key:
			return 1
		}
		return 0
	})
	if !found {
		return Row{}, false
	}
	return rows[i], true
}

// span identifies the key range of a row and its epoch.
type span struct {
	from, to int
	epoch    uint64
}

// localServer is the state of the local backend server.
type localServer struct {
	alive        bool
	server       Server
	lastSeq      uint64
	lastReportAt clock.Mono
	// generation counts how often this process gave up all rows, because the
	// server that held them ended or its hold ran out.
	generation uint64
	// earlierGrantsUntil is a time by which every grant of an earlier process
	// of this node has run out.
	earlierGrantsUntil clock.Mono
	// grantedUntil is when the latest grant of each row by this process runs
	// out.
	grantedUntil map[span]clock.Mono
	// releaseTokens holds the rows that are certainly not held any more, each
	// with its release token, which may be empty.
	releaseTokens map[span]string
	loads         []*wire.SpanLoad
	// meanServiceMs is the moving average of the service time.
	meanServiceMs float64
	limit         serverLimit
	cold          coldState
	// leftOut is the number of rows that did not fit into the last answer.
	leftOut int
	// departures holds the departures of servers by their ids.
	departures map[string]departure
}

func newLocalServer(earlierGrantsUntil clock.Mono) localServer {
	return localServer{
		earlierGrantsUntil: earlierGrantsUntil, grantedUntil: map[span]clock.Mono{}, releaseTokens: map[span]string{},
		departures: map[string]departure{},
	}
}

// Report answers a liveness report. The hold ends before the node's lease does,
// even if the server's clock runs slow: it is shortened by the maximum clock
// drift, and it counts from when the server sent the report, which is earlier
// than now.
func (m *Machine) Report(now clock.Mono, r Report) Grant {
	m.now = max(m.now, now)
	if !m.local.accepts(r) {
		return Grant{Stale: true}
	}
	m.recordServer(r)
	m.releaseFreed(r)
	m.releaseUnheld(r)
	return m.grant(r)
}

// accepts reports whether a report is newer than all earlier ones and not from
// an earlier server instance.
func (l *localServer) accepts(r Report) bool {
	if l.server.StartedMs == 0 || r.StartedMs > l.server.StartedMs {
		return true
	}
	return r.Instance == l.server.Instance && r.Seq > l.lastSeq && r.Seq-l.lastSeq <= maxSeqStep
}

// recordServer records the server's description of itself.
func (m *Machine) recordServer(r Report) {
	l := &m.local
	if !r.Ready {
		since := m.now
		if l.server.Instance != r.Instance {
			// An earlier process of this node may have acknowledged such a report.
			since = m.now.Add(-earlierDeparture)
		}
		m.recordDeparture(r.ID, r.StartedMs, since)
	}
	server := Server{Instance: r.Instance, Service: r.Service, Slots: r.Slots, Ready: !m.hasLeft(r.Instance)}
	if l.server.StartedMs != 0 && l.server.Instance != r.Instance {
		m.giveUpRows("the backend server has restarted")
	}
	if l.server.Instance != r.Instance {
		l.limit, l.cold = serverLimit{}, coldState{}
	}
	if !l.alive || l.server != server {
		m.note("backend server", "id", r.ID, "born", r.StartedMs, "service", r.Service,
			"reported_ready", r.Ready, "ready", server.Ready, "slots", r.Slots, "seq", r.Seq)
		m.sendStatusNow()
	}
	l.alive = true
	l.server = server
	l.lastSeq = r.Seq
	l.lastReportAt = m.now
}

// Server returns the local backend server as this node knows it.
func (m *Machine) Server() Server { return m.local.server }

// giveUpRows records that nobody holds the rows that this node owns. They are
// granted again only under a document that lists the new generation.
func (m *Machine) giveUpRows(reason string) {
	l := &m.local
	l.generation++
	l.earlierGrantsUntil = 0
	clear(l.grantedUntil)
	clear(l.releaseTokens)
	m.setHeld(&Held{})
	m.note("rows given up", "tenure", l.generation, "why", reason)
	m.sendStatusNow()
}

// mayGrant reports whether the document entitles this process to grant rows to
// this server instance.
func (m *Machine) mayGrant() bool {
	if m.doc == nil {
		return false
	}
	self := m.doc.Members[m.params.Self.Name]
	if self == nil || self.Evicted || self.Server == nil || self.Server.Instance != m.local.server.Instance {
		return false
	}
	if self.MemberRef == m.params.Self {
		return self.Generation == m.local.generation
	}
	// After a restart during an outage of the platform, the document still
	// lists the earlier incarnation, and the leader confirms that nothing has
	// changed.
	return m.lease.restartAcceptedVersion == m.version && m.local.generation == 0
}

// releaseFreed records the release of moving rows that the server has freed.
func (m *Machine) releaseFreed(r Report) {
	for _, f := range r.Freed {
		for _, row := range m.movingRows() {
			from, to := max(row.From, f.From), min(row.To, f.To)
			if from <= to {
				m.release(span{from, to, row.Epoch}, f.Token)
			}
		}
	}
}

// releaseUnheld releases moving rows that nobody can hold: the server does not
// list them and no grant of them is in force.
func (m *Machine) releaseUnheld(r Report) {
	for _, row := range m.movingRows() {
		s := span{row.From, row.To, row.Epoch}
		if m.local.hasReleased(row) || max(m.local.grantedUntil[s], m.local.earlierGrantsUntil) > m.now {
			continue
		}
		listed := slices.ContainsFunc(r.Holds, func(h Row) bool { return h.From <= row.To && h.To >= row.From })
		if !listed {
			m.release(s, "")
		}
	}
}

// release records that a row is no longer held.
func (m *Machine) release(s span, token string) {
	if _, known := m.local.releaseTokens[s]; known {
		return
	}
	m.local.releaseTokens[s] = token
	m.note("rows released", "rows", fmt.Sprintf("%d-%d@%d", s.from, s.to, s.epoch), "token", token != "")
	m.sendStatusNow()
}

// hasReleased reports whether any part of the row was released.
func (l *localServer) hasReleased(row Row) bool {
	for s := range l.releaseTokens {
		if s.epoch == row.Epoch && s.from <= row.To && s.to >= row.From {
			return true
		}
	}
	return false
}

// granted reports whether grants of all keys of the row are in force, and none of
// them was released.
func (l *localServer) granted(row Row, now clock.Mono) bool {
	if l.hasReleased(row) {
		return false
	}
	next := row.From
	for next <= row.To {
		end := -1
		for s, until := range l.grantedUntil {
			if s.epoch == row.Epoch && s.from <= next && s.to >= next && until > now {
				end = max(end, s.to)
			}
		}
		if end < 0 {
			return false
		}
		next = end + 1
	}
	return true
}

// movingRows returns the rows of this node that are to be handed over.
func (m *Machine) movingRows() []Row {
	var out []Row
	if m.doc == nil {
		return nil
	}
	for _, row := range m.doc.Tables[m.local.server.Service] {
		if row.Owner == m.params.Self.Name && row.Next != "" {
			out = append(out, row)
		}
	}
	return out
}

// grant returns the rows that the server may hold, and for how long.
func (m *Machine) grant(r Report) Grant {
	leaseLeft := m.lease.until.Sub(m.now) - grantMargin
	hold := min(leaseLeft, m.params.Timing.MaxHold) * (100 - maxClockDriftPercent) / 100
	if hold <= 0 || !m.mayGrant() || m.doc.Tables[r.Service] == nil {
		return Grant{}
	}
	g := Grant{Renews: true, Hold: hold}
	until := m.now.Add(min(leaseLeft, m.params.Timing.MaxHold))
	var held, added []Row
	for _, row := range m.doc.Tables[r.Service] {
		if row.Owner != m.params.Self.Name || row.Next != "" || m.local.hasReleased(row) {
			continue
		}
		if slices.ContainsFunc(r.Holds, func(h Row) bool { return h.From <= row.From && h.To >= row.To }) {
			row.Token = ""
			held = append(held, row)
		} else {
			added = append(added, row)
		}
	}
	var leftOut []Row
	g.Rows, leftOut = m.params.Rows.fit(held, added)
	for _, row := range g.Rows {
		m.local.grantedUntil[span{row.From, row.To, row.Epoch}] = until
	}
	added = slices.DeleteFunc(added, func(row Row) bool {
		_, listed := findRow(g.Rows, row.From)
		return !listed
	})
	if len(leftOut) != m.local.leftOut {
		m.local.leftOut = len(leftOut)
		m.note("rows do not fit into the answer to a report", "server", r.ID, "left_out", len(leftOut), "granted", len(g.Rows))
	}
	if len(added) > 0 {
		m.note("rows granted", "server", r.ID, "count", len(added), "rows", formatRows(added),
			"hold", hold, "lease_left", leaseLeft, "document", platform.FormatVersion(m.version))
	}
	m.setHeld(&Held{Instance: r.Instance, Rows: g.Rows, LeftOut: leftOut, Until: m.now.Add(hold)})
	return g
}

// maxLoggedRows bounds the number of rows or moves that one log line lists.
const maxLoggedRows = 40

// formatRows formats rows as key ranges with their epochs.
func formatRows(rows []Row) string {
	var b strings.Builder
	for i, r := range rows {
		if i == maxLoggedRows {
			fmt.Fprintf(&b, " and %d more", len(rows)-i)
			break
		}
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%d-%d@%d", r.From, r.To, r.Epoch)
	}
	return b.String()
}

func (m *Machine) setHeld(h *Held) { m.ready.Held = h }

// checkServerSilence gives up the rows of a server that has stopped reporting
// once its hold has certainly run out.
func (m *Machine) checkServerSilence() {
	l := &m.local
	if m.now.Sub(l.lastReportAt) < serverSilenceTimeout || l.lastReportAt == 0 && m.now < l.earlierGrantsUntil {
		return
	}
	if !l.alive && !m.ownsRows() {
		return
	}
	lastGrantEnd := l.earlierGrantsUntil
	for _, until := range l.grantedUntil {
		lastGrantEnd = max(lastGrantEnd, until)
	}
	if lastGrantEnd > m.now || m.doc == nil || !m.doc.IsCurrent(m.params.Self) ||
		m.doc.Members[m.params.Self.Name].Generation != l.generation {
		return
	}
	l.alive = false
	m.giveUpRows("the backend server has stopped reporting and its hold has expired")
}

// ownsRows reports whether the document assigns rows to this node.
func (m *Machine) ownsRows() bool {
	if m.doc == nil {
		return false
	}
	for _, t := range m.doc.Tables {
		for _, row := range t {
			if row.Owner == m.params.Self.Name {
				return true
			}
		}
	}
	return false
}

// handleServerDown gives up the rows of a server instance whose process has
// ended. A server that leaves may refuse connections while it still works on
// requests for its rows, so it keeps them until its hold runs out.
func (m *Machine) handleServerDown(instance Instance) {
	if !m.local.alive || m.local.server.Instance != instance || !m.local.server.Ready {
		return
	}
	m.local.alive = false
	m.giveUpRows("the backend server's address refuses connections")
}

// prune drops the releases and grants of rows that the document no longer
// assigns to this node under the same epoch.
func (l *localServer) prune(doc *Document, self string) {
	owned := map[uint64][]Row{}
	for _, t := range doc.Tables {
		for _, row := range t {
			if row.Owner == self {
				owned[row.Epoch] = append(owned[row.Epoch], row)
			}
		}
	}
	stillOwned := func(s span) bool {
		return slices.ContainsFunc(owned[s.epoch], func(r Row) bool { return r.From <= s.to && r.To >= s.from })
	}
	for s := range l.releaseTokens {
		if !stillOwned(s) {
			delete(l.releaseTokens, s)
		}
	}
	for s, until := range l.grantedUntil {
		if !stillOwned(s) {
			delete(l.grantedUntil, s)
			continue
		}
		// A part of a row that was split inherits the grant of the whole row.
		for _, r := range owned[s.epoch] {
			part := span{r.From, r.To, r.Epoch}
			if r.From >= s.from && r.To <= s.to && part != s {
				l.grantedUntil[part] = max(l.grantedUntil[part], until)
			}
		}
	}
}

// releasedSpans returns the releases in wire form, sorted by key.
func (l *localServer) releasedSpans() []*wire.ReleasedSpan {
	if len(l.releaseTokens) == 0 {
		return nil
	}
	out := make([]*wire.ReleasedSpan, 0, len(l.releaseTokens))
	for s, token := range l.releaseTokens {
		out = append(out, &wire.ReleasedSpan{From: uint32(s.from), To: uint32(s.to), Epoch: s.epoch, Token: token})
	}
	slices.SortFunc(out, func(a, b *wire.ReleasedSpan) int { return int(a.From) - int(b.From) })
	return out
}

// serviceTimeWeight is the weight of the newest sample in the exponential
// moving average of the service time.
const serviceTimeWeight = 0.2

func (l *localServer) observeServiceTime(serviceTime time.Duration) {
	if serviceTime <= 0 {
		return
	}
	ms := float64(serviceTime) / float64(time.Millisecond)
	if l.meanServiceMs == 0 {
		l.meanServiceMs = ms
	}
	l.meanServiceMs += serviceTimeWeight * (ms - l.meanServiceMs)
}

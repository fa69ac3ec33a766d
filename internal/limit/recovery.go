package limit

import (
	"maps"
	"slices"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/wire"
)

// shareLifetime is how long a share must be assumed to be held if the node does
// not report it.
const shareLifetime = shareTTL + shareExpiryMargin

// recovery determines when a new allocator may lease the part of the terms that
// no node has reported.
//
// A node that has just started queries each member for the shares that the member
// holds from earlier allocators, until the member reports or its shares have
// expired. Nodes that lose their allocator report their shares to the next one in
// their share requests. No node reports the shares of a member that has left or
// was evicted, so these must expire first.
type recovery struct {
	started clock.Mono
	// pending are the members that have not reported. It is nil before the first
	// membership view, and empty but not nil after the last report.
	pending map[string]bool
	// departed is when each member that is gone left or was evicted. Entries are
	// dropped after shareLifetime.
	departed map[string]clock.Mono
	// reportedDeparture is the latest time at which a member left or was evicted
	// before this node started, according to the reports.
	reportedDeparture clock.Mono
	reported          map[Scope]map[cluster.MemberRef]Share
	seq               uint64
	lastQuery         clock.Mono
}

func (r *recovery) start(now clock.Mono) {
	r.started = now
	r.departed = make(map[string]clock.Mono)
	r.reported = make(map[Scope]map[cluster.MemberRef]Share)
}

// setMembers records which members have departed or rejoined. The first call
// records the members that are to report their shares.
func (r *recovery) setMembers(now clock.Mono, self string, before, after map[string]bool) {
	if r.pending == nil {
		r.pending = make(map[string]bool)
		for name := range after {
			if name != self {
				r.pending[name] = true
			}
		}
		return
	}
	for name := range before {
		if !after[name] {
			r.departed[name] = now
			delete(r.pending, name)
		}
	}
	for name, at := range r.departed {
		if now >= at.Add(shareLifetime) || after[name] {
			delete(r.departed, name)
		}
	}
}

// reportsPending reports whether to wait for further reports.
func (r *recovery) reportsPending(now clock.Mono) bool {
	return now < r.started.Add(shareLifetime) && (r.pending == nil || len(r.pending) > 0)
}

// allocationTimes returns when this node became the allocator of a customer, and
// until when unreported shares of an earlier allocator may still be valid.
func (r *recovery) allocationTimes(now clock.Mono, customer, self string) (acquired, recoveryEnd clock.Mono) {
	acquired = r.started
	if r.reportsPending(now) {
		recoveryEnd = r.started.Add(shareLifetime)
	}
	if r.reportedDeparture != 0 {
		recoveryEnd = max(recoveryEnd, r.reportedDeparture.Add(shareLifetime))
	}
	selfScore := cluster.RendezvousScore(customer, self)
	for name, at := range r.departed {
		// Only a member with a higher score can have been the allocator before.
		if cluster.RendezvousScore(customer, name) > selfScore {
			acquired = max(acquired, at)
			recoveryEnd = max(recoveryEnd, at.Add(shareLifetime))
		}
	}
	return acquired, recoveryEnd
}

// queries returns the queries to the members that have not reported.
func (r *recovery) queries(now clock.Mono) []Outgoing {
	if len(r.pending) == 0 || !r.reportsPending(now) {
		return nil
	}
	if r.seq > 0 && now.Sub(r.lastQuery) < grantTimeout {
		return nil
	}
	r.seq++
	r.lastQuery = now
	var outs []Outgoing
	for _, name := range slices.Sorted(maps.Keys(r.pending)) {
		q := &wire.ShareQuery{Seq: r.seq}
		outs = append(outs, Outgoing{To: name, Message: &wire.Control{Body: &wire.Control_ShareQuery{ShareQuery: q}}})
	}
	return outs
}

// replayReports passes the reported shares of a scope to its new allocator.
func (r *recovery) replayReports(now clock.Mono, s Scope, alloc *Allocator) {
	if now >= r.started.Add(shareLifetime) {
		clear(r.reported)
	}
	for ref, share := range r.reported[s] {
		alloc.RecordReport(now, ref, share)
	}
}

// answerQuery reports the shares that this node holds for the customers whose
// allocator is the sender, which has just started.
func (m *Manager) answerQuery(now clock.Mono, from cluster.MemberRef, seq uint64) []Outgoing {
	if !m.members[from.Name] {
		m.unlistedMembers[from.Name] = now.Add(shareLifetime)
		m.dropReassigned(now)
	}
	report := &wire.ShareReport{Seq: seq, GoneMs: m.msSinceLastDeparture(now)}
	for l := range m.active {
		if m.allocatorName(l.customer, now) != from.Name {
			continue
		}
		l.mu.Lock()
		l.forEachScope(func(service string, sl *scopeLimiter) {
			sl.advance(now)
			// The next request reports the share held and the rate wanted to
			// the new allocator.
			sl.requestNow = true
			if sl.expiry == 0 {
				return
			}
			report.Shares = append(report.Shares, &wire.HeldShare{
				Customer: l.customer,
				Service:  service,
				Rate:     sl.share.Rate,
				Burst:    sl.share.Burst,
				Waiting:  uint32(sl.share.MaxWaiting),
			})
		})
		l.mu.Unlock()
	}
	return []Outgoing{{To: from.Name, Message: &wire.Control{Body: &wire.Control_ShareReport{ShareReport: report}}}}
}

// msSinceLastDeparture returns the milliseconds since the latest departure of a
// member whose shares may still be valid; 0 if there is none.
func (m *Manager) msSinceLastDeparture(now clock.Mono) uint64 {
	since := time.Duration(0)
	for _, at := range m.recover.departed {
		ago := max(now.Sub(at), time.Millisecond)
		if ago < shareLifetime && (since == 0 || ago < since) {
			since = ago
		}
	}
	return uint64(since.Milliseconds())
}

// handleReport records the shares that a member holds. After the last report the
// unreported part of each contract can be leased.
func (m *Manager) handleReport(now clock.Mono, from cluster.MemberRef, report *wire.ShareReport) {
	r := &m.recover
	if !r.pending[from.Name] {
		return
	}
	delete(r.pending, from.Name)
	if report.GoneMs > 0 {
		at := now.Add(-time.Duration(report.GoneMs) * time.Millisecond)
		r.reportedDeparture = max(r.reportedDeparture, at)
	}
	for _, held := range report.Shares {
		s := Scope{held.Customer, held.Service}
		share := Share{held.Rate, held.Burst, int(held.Waiting)}
		if r.reported[s] == nil {
			r.reported[s] = make(map[cluster.MemberRef]Share)
		}
		r.reported[s][from] = share
		if alloc := m.allocators[s]; alloc != nil {
			alloc.RecordReport(now, from, share)
		}
	}
	for s, alloc := range m.allocators {
		_, recoveryEnd := r.allocationTimes(now, s.Customer, m.self.Name)
		alloc.SetRecoveryEnd(recoveryEnd)
	}
}

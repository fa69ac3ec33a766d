package limit

import (
	"maps"
	"slices"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/wire"
)

// shareLife is for how long a share that nobody reports may still hold.
const shareLife = shareTTL + shareGuard

// recovery decides from when on a new holder may lease what nobody reported.
//
// A node that has just started asks all members once what they hold from
// earlier holders. Nodes that lose their holder tell the next one by asking it.
// Nobody reports the shares of a member that has gone, so these must lapse.
type recovery struct {
	started clock.Mono
	// pending are the members that have not reported; nil before the first
	// view, not nil and empty after the last report.
	pending map[string]bool
	// gone says when a member went; entries are dropped after shareLife.
	gone map[string]clock.Mono
	// othersGone is the last time at which, by the reports, a member went
	// before this node started.
	othersGone clock.Mono
	held       map[Scope]map[cluster.MemberRef]Share
	seq        uint64
	asked      clock.Mono
}

func (r *recovery) start(now clock.Mono) {
	r.started = now
	r.gone = make(map[string]clock.Mono)
	r.held = make(map[Scope]map[cluster.MemberRef]Share)
}

// setMembers notes who has come and gone.
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
			r.gone[name] = now
			delete(r.pending, name)
		}
	}
	for name, at := range r.gone {
		if now >= at.Add(shareLife) || after[name] {
			delete(r.gone, name)
		}
	}
}

// waiting reports whether a report is still to come that must be waited for.
func (r *recovery) waiting(now clock.Mono) bool {
	return now < r.started.Add(shareLife) && (r.pending == nil || len(r.pending) > 0)
}

// of returns since when this node is the holder of a customer, and until when
// shares of an earlier holder may hold that nobody reported.
func (r *recovery) of(now clock.Mono, customer, self string) (acquired, recovering clock.Mono) {
	acquired = r.started
	if r.waiting(now) {
		recovering = r.started.Add(shareLife)
	}
	if r.othersGone != 0 {
		recovering = max(recovering, r.othersGone.Add(shareLife))
	}
	rank := cluster.Rank(customer, self)
	for name, at := range r.gone {
		// Only a member that ranks higher was the holder before.
		if cluster.Rank(customer, name) > rank {
			acquired = max(acquired, at)
			recovering = max(recovering, at.Add(shareLife))
		}
	}
	return acquired, recovering
}

// queries asks the members that have not reported.
func (r *recovery) queries(now clock.Mono) []Out {
	if len(r.pending) == 0 || !r.waiting(now) {
		return nil
	}
	if r.seq > 0 && now.Sub(r.asked) < answerTimeout {
		return nil
	}
	r.seq++
	r.asked = now
	var outs []Out
	for _, name := range slices.Sorted(maps.Keys(r.pending)) {
		q := &wire.ShareQuery{Seq: r.seq}
		outs = append(outs, Out{To: name, Message: &wire.Control{Body: &wire.Control_ShareQuery{ShareQuery: q}}})
	}
	return outs
}

// handOver gives a new holder what was reported for its scope.
func (r *recovery) handOver(now clock.Mono, s Scope, h *Holder) {
	if now >= r.started.Add(shareLife) {
		clear(r.held)
	}
	for ref, share := range r.held[s] {
		h.Report(now, ref, share)
	}
}

// answerQuery reports the shares that this node holds of the customers whose
// holder has just started.
func (m *Manager) answerQuery(now clock.Mono, from cluster.MemberRef, seq uint64) []Out {
	if !m.members[from.Name] {
		m.heard[from.Name] = now.Add(shareLife)
		m.dropHolders(now)
	}
	report := &wire.ShareReport{Seq: seq, GoneMs: m.sinceGone(now)}
	for l := range m.active {
		if m.holder(l.customer, now) != from.Name {
			continue
		}
		l.mu.Lock()
		l.scopes(func(service string, p *portion) {
			p.advance(now)
			// What this node holds and asks for goes to the new holder now.
			p.urgent = true
			if p.until == 0 {
				return
			}
			report.Shares = append(report.Shares, &wire.HeldShare{
				Customer: l.customer,
				Service:  service,
				Rate:     p.share.Rate,
				Burst:    p.share.Burst,
				Waiting:  uint32(p.share.Waiting),
			})
		})
		l.mu.Unlock()
	}
	return []Out{{To: from.Name, Message: &wire.Control{Body: &wire.Control_ShareReport{ShareReport: report}}}}
}

// sinceGone returns how long ago the last member went, in milliseconds; 0 if
// none went whose shares may still hold.
func (m *Manager) sinceGone(now clock.Mono) uint64 {
	since := time.Duration(0)
	for _, at := range m.recover.gone {
		ago := max(now.Sub(at), time.Millisecond)
		if ago < shareLife && (since == 0 || ago < since) {
			since = ago
		}
	}
	return uint64(since.Milliseconds())
}

// takeReport notes what a member holds. After the last report the rest of all
// contracts can be leased.
func (m *Manager) takeReport(now clock.Mono, from cluster.MemberRef, report *wire.ShareReport) {
	r := &m.recover
	if !r.pending[from.Name] {
		return
	}
	delete(r.pending, from.Name)
	if report.GoneMs > 0 {
		at := now.Add(-time.Duration(report.GoneMs) * time.Millisecond)
		r.othersGone = max(r.othersGone, at)
	}
	for _, held := range report.Shares {
		s := Scope{held.Customer, held.Service}
		share := Share{held.Rate, held.Burst, int(held.Waiting)}
		if r.held[s] == nil {
			r.held[s] = make(map[cluster.MemberRef]Share)
		}
		r.held[s][from] = share
		if h := m.holders[s]; h != nil {
			h.Report(now, from, share)
		}
	}
	for s, h := range m.holders {
		_, recovering := r.of(now, s.Customer, m.self.Name)
		h.FreeAt(recovering)
	}
}

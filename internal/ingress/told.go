package ingress

import (
	"slices"
	"sync"
	"time"

	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

// toldNotices holds what backend servers have stated about themselves in the responses
// that this node passed on. A gate that has restarted learns it from there.
type toldNotices struct {
	mu sync.Mutex
	// byMember holds the last notice of each member's server.
	byMember map[string]toldNotice
}

type toldNotice struct {
	instance fleet.Instance
	limited  bool
	limit    float64
	// leavingSince is when the server stated that it leaves, zero if it has not.
	leavingSince time.Time
}

// record takes over the notice in the response of a member's gate. A gate that has no
// notice may have restarted: only an answer of the server itself ends its limit.
func (t *toldNotices) record(now time.Time, member string, h *wire.ResponseHead) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := h.GetNotice()
	if n == nil {
		if old, known := t.byMember[member]; known && old.limited && result.Code(h.GetCode()) == result.OK {
			old.limited, old.limit = false, 0
			t.set(member, old)
		}
		return
	}
	told := toldNotice{instance: fleet.Instance{ID: n.GetId(), StartedMs: n.GetBornMs()}, limited: n.GetLimited(), limit: n.GetLimit()}
	if old := t.byMember[member]; old.instance == told.instance {
		told.leavingSince = old.leavingSince
	}
	if n.GetLeaving() && told.leavingSince.IsZero() {
		told.leavingSince = now.Add(-time.Duration(n.GetLeavingMs()) * time.Millisecond)
	}
	t.set(member, told)
}

func (t *toldNotices) set(member string, n toldNotice) {
	if !n.limited && n.leavingSince.IsZero() {
		delete(t.byMember, member)
		return
	}
	if t.byMember == nil {
		t.byMember = map[string]toldNotice{}
	}
	t.byMember[member] = n
}

// wire returns what a member's server has told this node, nil if nothing.
func (t *toldNotices) wire(now time.Time, m *fleet.Member) *wire.ServerNotice {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, known := t.byMember[m.Name]
	if !known {
		return nil
	}
	out := &wire.ServerNotice{Id: n.instance.ID, BornMs: n.instance.StartedMs, Limited: n.limited, Limit: n.limit}
	if !n.leavingSince.IsZero() {
		out.Leaving, out.LeavingMs = true, now.Sub(n.leavingSince).Milliseconds()
	}
	return out
}

// withoutLeaving returns the members whose servers have not told this node that they
// leave; all of them if none is left.
func (t *toldNotices) withoutLeaving(members []*fleet.Member) []*fleet.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	leaves := func(m *fleet.Member) bool {
		n, known := t.byMember[m.Name]
		return known && n.instance == m.Server.Instance && !n.leavingSince.IsZero()
	}
	if !slices.ContainsFunc(members, leaves) {
		return members
	}
	if stay := slices.DeleteFunc(slices.Clone(members), leaves); len(stay) > 0 {
		return stay
	}
	return members
}

// prune drops the notices of members that have left the fleet.
func (t *toldNotices) prune(doc *fleet.Document) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.byMember {
		if doc.Members[name] == nil {
			delete(t.byMember, name)
		}
	}
}

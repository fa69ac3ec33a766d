package ingress

import (
	"slices"
	"sync"
	"time"

	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

// noticeCache holds the notices of backend servers in the responses that this node passed
// on. They go with later requests, so that a gate that has restarted learns them.
type noticeCache struct {
	mu sync.Mutex
	// byMember holds the last notice of each member's server.
	byMember map[string]cachedNotice
}

type cachedNotice struct {
	instance fleet.Instance
	limited  bool
	limit    float64
	// leavingSince is when the server stated that it leaves, zero if it has not.
	leavingSince time.Time
	receivedAt   time.Time
}

// noticeRetention is how long the notice of a member that is not listed is kept: its node
// may have been cut off and come back without its own memory, beside the same server.
const noticeRetention = time.Minute

// record takes over the notice in the response of a member's gate. A gate that has no
// notice may have restarted: only an answer of the server itself ends its limit.
func (c *noticeCache) record(now time.Time, member string, h *wire.ResponseHead) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := h.GetNotice()
	if n == nil {
		if old, known := c.byMember[member]; known && old.limited && result.Code(h.GetCode()) == result.OK {
			old.limited, old.limit = false, 0
			c.set(member, old)
		}
		return
	}
	next := cachedNotice{instance: fleet.Instance{ID: n.GetId(), StartedMs: n.GetBornMs()}, limited: n.GetLimited(), limit: n.GetLimit(), receivedAt: now}
	if old := c.byMember[member]; old.instance == next.instance {
		next.leavingSince = old.leavingSince
	}
	if n.GetLeaving() && next.leavingSince.IsZero() {
		next.leavingSince = now.Add(-time.Duration(n.GetLeavingMs()) * time.Millisecond)
	}
	c.set(member, next)
}

func (c *noticeCache) set(member string, n cachedNotice) {
	if !n.limited && n.leavingSince.IsZero() {
		delete(c.byMember, member)
		return
	}
	if c.byMember == nil {
		c.byMember = map[string]cachedNotice{}
	}
	c.byMember[member] = n
}

// wire returns the notice of a member's server, nil if there is none.
func (c *noticeCache) wire(now time.Time, m *fleet.Member) *wire.ServerNotice {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, known := c.byMember[m.Name]
	if !known {
		return nil
	}
	out := &wire.ServerNotice{Id: n.instance.ID, BornMs: n.instance.StartedMs, Limited: n.limited, Limit: n.limit}
	if !n.leavingSince.IsZero() {
		out.Leaving, out.LeavingMs = true, now.Sub(n.leavingSince).Milliseconds()
	}
	return out
}

// withoutLeaving returns the members whose servers have not stated that they leave; all
// of them if none is left.
func (c *noticeCache) withoutLeaving(members []*fleet.Member) []*fleet.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	leaves := func(m *fleet.Member) bool {
		n, known := c.byMember[m.Name]
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

// prune drops the notices of members that left the fleet a while ago.
func (c *noticeCache) prune(now time.Time, doc *fleet.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.byMember {
		if doc.Members[name] == nil && now.Sub(n.receivedAt) > noticeRetention {
			delete(c.byMember, name)
		}
	}
}

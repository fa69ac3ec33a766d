package gate

import (
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/slowstart"
	"fulmarhinge/internal/upstream"
	"fulmarhinge/internal/wire"
)

var (
	requestsSent  = metrics.NewCounter("fulmarhinge_backend_requests_sent_total")
	limitRefusals = metrics.NewCounter("fulmarhinge_backend_limit_refusals_total")
)

// notices holds what the current instance of the server has stated about itself.
type notices struct {
	mu       sync.Mutex
	instance fleet.Instance
	// answered is true once the instance has answered a request of this process.
	answered bool
	limited  bool
	limit    float64
	// namedAt is when the last response that named the limit was received.
	namedAt time.Time
	// leavingSince is when the server first stated that it leaves, zero if it has
	// not. A server that leaves does not come back.
	leavingSince time.Time
}

// SetServer replaces the server; nil means that there is none. LeavingSince is since when a
// server that is not ready is known to leave.
func (g *Gate) SetServer(s *fleet.Server, leavingSince time.Time) {
	g.notices.mu.Lock()
	g.setServer(s, leavingSince)
	g.notices.mu.Unlock()
	g.wake()
}

// setServer replaces the server. The caller holds the lock of the notices.
func (g *Gate) setServer(s *fleet.Server, leavingSince time.Time) {
	if old := g.server.Load(); old != nil && (s == nil || s.Instance != old.Instance) {
		// Connections of its requests may break a moment later than its end is known.
		time.AfterFunc(breakGatherTime, func() { g.serverEnded(old.Instance) })
	}
	if s == nil {
		g.server.Store(nil)
		return
	}
	n := &g.notices
	if n.instance != s.Instance {
		n.instance, n.answered, n.leavingSince = s.Instance, false, time.Time{}
		g.setLimit(false, 0)
		g.queue.UpdateSlowStart(func(now time.Time, l *slowstart.Limiter) { l.SetInstance(now, instanceName(s.Instance)) })
	}
	if !s.Ready && (n.leavingSince.IsZero() || leavingSince.Before(n.leavingSince)) {
		n.leavingSince = leavingSince
	}
	updated := &Server{Server: *s, leavingSince: n.leavingSince}
	updated.Ready = n.leavingSince.IsZero()
	g.queue.SetSlots(s.Slots)
	g.server.Store(updated)
}

// MarkLeaving marks the server as leaving since the given time, unless it leaves already or
// is another instance.
func (g *Gate) MarkLeaving(instance fleet.Instance, since time.Time) {
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	g.markLeaving(instance, since)
}

// markLeaving is MarkLeaving for a caller that holds the lock of the notices.
func (g *Gate) markLeaving(instance fleet.Instance, since time.Time) {
	s := g.server.Load()
	if s == nil || s.Instance != instance || g.notices.instance != instance || !g.notices.leavingSince.IsZero() {
		return
	}
	g.notices.leavingSince = since
	g.setServer(&s.Server, since)
	g.wake()
}

// recordNotice records the notice in the response to a request that was sent to the
// instance at the given time.
func (g *Gate) recordNotice(instance fleet.Instance, sentAt time.Time, resp *upstream.Response) {
	if resp.NoticeErr != nil {
		g.log.Warn("notice of the backend server ignored", "server", instance.ID, "error", resp.NoticeErr)
	}
	n := &g.notices
	n.mu.Lock()
	defer n.mu.Unlock()
	if resp.Notice == nil || n.instance != instance {
		return
	}
	n.answered = true
	if resp.NoticeErr == nil {
		g.recordLimit(sentAt, resp.Notice)
	}
	if resp.Notice.Leaving && n.leavingSince.IsZero() {
		g.log.Info("backend server states in its answers that it leaves", "server", instance.ID, "born", instance.StartedMs)
		g.markLeaving(instance, time.Now())
	}
}

// recordLimit records whether the server names a limit. Responses may be received in
// another order than they were made: only the response to a request that was sent after
// the limit was last named shows that the server no longer names it.
func (g *Gate) recordLimit(sentAt time.Time, stated *upstream.Notice) {
	n := &g.notices
	if !stated.Limited && (!n.limited || sentAt.Before(n.namedAt)) {
		return
	}
	if stated.Limited {
		n.namedAt = time.Now()
	}
	if n.limited == stated.Limited && n.limit == stated.Limit {
		return
	}
	if stated.Limited {
		g.log.Info("backend server names a limit", "server", n.instance.ID, "per_second", stated.Limit, "before", n.limit)
	} else {
		g.log.Info("backend server names no limit any more", "server", n.instance.ID, "before", n.limit)
	}
	g.setLimit(stated.Limited, stated.Limit)
}

// setLimit sets the limit and the rate at which requests get slots.
func (g *Gate) setLimit(limited bool, limit float64) {
	g.notices.limited, g.notices.limit = limited, limit
	if limited {
		g.queue.SetRate(limit)
	} else {
		g.queue.ClearRate()
	}
}

// maxLeavingAgeMs bounds the age of a notice of a peer; every drain period is over by then.
const maxLeavingAgeMs = 3600_000

// isLimit reports whether a number that a peer sent can be a limit.
func isLimit(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 1) }

// adoptNotice takes over a peer's copy of the notice of the server, which an earlier
// process of this node passed on. A limit counts only until the server has answered this process.
func (g *Gate) adoptNotice(peers *wire.ServerNotice) {
	if peers == nil {
		return
	}
	n := &g.notices
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.instance.ID != peers.GetId() || n.instance.StartedMs != peers.GetBornMs() {
		return
	}
	if peers.GetLimited() && isLimit(peers.GetLimit()) && !n.answered && !n.limited {
		g.log.Info("limit of the backend server adopted from a peer", "server", n.instance.ID, "per_second", peers.GetLimit())
		g.setLimit(true, peers.GetLimit())
	}
	if peers.GetLeaving() && n.leavingSince.IsZero() {
		age := time.Duration(min(max(peers.GetLeavingMs(), 0), maxLeavingAgeMs)) * time.Millisecond
		g.log.Info("leaving of the backend server adopted from a peer", "server", n.instance.ID, "age_ms", age.Milliseconds())
		g.markLeaving(n.instance, time.Now().Add(-age))
	}
}

// wireNotice returns what the server has stated, nil if nothing.
func (g *Gate) wireNotice() *wire.ServerNotice {
	n := &g.notices
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.limited && n.leavingSince.IsZero() {
		return nil
	}
	out := &wire.ServerNotice{Id: n.instance.ID, BornMs: n.instance.StartedMs, Limited: n.limited, Limit: n.limit}
	if !n.leavingSince.IsZero() {
		out.Leaving, out.LeavingMs = true, time.Since(n.leavingSince).Milliseconds()
	}
	return out
}

// Notice returns what the server has stated about itself in its responses.
func (g *Gate) Notice() fleet.ServerNotice {
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	left, perSecond := g.ColdLimit()
	return fleet.ServerNotice{
		ColdLeft: left, ColdPerSecond: perSecond,
		Instance: g.notices.instance, Limited: g.notices.limited, Limit: g.notices.limit, Leaving: !g.notices.leavingSince.IsZero(),
	}
}

// Limit returns the limit that the server names, in requests per second; 0 if it names
// none.
func (g *Gate) Limit() float64 {
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	return g.notices.limit
}

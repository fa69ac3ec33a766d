package gate

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/upstream"
)

var requestsSent = metrics.NewCounter("fulmarhinge_backend_requests_sent_total")

// notices holds what the server has stated about itself in its responses.
type notices struct {
	mu       sync.Mutex
	instance fleet.Instance
	limited  bool
	limit    float64
	// namedAt is when the last response that named the limit was received.
	namedAt time.Time
	leaving bool
}

// recordNotice records the notice in the response to a request that was sent to the
// instance at the given time.
func (g *Gate) recordNotice(instance fleet.Instance, sentAt time.Time, resp *upstream.Response) {
	if resp.NoticeErr != nil {
		g.log.Warn("notice of the backend server ignored", "server", instance.ID, "error", resp.NoticeErr)
	}
	if resp.Notice == nil {
		return
	}
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	if g.notices.instance != instance {
		g.notices.instance, g.notices.limited, g.notices.limit, g.notices.leaving = instance, false, 0, false
	}
	if resp.NoticeErr == nil {
		g.recordLimit(sentAt, resp.Notice)
	}
	if resp.Notice.Leaving && !g.notices.leaving {
		g.notices.leaving = true
		g.log.Info("backend server states in its answers that it leaves", "server", instance.ID, "born", instance.StartedMs)
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
	n.limited, n.limit = stated.Limited, stated.Limit
}

// Limit returns the limit that the server names, in requests per second; 0 if it names
// none.
func (g *Gate) Limit() float64 {
	g.notices.mu.Lock()
	defer g.notices.mu.Unlock()
	return g.notices.limit
}

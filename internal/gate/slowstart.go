package gate

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fulmarhinge/internal/admission"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/slowstart"
	"fulmarhinge/internal/wire"
)

var (
	coldRefusals = metrics.NewCounter("fulmarhinge_backend_cold_refusals_total")
	coldWait     = metrics.NewHistogram("fulmarhinge_backend_cold_wait_seconds")
)

// coldLog remembers whether the server was last logged as cold.
type coldLog struct {
	mu    sync.Mutex
	cold  bool
	since time.Time
}

func instanceName(i fleet.Instance) string {
	return i.ID + "/" + strconv.FormatInt(i.StartedMs, 10)
}

// SetSlowStart sets the slow start of the server's service and its bounds.
func (g *Gate) SetSlowStart(c slowstart.Config) {
	g.queue.UpdateSlowStart(func(now time.Time, l *slowstart.Limiter) { l.Configure(now, c) })
	g.ColdLimit()
}

// ReportCold records how much longer the instance is cold by its liveness report, 0 if it
// is warm. It is called before SetServer, so that a new instance is limited from its first
// request on, and one that is warm is not limited at all.
func (g *Gate) ReportCold(instance fleet.Instance, left time.Duration) {
	g.queue.UpdateSlowStart(func(now time.Time, l *slowstart.Limiter) {
		l.SetInstance(now, instanceName(instance))
		l.State(now, now, left)
	})
	g.ColdLimit()
}

// ExpectCold makes the server count as cold until it states otherwise. It is called at the end
// of an evacuation of its zone.
func (g *Gate) ExpectCold() {
	g.queue.UpdateSlowStart(func(now time.Time, l *slowstart.Limiter) { l.ExpectCold(now) })
	g.ColdLimit()
}

// ColdLimit returns how much longer the server is limited as cold and the requests per second
// that it is sent meanwhile, both 0 if it is not. It logs each change between cold and warm.
func (g *Gate) ColdLimit() (left time.Duration, perSecond float64) {
	s := g.queue.SlowStart()
	g.logCold(s)
	return s.ColdLeft, s.Rate
}

func (g *Gate) logCold(s admission.SlowStartLimit) {
	server := g.server.Load()
	if server == nil {
		// It is logged once the server is known.
		return
	}
	l := &g.coldLog
	l.mu.Lock()
	defer l.mu.Unlock()
	if cold := s.ColdLeft > 0; cold == l.cold {
		return
	}
	l.cold = !l.cold
	if l.cold {
		l.since = time.Now()
		g.log.Info("backend server is cold", "server", server.ID, "left_ms", s.ColdLeft.Milliseconds(), "per_second", s.Rate)
		return
	}
	g.log.Info("backend server is warm", "server", server.ID, "after_ms", time.Since(l.since).Milliseconds())
}

// setRate sets the rate at which the server is sent requests in a response.
func (g *Gate) setRate(priority int, out *wire.ResponseHead) {
	s := g.queue.SlowStart()
	out.ColdLeftMs = uint32(s.ColdLeft.Milliseconds())
	out.Rate = s.Rate
	if n := out.GetNotice(); n.GetLimited() && (out.Rate == 0 || n.GetLimit() < out.Rate) {
		out.Rate = max(n.GetLimit(), admission.MinRate)
	}
	if out.Rate > 0 {
		out.RateWaitMs = uint32(g.queue.RateWaitOf(priority).Milliseconds())
	}
}

// acquire waits for a slot of the server, no longer than until the zone is evacuated, and
// counts what a cold server delays and refuses.
func (g *Gate) acquire(ctx context.Context, r *admission.Request) (admission.Refusal, time.Duration) {
	ctx, cancel := g.untilEvacuated(ctx)
	defer cancel()
	if g.queue.SlowStart().ColdLeft == 0 {
		return g.queue.Acquire(ctx, r)
	}
	start := time.Now()
	reason, retryAfter := g.queue.Acquire(ctx, r)
	switch reason {
	case 0:
		coldWait.Update(time.Since(start).Seconds())
	case admission.Overloaded:
		coldRefusals.Inc()
	}
	return reason, retryAfter
}

// checkRestarted asks a server that broke connections whether it is cold: it may have
// restarted under the same id, and is sent requests until its first report.
func (g *Gate) checkRestarted() {
	path := g.healthPath.Load()
	if path == nil || *path == "" || !g.queue.SlowStart().Enabled {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), silenceCheckTimeout)
	defer cancel()
	if err := g.checkHealth(ctx, *path); err != nil {
		g.log.Info("health check of a backend server that broke a connection failed", "error", err)
	}
}

// checkHealth sends a health check once the slow start of the server allows it, and records
// what the answer says of that. It returns nil if the server answered anything.
func (g *Gate) checkHealth(ctx context.Context, path string) error {
	settle := g.queue.AcquirePlace(ctx)
	if settle == nil {
		return ctx.Err()
	}
	sentAt, written := time.Now(), false
	health, err := g.client.Check(ctx, path, func() {
		written = true
		settle(true)
	})
	if !written {
		settle(false)
	}
	if err != nil {
		return err
	}
	if health.ColdErr != nil {
		g.log.Warn("slow start in the answer to a health check ignored", "error", health.ColdErr)
		return nil
	}
	server := g.server.Load()
	g.queue.UpdateSlowStart(func(now time.Time, l *slowstart.Limiter) {
		// Another server at the address may be cold, but does not show that this one is warm.
		if health.ColdLeft > 0 || health.Instance != "" && server != nil && health.Instance == server.ID {
			l.State(now, sentAt, health.ColdLeft)
		}
	})
	g.ColdLimit()
	return nil
}

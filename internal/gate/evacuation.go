package gate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

// evacuationRetryAfter is the time after which callers may ask again. An evacuation lasts
// longer, but the keys of the zone are served elsewhere after two report periods.
const evacuationRetryAfter = time.Second

var evacuationRefusals = metrics.NewCounter(`fulmarhinge_evacuation_refusals_total{at="gate"}`)

// zoneState is the evacuation state of the gate's own zone. The context ends when an
// evacuation begins.
type zoneState struct {
	evacuated atomic.Bool
	// known is true once the gate has been told the state.
	known   bool
	current atomic.Pointer[zonePeriod]
}

// zonePeriod is a time in which the zone is in service.
type zonePeriod struct {
	ctx context.Context
	end context.CancelFunc
}

// begin sets the initial state. A gate that awaits its state treats the zone as evacuated.
func (z *zoneState) begin(await bool) {
	z.enterService()
	if await {
		z.evacuated.Store(true)
		z.current.Load().end()
	}
}

func (z *zoneState) enterService() {
	ctx, cancel := context.WithCancel(context.Background())
	z.current.Store(&zonePeriod{ctx, cancel})
}

// SetZoneEvacuated tells the gate whether its zone is under evacuation. Meanwhile new and
// waiting requests are refused, and running ones complete. One goroutine calls it.
func (g *Gate) SetZoneEvacuated(evacuated bool) {
	wasKnown := g.zone.known
	g.zone.known = true
	if g.zone.evacuated.Load() == evacuated {
		return
	}
	if evacuated {
		g.zone.evacuated.Store(true)
		g.zone.current.Load().end()
	} else {
		g.zone.enterService()
		g.zone.evacuated.Store(false)
		if wasKnown {
			// The server may be cold.
			g.ExpectCold()
		}
	}
	g.wake()
}

// untilEvacuated returns a context that also ends once the zone is evacuated.
func (g *Gate) untilEvacuated(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(g.zone.current.Load().ctx, cancel)
	return ctx, func() { stop(); cancel() }
}

func refuseEvacuated() *wire.ResponseHead {
	evacuationRefusals.Inc()
	return refuse(result.ZoneEvacuated, evacuationRetryAfter)
}

package ingress

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/locality"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

// minLimit is the rate in requests per second at which a gate sends requests to a server
// that names a limit of 0.
const minLimit = 0.25

// crossings counts the attempts that were sent to another zone, by reason.
var crossings = map[locality.Crossing]*metrics.Counter{
	locality.NoServer: metrics.NewCounter(`fulmarhinge_zone_crossings_total{reason="no-server"}`),
	locality.Target:   metrics.NewCounter(`fulmarhinge_zone_crossings_total{reason="target"}`),
	locality.Gain:     metrics.NewCounter(`fulmarhinge_zone_crossings_total{reason="gain"}`),
}

// earlyRefusals counts the requests that were refused because no server could answer by
// the deadline.
var earlyRefusals = metrics.NewCounter("fulmarhinge_early_refusals_total")

// picker chooses a backend server for a service that is not divided by keys. It makes
// a locality.Balancer safe for concurrent use.
type picker struct {
	mu       sync.Mutex
	balancer *locality.Balancer
}

func newPicker(self, zone string) *picker {
	return &picker{balancer: locality.New(self, zone, rand.Float64)}
}

// pick chooses one of the members that have not been tried yet, and counts the request
// as in flight there. If it is certain that none answers by the deadline, refused is
// true, and retryAfter is the time after which one has capacity.
func (p *picker) pick(now time.Time, members []*fleet.Member, tried []string, r locality.Request) (c locality.Choice, retryAfter time.Duration, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if retryAfter, refused = p.balancer.Refused(now, members, r); refused {
		earlyRefusals.Inc()
		return locality.Choice{}, retryAfter, true
	}
	c = p.balancer.Choose(now, members, tried, r)
	if counter := crossings[c.Crossing]; counter != nil {
		counter.Inc()
	}
	return c, 0, false
}

// done records the response to a request that pick assigned to a server. bytes is the
// size of the bodies of request and response.
func (p *picker) done(now time.Time, r locality.Request, c locality.Choice, h *wire.ResponseHead, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.Done(now, c.Member, r, c, outcome(h, r.Priority, bytes))
}

// outcome returns what the response to a request of the priority states about its server.
func outcome(h *wire.ResponseHead, priority, bytes int) locality.Outcome {
	out := locality.Outcome{
		Waited: time.Duration(h.GetWaitedUs()) * time.Microsecond, Work: time.Duration(h.GetServedUs()) * time.Microsecond,
		Bytes: bytes,
	}
	switch result.Code(h.GetCode()) {
	case result.OK:
		out.Served = true
	case result.BackendBusy, result.CancelledAfter, result.CancelledBefore:
	default:
		out.Failed = true
	}
	if h.GetSlots() == 0 {
		return out
	}
	out.Report = &locality.Report{
		Running: int(h.GetInFlight()), Waiting: int(h.GetWaiting()), Slots: int(h.GetSlots()),
		LinkWait:  time.Duration(h.GetLinkWaitMs()) * time.Millisecond,
		LimitWait: time.Duration(h.GetLimitWaitMs()) * time.Millisecond,
		Rate:      h.GetRate(), RateWait: time.Duration(h.GetRateWaitMs()) * time.Millisecond,
		ColdLeft: time.Duration(h.GetColdLeftMs()) * time.Millisecond, Priority: priority,
		Slowness: int(h.GetSlownessPercent()),
	}
	if n := h.GetNotice(); n.GetLimited() {
		out.Report.Limit = max(n.GetLimit(), minLimit)
	}
	return out
}

// localityRequest returns the properties of the request that the choice depends on.
func (q *request) localityRequest(now time.Time) locality.Request {
	r := locality.Request{Route: q.route.Name, Priority: q.route.Priority, Deadline: q.deadline.Sub(now), Bulk: q.route.Bulk}
	if q.route.TargetLatency > 0 {
		r.Target = q.received.Add(q.route.TargetLatency - q.age).Sub(now)
	}
	return r
}

// attemptUnkeyed makes one attempt to send a request without a key.
func (q *request) attemptUnkeyed(send func(*fleet.Member) (*wire.ResponseHead, []byte)) (*wire.ResponseHead, []byte) {
	now := time.Now()
	r := q.localityRequest(now)
	c, retryAfter, refused := q.server.picker.pick(now, q.candidates(), q.triedMembers, r)
	switch {
	case refused:
		q.refusedEarly = true
		return refusal(result.BackendBusy, retryAfter), nil
	case c.Member == nil:
		return countEvacuated(q.refuseWithoutServer()), nil
	}
	h, body := send(c.Member)
	q.server.picker.done(time.Now(), r, c, h, len(q.body)+len(body))
	q.triedMembers = append(q.triedMembers, c.Member.Name)
	return h, body
}

// refuseWithoutServer returns the refusal of a request without a key for which there is no
// server left to choose.
func (q *request) refuseWithoutServer() *wire.ResponseHead {
	switch {
	case q.suspected():
		return refusal(result.BackendBusy, 0)
	case q.onlyEvacuated():
		return refuseEvacuated()
	default:
		return refusal(result.BackendNotReady, 0)
	}
}

package ingress

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

// priorityLabels is the number of priorities with separate metrics; all lower
// priorities share the last label.
const priorityLabels = 8

// requestMetrics holds the request metrics. They are created once, so that the
// request path does not build metric names.
type requestMetrics struct {
	requests         map[result.Code]*[priorityLabels]*metrics.Counter
	requestSeconds   [priorityLabels]*metrics.Histogram
	queueWaitSeconds [priorityLabels]*metrics.Histogram
	attempts         *metrics.Counter
	retries          *metrics.Counter
	overBudget       *metrics.Counter
	// callerGone counts the requests whose caller had left when they were read.
	callerGone *metrics.Counter
	// allCold counts the requests that no server could take in time, as all were cold.
	allCold *metrics.Counter
}

func newRequestMetrics() *requestMetrics {
	c := &requestMetrics{
		requests:   map[result.Code]*[priorityLabels]*metrics.Counter{},
		attempts:   metrics.GetOrCreateCounter("fulmarhinge_dispatch_attempts_total"),
		retries:    metrics.GetOrCreateCounter("fulmarhinge_retries_total"),
		overBudget: metrics.GetOrCreateCounter("fulmarhinge_retries_over_budget_total"),
		allCold:    metrics.GetOrCreateCounter("fulmarhinge_requests_all_cold_total"),
		callerGone: metrics.GetOrCreateCounter("fulmarhinge_requests_caller_gone_total"),
	}
	for p := range priorityLabels {
		c.requestSeconds[p] = metrics.GetOrCreateHistogram(fmt.Sprintf(`fulmarhinge_request_seconds{priority="%d"}`, p))
		c.queueWaitSeconds[p] = metrics.GetOrCreateHistogram(fmt.Sprintf(`fulmarhinge_queue_wait_seconds{priority="%d"}`, p))
	}
	for _, info := range result.Table {
		var row [priorityLabels]*metrics.Counter
		for p := range priorityLabels {
			row[p] = metrics.GetOrCreateCounter(fmt.Sprintf(`fulmarhinge_requests_total{code="%d",priority="%d"}`, info.Code, p))
		}
		c.requests[info.Code] = &row
	}
	return c
}

// recordMetrics updates the metrics with a completed request.
func (s *Server) recordMetrics(q *request, h *wire.ResponseHead) {
	p := 0
	if q.route != nil {
		p = min(max(q.route.Priority, 0), priorityLabels-1)
	}
	if row := s.reqMetrics.requests[result.Code(h.GetCode())]; row != nil {
		row[p].Inc()
	}
	s.reqMetrics.attempts.Add(q.attempts)
	s.reqMetrics.requestSeconds[p].Update(time.Since(q.received).Seconds())
	if h.GetServedUs() > 0 {
		s.reqMetrics.queueWaitSeconds[p].Update(float64(h.GetWaitedUs()) / 1e6)
	}
}

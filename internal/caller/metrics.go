package caller

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fulmarhinge/internal/result"
)

// Request metrics. They use atomics because a histogram of the metrics library
// takes a lock, which all requests would contend for.
var (
	requestCounters  = newRequestCounters()
	requestDurations = newHistogram(
		time.Millisecond, 2*time.Millisecond, 5*time.Millisecond, 11*time.Millisecond,
		25*time.Millisecond, 50*time.Millisecond, 100*time.Millisecond, 250*time.Millisecond,
		500*time.Millisecond, time.Second, 3*time.Second, 10*time.Second).register("fulmarhinge_request_seconds")
)

// newRequestCounters creates a counter for each result code. The map is
// read-only after that, so it needs no lock.
func newRequestCounters() map[result.Code]*metrics.Counter {
	m := make(map[result.Code]*metrics.Counter, len(result.Table))
	for _, info := range result.Table {
		name := fmt.Sprintf(`fulmarhinge_requests_total{code="%d",result=%q}`, info.Code, info.Kind)
		m[info.Code] = metrics.NewCounter(name)
	}
	return m
}

// histogram counts durations in buckets.
type histogram struct {
	bounds []time.Duration
	// counts has one entry per bound and a last one for all longer durations.
	counts []atomic.Uint64
	// sumNanos is the sum of all durations in nanoseconds.
	sumNanos atomic.Int64
}

func newHistogram(bounds ...time.Duration) *histogram {
	return &histogram{bounds: bounds, counts: make([]atomic.Uint64, len(bounds)+1)}
}

// register exports the histogram in the Prometheus format, with cumulative
// buckets.
func (h *histogram) register(name string) *histogram {
	for i, b := range h.bounds {
		le := fmt.Sprintf(`%s_bucket{le="%g"}`, name, b.Seconds())
		metrics.NewGauge(le, func() float64 { return float64(h.cumulativeCount(i)) })
	}
	last := len(h.bounds)
	metrics.NewGauge(name+`_bucket{le="+Inf"}`, func() float64 { return float64(h.cumulativeCount(last)) })
	metrics.NewGauge(name+"_count", func() float64 { return float64(h.cumulativeCount(last)) })
	metrics.NewGauge(name+"_sum", func() float64 { return time.Duration(h.sumNanos.Load()).Seconds() })
	return h
}

func (h *histogram) observe(v time.Duration) {
	i := 0
	for i < len(h.bounds) && v > h.bounds[i] {
		i++
	}
	h.counts[i].Add(1)
	h.sumNanos.Add(int64(v))
}

// cumulativeCount returns the number of durations in the bucket and in those
// below it.
func (h *histogram) cumulativeCount(bucket int) uint64 {
	n := uint64(0)
	for i := range bucket + 1 {
		n += h.counts[i].Load()
	}
	return n
}

// recordMetrics records the end of a request that began at start.
func (r *response) recordMetrics(start time.Time) {
	if c := requestCounters[r.code]; c != nil {
		c.Inc()
	}
	requestDurations.observe(time.Since(start))
}

package operator

import (
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	status := s.deps.Status()
	ready, _ := s.deps.Ready()
	writeStatusMetrics(w, &status, ready)
	if s.extraMetrics != nil {
		s.extraMetrics.WritePrometheus(w)
	}
	metrics.WritePrometheus(w, true)
}

// writeStatusMetrics writes the metrics that alerts are based on. They are
// derived from the status on each scrape, so the control state keeps no gauges.
func writeStatusMetrics(w io.Writer, s *Status, ready bool) {
	metrics.WriteGaugeFloat64(w, "fulmarhinge_ready", boolGauge(ready))
	metrics.WriteGaugeFloat64(w, "fulmarhinge_admitting", boolGauge(s.Admitting))
	metrics.WriteGaugeFloat64(w, "fulmarhinge_draining", boolGauge(s.Draining))
	metrics.WriteGaugeFloat64(w, "fulmarhinge_lease_left_seconds", msToSeconds(s.LeaseLeftMs))
	metrics.WriteGaugeFloat64(w, "fulmarhinge_platform_lag_seconds", msToSeconds(s.PlatformLagMs))
	metrics.WriteGaugeUint64(w, "fulmarhinge_revision_in_force", s.RevisionInForce)
	metrics.WriteGaugeUint64(w, "fulmarhinge_revision_known", s.RevisionKnown)
	metrics.WriteGaugeUint64(w, "fulmarhinge_incarnation", s.Incarnation)
	metrics.WriteGaugeUint64(w, "fulmarhinge_in_flight", uint64(max(s.InFlight, 0)))
	metrics.WriteGaugeUint64(w, "fulmarhinge_members", uint64(len(s.Members)))
	metrics.WriteGaugeUint64(w, "fulmarhinge_witnesses", uint64(len(s.Witnesses)))
	metrics.WriteGaugeUint64(w, `fulmarhinge_units{state="serving"}`, uint64(s.Owned.Serving))
	metrics.WriteGaugeUint64(w, `fulmarhinge_units{state="pending"}`, uint64(s.Owned.Pending))
	metrics.WriteGaugeUint64(w, `fulmarhinge_units{state="stopping"}`, uint64(s.Owned.Stopping))
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func msToSeconds(ms int64) float64 { return float64(ms) / float64(time.Second/time.Millisecond) }

package sidecar

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/platform"
)

// gauges holds the values that the control goroutine publishes for the metrics and
// the operator status.
type gauges struct {
	leaseUntil      atomic.Int64
	documentVersion atomic.Uint64
	isLeader        atomic.Bool
	watchesConfig   atomic.Bool
	forwardsConfig  atomic.Bool
	rowsHeld        atomic.Int64
	// lastPlatformRead is the time of the last successful read of the fleet document.
	lastPlatformRead atomic.Int64
}

// Metrics of the control goroutine.
var (
	grantsMade     = metrics.NewCounter("fulmarhinge_grants_total")
	reportsStale   = metrics.NewCounter("fulmarhinge_reports_stale_total")
	reportsRefused = metrics.NewCounter("fulmarhinge_reports_refused_total")
	handoverGap    = metrics.NewHistogram("fulmarhinge_handover_gap_seconds")
	controlDelay   = metrics.NewHistogram("fulmarhinge_control_delay_seconds")
	reportSeconds  = metrics.NewHistogram("fulmarhinge_report_interval_seconds")
)

// registerGauges registers the gauges of a node.
func (n *Node) registerGauges() {
	gauge := func(name string, f func() float64) { n.metrics.NewGauge(name, f) }
	gauge("fulmarhinge_document_version", func() float64 { return float64(platform.RevisionOf(n.gauges.documentVersion.Load())) })
	gauge("fulmarhinge_document_era", func() float64 { return float64(platform.EraOf(n.gauges.documentVersion.Load())) })
	gauge("fulmarhinge_store_era", func() float64 { return float64(n.adapter.Era()) })
	gauge("fulmarhinge_config_version", func() float64 { return float64(n.ingress.ConfigVersion()) })
	gauge("fulmarhinge_evacuated_zones", func() float64 { return float64(len(n.evacuatedZones())) })
	gauge("fulmarhinge_backend_limit", n.gate.Limit)
	gauge("fulmarhinge_backend_cold_left_seconds", func() float64 {
		left, _ := n.gate.ColdLimit()
		return left.Seconds()
	})
	gauge("fulmarhinge_suspect_requests", func() float64 { return float64(n.suspects.Size()) })
	gauge("fulmarhinge_rows_held", func() float64 { return float64(n.gauges.rowsHeld.Load()) })
	gauge("fulmarhinge_body_memory_bytes", func() float64 { return float64(n.memory.Used()) })
	gauge("fulmarhinge_body_evictions_total", func() float64 { return float64(n.memory.Evictions()) })
	gauge("fulmarhinge_caller_connections", func() float64 {
		if l, ok := n.callerListener(); ok {
			return float64(l.Len())
		}
		return 0
	})
	gauge("fulmarhinge_caller_connections_ended_total", func() float64 {
		if l, ok := n.callerListener(); ok {
			return float64(l.Ended())
		}
		return 0
	})
	gauge("fulmarhinge_leads", func() float64 {
		if n.gauges.isLeader.Load() {
			return 1
		}
		return 0
	})
}

// formatArgs converts durations in log arguments to whole milliseconds.
func formatArgs(args []any) []any {
	out := make([]any, len(args))
	for i, a := range args {
		out[i] = a
		if d, ok := a.(time.Duration); ok {
			out[i] = fmt.Sprintf("%dms", d.Milliseconds())
		}
	}
	return out
}

// handoverTimer measures how long rows are not served during a hand-over: from the
// time this node learns that it owns a row until its backend server is granted it.
type handoverTimer struct {
	// startByEpoch holds the start times of pending hand-overs by the row's epoch.
	startByEpoch map[uint64]time.Time
}

// update starts the timers of rows that a new document assigns to this node.
func (h *handoverTimer) update(doc *fleet.Document, self string, held *fleet.Held) {
	heldEpochs := map[uint64]bool{}
	if held != nil {
		for _, r := range held.Rows {
			heldEpochs[r.Epoch] = true
		}
	}
	startByEpoch := map[uint64]time.Time{}
	for _, t := range doc.Tables {
		for _, r := range t {
			if r.Owner != self || r.Next != "" || heldEpochs[r.Epoch] {
				continue
			}
			if at, known := h.startByEpoch[r.Epoch]; known {
				startByEpoch[r.Epoch] = at
			} else {
				startByEpoch[r.Epoch] = time.Now()
			}
		}
	}
	h.startByEpoch = startByEpoch
}

// complete records the hand-over time of rows that the backend server was granted.
func (h *handoverTimer) complete(rows []fleet.Row) {
	for _, r := range rows {
		if at, known := h.startByEpoch[r.Epoch]; known {
			handoverGap.Update(time.Since(at).Seconds())
			delete(h.startByEpoch, r.Epoch)
		}
	}
}

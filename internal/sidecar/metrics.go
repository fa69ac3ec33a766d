package sidecar

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fulmarhinge/internal/fleet"
)

// gauges are what the control goroutine publishes for the metrics.
type gauges struct {
	lease    atomic.Int64
	document atomic.Uint64
	leads    atomic.Bool
	rows     atomic.Int64
	// answered is when the platform last answered a read of the document.
	answered atomic.Int64
}

// counters of the control side.
var (
	grantsMade    = metrics.NewCounter("fulmarhinge_grants_total")
	reportsStale  = metrics.NewCounter("fulmarhinge_reports_stale_total")
	reportsBad    = metrics.NewCounter("fulmarhinge_reports_refused_total")
	handoverGap   = metrics.NewHistogram("fulmarhinge_handover_gap_seconds")
	reportSeconds = metrics.NewHistogram("fulmarhinge_report_interval_seconds")
)

// register makes the gauges of a node visible.
func (n *Node) register() {
	gauge := func(name string, f func() float64) { n.metrics.NewGauge(name, f) }
	gauge("fulmarhinge_document_version", func() float64 { return float64(n.gauges.document.Load()) })
	gauge("fulmarhinge_config_version", func() float64 { return float64(n.entry.ConfigVersion()) })
	gauge("fulmarhinge_rows_held", func() float64 { return float64(n.gauges.rows.Load()) })
	gauge("fulmarhinge_leads", func() float64 {
		if n.gauges.leads.Load() {
			return 1
		}
		return 0
	})
}

// noteArgs puts times into ms, so that lines have plain numbers.
func noteArgs(args []any) []any {
	out := make([]any, len(args))
	for i, a := range args {
		out[i] = a
		if d, ok := a.(time.Duration); ok {
			out[i] = fmt.Sprintf("%dms", d.Milliseconds())
		}
	}
	return out
}

// gaps measures how long rows that have changed hands wait for their holder: from
// when this node learned that a row is its own until its server was granted it.
type gaps struct {
	due map[uint64]time.Time
}

// learned notes the rows that a document gives to this node.
func (g *gaps) learned(doc *fleet.Document, self string, held *fleet.Held) {
	has := map[uint64]bool{}
	if held != nil {
		for _, r := range held.Rows {
			has[r.Epoch] = true
		}
	}
	due := map[uint64]time.Time{}
	for _, t := range doc.Tables {
		for _, r := range t {
			if r.Owner != self || r.Next != "" || has[r.Epoch] {
				continue
			}
			if at, known := g.due[r.Epoch]; known {
				due[r.Epoch] = at
			} else {
				due[r.Epoch] = time.Now()
			}
		}
	}
	g.due = due
}

// granted ends the wait of the rows that the server was granted.
func (g *gaps) granted(rows []fleet.Row) {
	for _, r := range rows {
		if at, known := g.due[r.Epoch]; known {
			handoverGap.Update(time.Since(at).Seconds())
			delete(g.due, r.Epoch)
		}
	}
}

package platform

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Values of the label kind.
const (
	callGet    = "get"
	callList   = "list"
	callPut    = "put"
	callDelete = "delete"
	callWatch  = "watch"
)

// openWatches is the number of watches that are open now. The platform counts
// each as one call in progress.
var openWatches = metrics.NewCounter("fulmarhinge_platform_watches_waiting")

var entriesIgnored = metrics.NewCounter("fulmarhinge_platform_entries_ignored_total")

// CountIgnoredEntry counts an entry of the store that cannot be decoded.
func CountIgnoredEntry() { entriesIgnored.Inc() }

// CountCall counts a call of a Store by its outcome. kind is one of get, list,
// put, delete and watch.
func CountCall(kind string, err error) { countCall(kind, err) }

// countCall counts a call by its outcome.
func countCall(kind string, err error) {
	name := fmt.Sprintf("fulmarhinge_platform_calls_total{kind=%q,outcome=%q}", kind, outcomeOf(err))
	metrics.GetOrCreateCounter(name).Inc()
}

// outcomeOf returns the value of the label outcome for an error.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case ErrConflict.Has(err):
		return "conflict"
	case ErrNotFound.Has(err):
		return "not_found"
	case ErrTooLarge.Has(err):
		return "too_large"
	case ErrUnknown.Has(err):
		return "unknown"
	}
	return "unavailable"
}

package logging

import (
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
)

var panics = metrics.NewCounter("fulmarhinge_panics_total")

// ContainPanic ends a panic of the function that defers it, and logs it with its stack
// and the given key/value pairs. It is for work on behalf of one peer or request, which
// must not end the process.
func ContainPanic(log hclog.Logger, args ...any) {
	cause := recover()
	if cause == nil {
		return
	}
	panics.Inc()
	log.Error("panic contained", append(args, "cause", cause, "stack", string(debug.Stack()))...)
}

package gate

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fulmarhinge/internal/admission"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

// refusalReasons are the texts of the reasons in metrics and logs.
var refusalReasons = map[admission.Refusal]string{
	admission.Overloaded: "no_room",
	admission.Displaced:  "gave_way",
	admission.Expired:    "waited_too_long",
	admission.Failing:    "class_fails",
}

const (
	// linkReason is the reason of refusals because of the link's backlog.
	linkReason = "link_full"
	// Kinds of classes in metrics: large responses, requests that may be repeated, and
	// all others.
	kindDownload, kindRepeatable, kindOnce = "download", "repeatable", "once"
)

// refusalCounters counts refusals by reason and kind of class. They are created at
// start, so that the request path builds no metric names.
var refusalCounters = newRefusalCounters()

func newRefusalCounters() map[string]map[string]*metrics.Counter {
	out := map[string]map[string]*metrics.Counter{}
	add := func(reason string) {
		out[reason] = map[string]*metrics.Counter{}
		for _, kind := range []string{kindDownload, kindRepeatable, kindOnce} {
			out[reason][kind] = metrics.NewCounter(fmt.Sprintf(`fulmarhinge_gate_refusals_total{reason=%q,kind=%q}`, reason, kind))
		}
	}
	for _, reason := range refusalReasons {
		add(reason)
	}
	add(linkReason)
	return out
}

func classKind(h *wire.RequestHead) string {
	switch {
	case h.GetBulk():
		return kindDownload
	case h.GetIdempotent():
		return kindRepeatable
	default:
		return kindOnce
	}
}

// class returns the class of a request for admission: requests of similar work and value.
func class(h *wire.RequestHead) string {
	return h.GetService() + "|" + strconv.Itoa(int(h.GetPriority())) + "|" + h.GetMethod() + "|" + h.GetRoute()
}

// shed counts a refusal because of load and returns its response.
func shed(h *wire.RequestHead, reason string, retryAfter time.Duration) *wire.ResponseHead {
	refusalCounters[reason][classKind(h)].Inc()
	out := refuse(result.BackendBusy, retryAfter)
	out.Message = reason
	return out
}

// recordEnd tells the queue whether the server answered with a failure of its own, which
// mostly means that nested calls of the request failed.
func (r *request) recordEnd(class string, status int) {
	failed := status == http.StatusInternalServerError || status == http.StatusGatewayTimeout
	changed, failing := r.gate.queue.Ended(class, failed)
	if changed {
		r.gate.log.Warn("share of failures of the server by class changed", "service", r.head.GetService(),
			"route", r.head.GetRoute(), "method", r.head.GetMethod(), "only_probes", failing)
	}
}

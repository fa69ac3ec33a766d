package ingress

import (
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

const (
	// maxLinesPerKind is the number of requests with the same kind of outcome that
	// are logged separately in each period.
	maxLinesPerKind = 4
	// maxIDsPerKind is the number of request ids listed in a summary line.
	maxIDsPerKind = 200
	// outcomePeriod is the period of the line limit and of the summary lines.
	outcomePeriod = time.Second
)

// outcomeLog logs each request that was not served on the first attempt. Under
// load only the first requests of a kind are logged separately; the others are
// summarized once per second in a line that lists their ids.
type outcomeLog struct {
	log   hclog.Logger
	mu    sync.Mutex
	kinds map[outcomeKind]*tally
}

// outcomeKind is the set of outcomes that share one line limit.
type outcomeKind struct {
	text    string
	code    result.Code
	service string
	node    string
}

// tally counts the requests of one kind in the current period.
type tally struct {
	periodStart time.Time
	lines       int
	suppressed  int
	ids         []string
}

func newOutcomeLog(log hclog.Logger) *outcomeLog {
	return &outcomeLog{log: log, kinds: map[outcomeKind]*tally{}}
}

// record logs one request or, if the limit is reached, adds it to the summary.
func (o *outcomeLog) record(now time.Time, text string, q *request, h *wire.ResponseHead) {
	code := result.Code(h.GetCode())
	kind := outcomeKind{text: text, code: code, service: q.service, node: q.targetNode}
	o.mu.Lock()
	t := o.kinds[kind]
	if t == nil {
		t = &tally{periodStart: now}
		o.kinds[kind] = t
	}
	suppress := t.lines >= maxLinesPerKind && now.Sub(t.periodStart) < outcomePeriod
	if suppress {
		t.suppressed++
		if len(t.ids) < maxIDsPerKind {
			t.ids = append(t.ids, q.id)
		}
	}
	o.mu.Unlock()
	if suppress {
		return
	}
	o.summarize(now, kind)
	o.mu.Lock()
	t.lines++
	o.mu.Unlock()
	o.log.Warn(text, q.logFields(h)...)
}

// flush logs the summaries of all periods that have ended.
func (o *outcomeLog) flush(now time.Time) {
	o.mu.Lock()
	var ended []outcomeKind
	for kind, t := range o.kinds {
		if now.Sub(t.periodStart) >= outcomePeriod {
			ended = append(ended, kind)
		}
	}
	o.mu.Unlock()
	for _, kind := range ended {
		o.summarize(now, kind)
	}
}

// summarize logs the summary of a kind and starts its next period, if the current
// one has ended.
func (o *outcomeLog) summarize(now time.Time, kind outcomeKind) {
	o.mu.Lock()
	t := o.kinds[kind]
	if t == nil || now.Sub(t.periodStart) < outcomePeriod {
		o.mu.Unlock()
		return
	}
	suppressed, ids := t.suppressed, t.ids
	if t.lines == 0 {
		delete(o.kinds, kind)
	} else {
		*t = tally{periodStart: now}
	}
	o.mu.Unlock()
	if suppressed > 0 {
		o.log.Warn(kind.text+", more of the same", "code", uint32(kind.code), "result", result.Lookup(kind.code).Name,
			"service", kind.service, "node", kind.node, "count", suppressed, "requests", strings.Join(ids, " "))
	}
}

// logFields returns the log fields of an outcome, including the versions of the
// configuration and the fleet document that the request was routed by.
func (q *request) logFields(h *wire.ResponseHead) []any {
	now := time.Now()
	code := result.Code(h.GetCode())
	args := []any{
		"request", q.id, "code", uint32(code), "result", result.Lookup(code).Name, "route", routeName(q.route),
		"service", q.service, "node", q.targetNode, "attempts", q.attempts, "offered", q.offers,
		"took_ms", now.Sub(q.received).Milliseconds(), "config", q.server.ConfigVersion(), "document", q.documentVersion(),
	}
	if !q.deadline.IsZero() {
		args = append(args, "left_ms", q.deadline.Sub(now).Milliseconds())
	}
	if q.key != "" {
		args = append(args, "key", q.key, "epoch", q.rowEpoch())
	}
	if h.GetStatus() != 0 {
		args = append(args, "status", h.GetStatus())
	}
	if h.GetSlots() > 0 {
		args = append(args, "running", h.GetInFlight(), "waiting", h.GetWaiting(), "slots", h.GetSlots())
	}
	if n := h.GetNotice(); n != nil {
		args = append(args, "limited", n.GetLimited(), "limit", n.GetLimit(), "limit_wait_ms", h.GetLimitWaitMs(), "leaving", n.GetLeaving())
	}
	if left := h.GetColdLeftMs(); left > 0 {
		args = append(args, "cold_left_ms", left, "rate_wait_ms", h.GetRateWaitMs())
	}
	if h.GetRetryAfterMs() > 0 {
		args = append(args, "retry_after_ms", h.GetRetryAfterMs())
	}
	if h.GetMessage() != "" {
		args = append(args, "message", h.GetMessage())
	}
	return args
}

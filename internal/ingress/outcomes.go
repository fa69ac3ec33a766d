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
	// linesPerKind is how many requests of one kind of outcome get a line of
	// their own in each second.
	linesPerKind = 4
	// idsPerKind is how many of the others are named in the line that sums
	// them up.
	idsPerKind = 200
	// outcomePeriod is the time that a bound and a sum are for.
	outcomePeriod = time.Second
)

// outcomes writes a line for each request that was not served at the first
// try. Under load only the first of a kind get one; the others are summed up
// in one line a second, which names their ids.
type outcomes struct {
	log   hclog.Logger
	mu    sync.Mutex
	kinds map[outcomeKind]*tally
}

// outcomeKind is what the bound is for.
type outcomeKind struct {
	text    string
	code    result.Code
	service string
	node    string
}

// tally counts the requests of one kind in the present period.
type tally struct {
	since time.Time
	lines int
	rest  int
	ids   []string
}

func newOutcomes(log hclog.Logger) *outcomes {
	return &outcomes{log: log, kinds: map[outcomeKind]*tally{}}
}

// record writes or counts one request. now is the present time.
func (o *outcomes) record(now time.Time, text string, q *request, h *wire.ResponseHead) {
	code := result.Code(h.GetCode())
	kind := outcomeKind{text: text, code: code, service: q.service, node: q.where}
	o.mu.Lock()
	t := o.kinds[kind]
	if t == nil {
		t = &tally{since: now}
		o.kinds[kind] = t
	}
	full := t.lines >= linesPerKind && now.Sub(t.since) < outcomePeriod
	if full {
		t.rest++
		if len(t.ids) < idsPerKind {
			t.ids = append(t.ids, q.id)
		}
	}
	o.mu.Unlock()
	if full {
		return
	}
	o.sum(now, kind)
	o.mu.Lock()
	t.lines++
	o.mu.Unlock()
	o.log.Warn(text, q.inputs(h)...)
}

// flush sums up what was left out in periods that are over.
func (o *outcomes) flush(now time.Time) {
	o.mu.Lock()
	var due []outcomeKind
	for kind, t := range o.kinds {
		if now.Sub(t.since) >= outcomePeriod {
			due = append(due, kind)
		}
	}
	o.mu.Unlock()
	for _, kind := range due {
		o.sum(now, kind)
	}
}

// sum ends the period of a kind if it is over.
func (o *outcomes) sum(now time.Time, kind outcomeKind) {
	o.mu.Lock()
	t := o.kinds[kind]
	if t == nil || now.Sub(t.since) < outcomePeriod {
		o.mu.Unlock()
		return
	}
	rest, ids := t.rest, t.ids
	if t.lines == 0 {
		delete(o.kinds, kind)
	} else {
		*t = tally{since: now}
	}
	o.mu.Unlock()
	if rest > 0 {
		o.log.Warn(kind.text+", more of the same", "code", uint32(kind.code), "result", result.Lookup(kind.code).Name,
			"service", kind.service, "node", kind.node, "count", rest, "requests", strings.Join(ids, " "))
	}
}

// inputs are what an outcome followed from, with the version or age of each.
func (q *request) inputs(h *wire.ResponseHead) []any {
	now := time.Now()
	code := result.Code(h.GetCode())
	args := []any{
		"request", q.id, "code", uint32(code), "result", result.Lookup(code).Name, "route", routeName(q.route),
		"service", q.service, "node", q.where, "attempts", q.attempts, "offered", q.sent,
		"took_ms", now.Sub(q.begun).Milliseconds(), "config", q.server.ConfigVersion(), "document", q.documentVersion(),
	}
	if !q.deadline.IsZero() {
		args = append(args, "left_ms", q.deadline.Sub(now).Milliseconds())
	}
	if q.key != "" {
		args = append(args, "key", q.key)
	}
	if h.GetSlots() > 0 {
		args = append(args, "running", h.GetInFlight(), "waiting", h.GetWaiting(), "slots", h.GetSlots())
	}
	if h.GetRetryAfterMs() > 0 {
		args = append(args, "retry_after_ms", h.GetRetryAfterMs())
	}
	if h.GetMessage() != "" {
		args = append(args, "message", h.GetMessage())
	}
	return args
}

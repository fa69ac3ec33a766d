package gate

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/header"
	"fulmarhinge/internal/quarantine"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

var quarantineRefusals = metrics.NewCounter("fulmarhinge_quarantine_refusals_total")

// fingerprint returns the request's fingerprint, which it computes once.
func (r *request) fingerprint() quarantine.Fingerprint {
	if r.hasPrint {
		return r.print
	}
	host := ""
	for _, h := range r.head.GetHeaders() {
		if h.GetName() == "Host" {
			host = header.Value(h)
			break
		}
	}
	r.print = quarantine.FingerprintOf(r.head.GetMethod(), host, r.head.GetPath(), r.head.GetKey(), r.body)
	r.hasPrint = true
	return r.print
}

// quarantined returns the refusal of a request under which several servers have ended;
// nil for others.
func (r *request) quarantined() *wire.ResponseHead {
	if r.gate.suspects.Empty() {
		return nil
	}
	retryAfter, refused := r.gate.suspects.Refused(clock.Now(), r.fingerprint())
	if !refused {
		return nil
	}
	quarantineRefusals.Inc()
	return refuse(result.Quarantined, retryAfter)
}

// soloRuns holds the suspects that are running at the server.
type soloRuns struct {
	mu      sync.Mutex
	running map[quarantine.Fingerprint]bool
	// apart is true while one runs that is apart from all others of its kind.
	apart bool
}

// startSuspect reports whether the request may be sent now, and returns what is to be
// called once it has ended. Of the requests that are the same, and under which a server
// has ended, one runs at a time: if it is the cause, the others need not run. Of all under
// which several have ended, one runs at a time, so that the next end shows which is the
// cause.
func (r *request) startSuspect() (end func(), ok bool) {
	g := r.gate
	r.probe = false
	if g.suspects.Empty() {
		return func() {}, true
	}
	f, now := r.fingerprint(), clock.Now()
	if g.suspects.Ends(now, f) == 0 {
		return func() {}, true
	}
	apart := g.suspects.RunsApart(now, f)
	r.probe = g.suspects.IsProbe(now, f)
	g.solo.mu.Lock()
	defer g.solo.mu.Unlock()
	if g.solo.running[f] || apart && g.solo.apart {
		return nil, false
	}
	g.solo.apart = g.solo.apart || apart
	if g.solo.running == nil {
		g.solo.running = map[quarantine.Fingerprint]bool{}
	}
	g.solo.running[f] = true
	return func() {
		g.solo.mu.Lock()
		defer g.solo.mu.Unlock()
		delete(g.solo.running, f)
		if apart {
			g.solo.apart = false
		}
	}, true
}

// answered records that the server answered the request completely.
func (r *request) answered() {
	if r.gate.suspects.Empty() {
		return
	}
	if e := r.gate.suspects.Answered(clock.Now(), r.fingerprint()); e != nil {
		r.gate.onSuspects([]quarantine.Entry{*e})
	}
}

// adoptSuspect takes over what a peer knows of a request.
func (g *Gate) adoptSuspect(peers *wire.Suspect) {
	if peers != nil {
		g.suspects.Merge(clock.Now(), quarantine.FromWire(peers))
	}
}

// wireSuspect returns what is known of the request, nil if nothing.
func (r *request) wireSuspect() *wire.Suspect {
	if r.gate.suspects.Empty() {
		return nil
	}
	return r.gate.suspects.Lookup(clock.Now(), r.fingerprint()).Wire()
}

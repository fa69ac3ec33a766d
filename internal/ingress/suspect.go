package ingress

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/quarantine"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

// fingerprint returns the request's fingerprint, which it computes once. It is the same
// as at a gate.
func (q *request) fingerprint() quarantine.Fingerprint {
	if !q.hasPrint {
		q.print = quarantine.FingerprintOf(q.http.Method, q.http.Host, q.http.RequestURI, q.key, q.body)
		q.hasPrint = true
	}
	return q.print
}

// quarantined returns the refusal of a request under which several backend servers have
// ended; nil for others.
func (q *request) quarantined() *wire.ResponseHead {
	if q.server.cfg.Suspects.Empty() {
		return nil
	}
	retryAfter, refused := q.server.cfg.Suspects.Refused(clock.Now(), q.fingerprint())
	if !refused {
		return nil
	}
	return refusal(result.Quarantined, retryAfter)
}

// suspect returns what this node knows of the request, nil if nothing.
func (q *request) suspect() *wire.Suspect {
	if q.server.cfg.Suspects.Empty() {
		return nil
	}
	return q.server.cfg.Suspects.Lookup(clock.Now(), q.fingerprint()).Wire()
}

// suspected reports whether a backend server has ended under the request.
func (q *request) suspected() bool {
	table := q.server.cfg.Suspects
	return !table.Empty() && table.Ends(clock.Now(), q.fingerprint()) > 0
}

// suspectCandidates returns the members that the request may be sent to. If a backend
// server has ended under it, all nodes choose the same one, whose gate runs one such
// request at a time.
func (q *request) suspectCandidates(candidates []*fleet.Member) []*fleet.Member {
	if len(candidates) == 0 || !q.suspected() {
		return candidates
	}
	f := q.fingerprint()
	weight := func(m *fleet.Member) uint64 { return xxhash.Sum64String(string(f[:]) + m.Name) }
	return []*fleet.Member{slices.MinFunc(candidates, func(a, b *fleet.Member) int { return cmp.Compare(weight(a), weight(b)) })}
}

// adoptSuspect takes over what a gate knows of the request.
func (q *request) adoptSuspect(gates *wire.Suspect) {
	if gates != nil {
		q.server.cfg.Suspects.Merge(clock.Now(), quarantine.FromWire(gates))
	}
}

// mayRepeat reports whether the request may be sent to another server although one may
// have ended under it.
func (q *request) mayRepeat() bool {
	return q.server.cfg.Suspects.Empty() || q.server.cfg.Suspects.MayRepeat(clock.Now(), q.fingerprint())
}

// Package lease decides who may serve: a node holds its lease from witnesses,
// peers that promise for a fixed time not to vote for its eviction. The
// package is pure: time is an argument and messages are values.
package lease

import (
	"math"
	"slices"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
)

// Params are the timing rules, the same on every node of a fleet.
type Params struct {
	// Promise is how long a witness keeps one promise.
	Promise time.Duration
	// Renew is the time between two rounds of renewal.
	Renew time.Duration
	// DriftPercent bounds how much faster one node's clock may run than
	// another's. The holder gives up that share of each promise.
	DriftPercent int
}

// Forever is the end of a lease that nobody else can end.
const Forever = clock.Mono(math.MaxInt64)

// MaxUnheard is how many renewals in a row a witness extends without seeing
// that the holder hears its answers. It bounds how long a holder that can
// send but not receive delays its own eviction.
const MaxUnheard = 1

// keptRounds is how many rounds of sending times a holder remembers; answers
// to older rounds are too late to matter.
const keptRounds = 8

// Held returns the part of a promise that the holder may count on, from the
// time it sent the renewal.
func (p Params) Held() time.Duration {
	return p.Promise - p.Promise*time.Duration(p.DriftPercent)/100
}

// Holder is a node's own lease.
type Holder struct {
	params  Params
	sets    [][]cluster.MemberRef
	seq     uint64
	sent    map[uint64]clock.Mono
	acked   map[cluster.MemberRef]clock.Mono
	heard   map[cluster.MemberRef]uint64
	refused map[cluster.MemberRef]bool
	// prospect is a set that may be named next.
	prospect []cluster.MemberRef
}

// NewHolder returns a holder without witnesses and without a lease.
func NewHolder(p Params) *Holder {
	return &Holder{
		params:  p,
		sent:    map[uint64]clock.Mono{},
		acked:   map[cluster.MemberRef]clock.Mono{},
		heard:   map[cluster.MemberRef]uint64{},
		refused: map[cluster.MemberRef]bool{},
	}
}

// SetWitnesses makes the given sets the ones whose majorities the lease needs:
// one set normally, the old and the new one while the update of the member
// object is pending or its outcome is unknown. With the old set alone, the new
// one could evict the holder under a lease that it still believes in.
func (h *Holder) SetWitnesses(sets ...[]cluster.Witness) {
	h.sets = h.sets[:0:0]
	for _, s := range sets {
		h.sets = append(h.sets, refsOf(s))
	}
	h.forgetOthers()
}

// SetProspect names a set that the holder may change to. Its answers are kept,
// but the lease does not need them.
func (h *Holder) SetProspect(set []cluster.Witness) {
	h.prospect = refsOf(set)
	h.forgetOthers()
}

// ProspectUntil returns until when a majority of the prospect has promised.
func (h *Holder) ProspectUntil() clock.Mono { return h.untilOf(h.prospect) }

func refsOf(set []cluster.Witness) []cluster.MemberRef {
	refs := make([]cluster.MemberRef, 0, len(set))
	for _, w := range set {
		refs = append(refs, w.MemberRef)
	}
	return refs
}

// forgetOthers drops what is known of peers that are in no set any more.
func (h *Holder) forgetOthers() {
	in := map[cluster.MemberRef]bool{}
	for _, s := range append(h.sets[:len(h.sets):len(h.sets)], h.prospect) {
		for _, r := range s {
			in[r] = true
		}
	}
	for r := range h.acked {
		if !in[r] {
			delete(h.acked, r)
		}
	}
	for r := range h.heard {
		if !in[r] {
			delete(h.heard, r)
		}
	}
	for r := range h.refused {
		if !in[r] {
			delete(h.refused, r)
		}
	}
}

// Begin starts a round of renewals that are sent at now, and returns its
// sequence number.
func (h *Holder) Begin(now clock.Mono) uint64 {
	h.seq++
	h.sent[h.seq] = now
	delete(h.sent, h.seq-keptRounds)
	return h.seq
}

// Heard returns the newest round that the witness is known to have answered.
func (h *Holder) Heard(w cluster.MemberRef) uint64 { return h.heard[w] }

// Answer is a witness's reply to one renewal.
type Answer struct {
	Seq uint64
	// Extended is true if the witness made a new promise.
	Extended bool
	// Refused is true if the witness has voted against the holder: it will
	// never make another promise to this incarnation.
	Refused bool
}

// Answered records a reply. The promise counts from when the renewal was
// sent, because the witness may have started its timer at any moment since.
func (h *Holder) Answered(w cluster.MemberRef, a Answer) {
	at, known := h.sent[a.Seq]
	if !known || !h.isWitness(w) {
		return
	}
	h.heard[w] = max(h.heard[w], a.Seq)
	if a.Refused {
		h.refused[w] = true
		delete(h.acked, w)
		return
	}
	if a.Extended && !h.refused[w] {
		h.acked[w] = max(h.acked[w], at)
	}
}

func (h *Holder) isWitness(w cluster.MemberRef) bool {
	for _, s := range h.sets {
		if slices.Contains(s, w) {
			return true
		}
	}
	return slices.Contains(h.prospect, w)
}

// RefusedBy reports whether the witness has voted against this holder.
func (h *Holder) RefusedBy(w cluster.MemberRef) bool { return h.refused[w] }

// Refusals returns how many witnesses have voted against this holder.
func (h *Holder) Refusals() int { return len(h.refused) }

// LastAck returns when the newest answered renewal to the witness was sent.
func (h *Holder) LastAck(w cluster.MemberRef) clock.Mono { return h.acked[w] }

// Until returns until when the lease holds: the least over all sets.
func (h *Holder) Until() clock.Mono {
	if len(h.sets) == 0 {
		return 0
	}
	until := Forever
	for _, s := range h.sets {
		until = min(until, h.untilOf(s))
	}
	return until
}

// untilOf returns until when a majority of one set has promised. An empty set
// can't vote, so nobody can evict its member.
func (h *Holder) untilOf(set []cluster.MemberRef) clock.Mono {
	if len(set) == 0 {
		return Forever
	}
	var times []clock.Mono
	for _, w := range set {
		if t, ok := h.acked[w]; ok {
			times = append(times, t)
		}
	}
	need := Majority(len(set))
	if len(times) < need {
		return 0
	}
	slices.SortFunc(times, func(a, b clock.Mono) int { return int(min(1, max(-1, b-a))) })
	return times[need-1].Add(h.params.Held())
}

// Majority returns how many of n are more than half.
func Majority(n int) int { return n/2 + 1 }

// Package lease implements the leases under which nodes serve. A node's lease
// is granted by its witnesses: peers that promise for a fixed time not to vote
// for its eviction. The package does no I/O and reads no clock: callers pass
// the time and the messages in.
package lease

import (
	"math"
	"slices"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
)

// Params holds the lease timing, which is the same on every node of a fleet.
type Params struct {
	// PromiseDuration is how long one promise of a witness lasts.
	PromiseDuration time.Duration
	// RenewInterval is the interval between two renewal rounds.
	RenewInterval time.Duration
	// DriftPercent is the highest rate, in percent, by which one node's clock
	// may run faster than another's. The holder does not use that share of a
	// promise.
	DriftPercent int
}

// Forever is the end of a lease whose holder nobody can evict.
const Forever = clock.Mono(math.MaxInt64)

// MaxUnconfirmedRenewals is the number of consecutive renewals that a witness
// extends without proof that the holder receives its answers. It bounds how
// long a holder that can send but not receive delays its own eviction.
const MaxUnconfirmedRenewals = 1

// maxTrackedRounds is the number of rounds whose sending times a holder keeps.
// Answers to older rounds are ignored: their promises are no longer useful.
const maxTrackedRounds = 8

// UsablePromiseDuration returns how long after sending a renewal the holder may
// rely on the promise.
func (p Params) UsablePromiseDuration() time.Duration {
	return p.PromiseDuration - p.PromiseDuration*time.Duration(p.DriftPercent)/100
}

// Holder tracks a node's own lease.
type Holder struct {
	params        Params
	witnessSets   [][]cluster.MemberRef
	seq           uint64
	sentAt        map[uint64]clock.Mono
	lastAckSentAt map[cluster.MemberRef]clock.Mono
	lastAnswered  map[cluster.MemberRef]uint64
	refused       map[cluster.MemberRef]bool
	// candidates is the witness set that the holder may change to.
	candidates []cluster.MemberRef
}

// NewHolder returns a holder that has no witnesses and no lease.
func NewHolder(p Params) *Holder {
	return &Holder{
		params:        p,
		sentAt:        map[uint64]clock.Mono{},
		lastAckSentAt: map[cluster.MemberRef]clock.Mono{},
		lastAnswered:  map[cluster.MemberRef]uint64{},
		refused:       map[cluster.MemberRef]bool{},
	}
}

// SetWitnesses sets the witness sets; the lease needs a majority of each. There
// is normally one set, and both the old and the new one while the update of the
// member object is pending or its outcome is unknown. If only the old set
// counted, the new one could evict the holder while the holder still considers
// its lease valid.
func (h *Holder) SetWitnesses(sets ...[]cluster.Witness) {
	h.witnessSets = h.witnessSets[:0:0]
	for _, s := range sets {
		h.witnessSets = append(h.witnessSets, memberRefs(s))
	}
	h.forgetFormerWitnesses()
}

// SetCandidates sets the witness set that the holder may change to. The answers
// of its members are recorded, but the lease does not depend on them.
func (h *Holder) SetCandidates(set []cluster.Witness) {
	h.candidates = memberRefs(set)
	h.forgetFormerWitnesses()
}

// CandidatesPromisedUntil returns the time until which a majority of the
// candidate set has promised.
func (h *Holder) CandidatesPromisedUntil() clock.Mono { return h.promisedUntil(h.candidates) }

func memberRefs(set []cluster.Witness) []cluster.MemberRef {
	refs := make([]cluster.MemberRef, 0, len(set))
	for _, w := range set {
		refs = append(refs, w.MemberRef)
	}
	return refs
}

// forgetFormerWitnesses removes the answers of peers that are in no witness set
// any more.
func (h *Holder) forgetFormerWitnesses() {
	listed := map[cluster.MemberRef]bool{}
	for _, s := range append(h.witnessSets[:len(h.witnessSets):len(h.witnessSets)], h.candidates) {
		for _, r := range s {
			listed[r] = true
		}
	}
	for r := range h.lastAckSentAt {
		if !listed[r] {
			delete(h.lastAckSentAt, r)
		}
	}
	for r := range h.lastAnswered {
		if !listed[r] {
			delete(h.lastAnswered, r)
		}
	}
	for r := range h.refused {
		if !listed[r] {
			delete(h.refused, r)
		}
	}
}

// BeginRound starts a round of renewals sent at now and returns the round's
// sequence number.
func (h *Holder) BeginRound(now clock.Mono) uint64 {
	h.seq++
	h.sentAt[h.seq] = now
	delete(h.sentAt, h.seq-maxTrackedRounds)
	return h.seq
}

// LastAnswered returns the newest round that the witness has answered.
func (h *Holder) LastAnswered(w cluster.MemberRef) uint64 { return h.lastAnswered[w] }

// Answer is a witness's reply to one renewal.
type Answer struct {
	Seq uint64
	// Extended is true if the witness extended its promise.
	Extended bool
	// Refused is true if the witness has voted to evict the holder. It then
	// makes no further promise to this incarnation.
	Refused bool
}

// HandleAnswer records the reply of a witness. The promise is counted from the
// time the renewal was sent, because the witness may have started its timer at
// any moment after that.
func (h *Holder) HandleAnswer(w cluster.MemberRef, a Answer) {
	sentAt, known := h.sentAt[a.Seq]
	if !known || !h.isWitness(w) {
		return
	}
	h.lastAnswered[w] = max(h.lastAnswered[w], a.Seq)
	if a.Refused {
		h.refused[w] = true
		delete(h.lastAckSentAt, w)
		return
	}
	if a.Extended && !h.refused[w] {
		h.lastAckSentAt[w] = max(h.lastAckSentAt[w], sentAt)
	}
}

func (h *Holder) isWitness(w cluster.MemberRef) bool {
	for _, s := range h.witnessSets {
		if slices.Contains(s, w) {
			return true
		}
	}
	return slices.Contains(h.candidates, w)
}

// RefusedBy reports whether the witness has voted to evict this holder.
func (h *Holder) RefusedBy(w cluster.MemberRef) bool { return h.refused[w] }

// RefusalCount returns the number of witnesses that have voted to evict this
// holder.
func (h *Holder) RefusalCount() int { return len(h.refused) }

// LastAckSentAt returns the sending time of the newest renewal for which the
// witness extended its promise.
func (h *Holder) LastAckSentAt(w cluster.MemberRef) clock.Mono { return h.lastAckSentAt[w] }

// Until returns the end of the lease: the earliest end over all witness sets.
func (h *Holder) Until() clock.Mono {
	if len(h.witnessSets) == 0 {
		return 0
	}
	until := Forever
	for _, s := range h.witnessSets {
		until = min(until, h.promisedUntil(s))
	}
	return until
}

// promisedUntil returns the time until which a majority of one set has
// promised. An empty set can't vote, so nobody can evict the holder.
func (h *Holder) promisedUntil(set []cluster.MemberRef) clock.Mono {
	if len(set) == 0 {
		return Forever
	}
	var sentTimes []clock.Mono
	for _, w := range set {
		if t, ok := h.lastAckSentAt[w]; ok {
			sentTimes = append(sentTimes, t)
		}
	}
	need := Majority(len(set))
	if len(sentTimes) < need {
		return 0
	}
	slices.SortFunc(sentTimes, func(a, b clock.Mono) int { return int(min(1, max(-1, b-a))) })
	return sentTimes[need-1].Add(h.params.UsablePromiseDuration())
}

// Majority returns the smallest number that is more than half of n.
func Majority(n int) int { return n/2 + 1 }

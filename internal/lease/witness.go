package lease

import (
	"slices"
	"strings"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
)

// Witness holds the promises that one node has made to others. It is kept in
// memory only: a restarted process is a new incarnation, which is in no witness
// set, so nobody relies on the promises that were lost.
type Witness struct {
	params        Params
	promisedUntil map[cluster.MemberRef]clock.Mono
	voted         map[cluster.MemberRef]bool
	// firstSeq is, for each holder, the round of its first renewal since it last
	// named this witness.
	firstSeq map[cluster.MemberRef]uint64
}

// NewWitness returns a witness that has made no promises.
func NewWitness(p Params) *Witness {
	return &Witness{
		params:        p,
		promisedUntil: map[cluster.MemberRef]clock.Mono{},
		voted:         map[cluster.MemberRef]bool{},
		firstSeq:      map[cluster.MemberRef]uint64{},
	}
}

// Request is a renewal as received by a witness.
type Request struct {
	Seq uint64
	// LastAnswered is the newest round for which the holder has received this
	// witness's answer.
	LastAnswered uint64
	// PromiseDuration is the length of the promise that the holder asks for.
	PromiseDuration time.Duration
}

// Renew answers a renewal received at now. It does not extend the promise to a
// holder that does not receive the answers: the holder could not use it, and it
// would delay the holder's eviction. A promise is never shortened, because the
// holder may still rely on an earlier one.
func (w *Witness) Renew(now clock.Mono, holder cluster.MemberRef, r Request) Answer {
	if w.voted[holder] {
		return Answer{Seq: r.Seq, Refused: true}
	}
	firstSeq, known := w.firstSeq[holder]
	if !known {
		firstSeq = r.Seq
		w.firstSeq[holder] = firstSeq
	}
	if r.Seq > max(r.LastAnswered, firstSeq)+MaxUnconfirmedRenewals || r.PromiseDuration > MaxPromiseDuration {
		return Answer{Seq: r.Seq}
	}
	w.promisedUntil[holder] = max(w.promisedUntil[holder], now.Add(r.PromiseDuration))
	return Answer{Seq: r.Seq, Extended: true}
}

// Watch starts the timer of a holder that names this witness, so that a holder
// that fails before its first renewal is detected. The promise is as long as
// that of a first renewal. An expired promise from an earlier time as the
// holder's witness is replaced, since it does not show that the holder has
// failed now.
func (w *Witness) Watch(now clock.Mono, holder cluster.MemberRef) {
	if w.promisedUntil[holder] <= now {
		w.promisedUntil[holder] = now.Add(w.params.PromiseDuration)
	}
}

// Unwatch removes the timer of a holder that no longer names this witness and
// whose promise has expired. A vote against the holder is kept.
func (w *Witness) Unwatch(holder cluster.MemberRef) {
	delete(w.promisedUntil, holder)
	delete(w.firstSeq, holder)
}

// Vote reports whether the witness votes to evict the holder. It does so once
// its promise has expired. The vote is final: later renewals of this incarnation
// are refused, because the eviction may succeed at any later time.
func (w *Witness) Vote(now clock.Mono, holder cluster.MemberRef) bool {
	if w.promisedUntil[holder] > now {
		return false
	}
	w.voted[holder] = true
	return true
}

// ExpiredPromises returns the watched holders whose promise has expired at now,
// ordered by name, with the time at which it expired.
func (w *Witness) ExpiredPromises(now clock.Mono) []ExpiredPromise {
	var out []ExpiredPromise
	for h, t := range w.promisedUntil {
		if t <= now {
			out = append(out, ExpiredPromise{Holder: h, Since: t})
		}
	}
	slices.SortFunc(out, func(a, b ExpiredPromise) int { return strings.Compare(a.Holder.Name, b.Holder.Name) })
	return out
}

// MaxPromiseDuration is the longest promise that a witness makes.
const MaxPromiseDuration = time.Minute

// ExpiredPromise is a holder whose promise has expired.
type ExpiredPromise struct {
	Holder cluster.MemberRef
	Since  clock.Mono
}

// Forget removes all state of a holder that can never serve again.
func (w *Witness) Forget(holder cluster.MemberRef) {
	w.Unwatch(holder)
	delete(w.voted, holder)
}

// HolderCount returns the number of watched holders.
func (w *Witness) HolderCount() int { return len(w.promisedUntil) }

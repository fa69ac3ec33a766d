package lease

import (
	"slices"
	"strings"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
)

// Witness is the promises that one node has made to others. It lives in
// memory only: a restarted process is a new incarnation, which no set names,
// so what it has forgotten can't be asked of it.
type Witness struct {
	params   Params
	promised map[cluster.MemberRef]clock.Mono
	voted    map[cluster.MemberRef]bool
	// first is the round that each holder first asked this witness in, since
	// it was last named.
	first map[cluster.MemberRef]uint64
}

// NewWitness returns a witness that has promised nothing.
func NewWitness(p Params) *Witness {
	return &Witness{
		params:   p,
		promised: map[cluster.MemberRef]clock.Mono{},
		voted:    map[cluster.MemberRef]bool{},
		first:    map[cluster.MemberRef]uint64{},
	}
}

// Request is one renewal as it reaches a witness.
type Request struct {
	Seq uint64
	// Heard is the newest round that the holder knows to be answered by this
	// witness.
	Heard uint64
	// Promise is how long the holder will count on the answer.
	Promise time.Duration
}

// Renew answers a renewal that arrived at now. A holder that does not hear the
// answers gains nothing from a longer promise, and would block its eviction.
// A promise is never shortened: an earlier one may still be counted on.
func (w *Witness) Renew(now clock.Mono, holder cluster.MemberRef, r Request) Answer {
	if w.voted[holder] {
		return Answer{Seq: r.Seq, Refused: true}
	}
	first, known := w.first[holder]
	if !known {
		first = r.Seq
		w.first[holder] = first
	}
	if r.Seq > max(r.Heard, first)+MaxUnheard || r.Promise > MaxPromise {
		return Answer{Seq: r.Seq}
	}
	w.promised[holder] = max(w.promised[holder], now.Add(r.Promise))
	return Answer{Seq: r.Seq, Extended: true}
}

// Watch starts the timer of a holder that names this witness, so that one that
// dies before its first renewal is still noticed. It promises nothing beyond
// what a first renewal would. A promise of an earlier naming that has lapsed
// says nothing of the holder now.
func (w *Witness) Watch(now clock.Mono, holder cluster.MemberRef) {
	if w.promised[holder] <= now {
		w.promised[holder] = now.Add(w.params.Promise)
	}
}

// Unwatch drops the timer of a holder that does not name this witness any more
// and whose promise has lapsed. A vote against it stays.
func (w *Witness) Unwatch(holder cluster.MemberRef) {
	delete(w.promised, holder)
	delete(w.first, holder)
}

// Vote asks for a vote against the holder. It is given once every promise has
// lapsed, and is final: after it, no renewal of this incarnation is answered
// with a promise, since the eviction may succeed at any later time.
func (w *Witness) Vote(now clock.Mono, holder cluster.MemberRef) bool {
	if w.promised[holder] > now {
		return false
	}
	w.voted[holder] = true
	return true
}

// Lapsed returns, in a fixed order, the watched holders without a promise at
// now, and since when each has had none.
func (w *Witness) Lapsed(now clock.Mono) []Lapse {
	var out []Lapse
	for h, t := range w.promised {
		if t <= now {
			out = append(out, Lapse{Holder: h, Since: t})
		}
	}
	slices.SortFunc(out, func(a, b Lapse) int { return strings.Compare(a.Holder.Name, b.Holder.Name) })
	return out
}

// MaxPromise is the longest promise that a witness makes.
const MaxPromise = time.Minute

// Lapse is a holder whose last promise has run out.
type Lapse struct {
	Holder cluster.MemberRef
	Since  clock.Mono
}

// Forget drops a holder that can never serve again.
func (w *Witness) Forget(holder cluster.MemberRef) {
	w.Unwatch(holder)
	delete(w.voted, holder)
}

// Holders returns the number of holders that are watched.
func (w *Witness) Holders() int { return len(w.promised) }

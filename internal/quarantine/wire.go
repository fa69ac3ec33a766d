package quarantine

import (
	"time"

	"fulmarhinge/internal/wire"
)

// Wire returns an entry in the form that nodes send; nil for none.
func (e *Entry) Wire() *wire.Suspect {
	if e == nil {
		return nil
	}
	return &wire.Suspect{
		Fingerprint: e.Fingerprint[:], Clears: e.Clears, Ends: e.Ends, Probes: e.Probes,
		AgeMs: uint64(max(e.Age.Milliseconds(), 0)),
	}
}

// WireAll returns entries in the form that nodes send; whole is true if they are all
// that this node knows.
func WireAll(entries []Entry, whole bool) *wire.Suspects {
	out := &wire.Suspects{Whole: whole}
	for i := range entries {
		out.Suspects = append(out.Suspects, entries[i].Wire())
	}
	return out
}

// FromWire returns the well-formed ones of the entries that a peer sent.
func FromWire(in ...*wire.Suspect) []Entry {
	var out []Entry
	for _, s := range in {
		if s == nil || len(s.GetFingerprint()) != len(Fingerprint{}) || s.GetAgeMs() > uint64(suspicionTime.Milliseconds()) {
			continue
		}
		out = append(out, Entry{
			Fingerprint: Fingerprint(s.GetFingerprint()), Clears: s.GetClears(), Ends: s.GetEnds(), Probes: s.GetProbes(),
			Age: time.Duration(s.GetAgeMs()) * time.Millisecond,
		})
	}
	return out
}

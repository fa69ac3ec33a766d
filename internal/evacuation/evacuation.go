// Package evacuation decides which zones are under evacuation. It reads no clock, does
// no I/O and starts no goroutine.
package evacuation

import (
	"slices"
	"time"

	"fulmarhinge/internal/clock"
)

// RewriteTime is how long after the store came back from an older copy a missing object
// does not end the evacuation of its zone: the operator writes lost objects again.
const RewriteTime = 3 * time.Second

// MaxZones bounds the zones under evacuation, as each node keeps all of them.
const MaxZones = 256

// Listing is the set of zones whose objects one complete list of the store contained.
type Listing struct {
	Zones []string
	// Era is the era of the store that the list is from.
	Era uint64
	// SentAt is when the list was requested. It shows at least what the store had
	// acknowledged by then.
	SentAt clock.Mono
}

// Tracker holds what one leader has learned of the evacuations in one term. The zero
// value knows nothing.
type Tracker struct {
	latest Listing
	listed bool
}

// Record takes a listing. It reports false, and ignores the listing, if the listing was
// requested before the given time or an earlier listing, or is from an earlier era.
func (t *Tracker) Record(l Listing, notBefore clock.Mono, era uint64) bool {
	if l.SentAt < notBefore || l.Era < era || t.listed && l.SentAt < t.latest.SentAt {
		return false
	}
	l.Zones = Normalize(l.Zones)
	t.latest, t.listed = l, true
	return true
}

// Next returns the zones that are to be under evacuation, sorted, given those that are.
// Era is the era of the store, and eraKnownAt when it became known. Without a listing of
// that era the set stays as it is.
func (t *Tracker) Next(current []string, era uint64, eraKnownAt clock.Mono) []string {
	if !t.listed || t.latest.Era < era {
		return current
	}
	if t.latest.SentAt < eraKnownAt.Add(RewriteTime) {
		return Normalize(append(slices.Clone(current), t.latest.Zones...))
	}
	return t.latest.Zones
}

// Normalize returns the names sorted, once each, without empty ones, and at most MaxZones
// of them.
func Normalize(zones []string) []string {
	out := slices.DeleteFunc(slices.Clone(zones), func(z string) bool { return z == "" })
	slices.Sort(out)
	out = slices.Compact(out)
	if len(out) == 0 {
		return nil
	}
	return out[:min(len(out), MaxZones)]
}

// Changes returns the zones that a change of the set evacuates, and those that it takes
// back into service. Both sets are sorted.
func Changes(from, to []string) (evacuated, returned []string) {
	for _, z := range to {
		if !Contains(from, z) {
			evacuated = append(evacuated, z)
		}
	}
	for _, z := range from {
		if !Contains(to, z) {
			returned = append(returned, z)
		}
	}
	return evacuated, returned
}

// Contains reports whether a sorted set contains a zone.
func Contains(zones []string, zone string) bool {
	_, found := slices.BinarySearch(zones, zone)
	return found
}

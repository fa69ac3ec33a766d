package backend

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/wire"
)

// historySpan is how far back the history sent at a hand-over lists the admitted
// keys. Older keys are assumed to have been executed, so a retry must reach the
// next owner within this time to be recognised as not executed.
const historySpan = 5 * time.Second

// maxInheritedKeys limits how many keys from an earlier owner are passed on to
// the next one, at 8 bytes each.
const maxInheritedKeys = 16 << 10

// priorUse decides whether a key that is not in the table may have been executed,
// either by an earlier owner or by this node so long ago that the record expired.
type priorUse struct {
	// Records of keys up to expiredBefore may have expired. Keys up to
	// servingSince may have been executed by an earlier owner.
	expiredBefore time.Time
	servingSince  time.Time
	// maxKeyTime is the latest key timestamp that this owner accepts as new.
	maxKeyTime time.Time
	// maxSkew is how far the timestamp of a key can be after its execution, as
	// measured by this node's clock: the caller's clock may be ahead of the
	// earlier owner's clock, which may be ahead of this node's clock.
	maxSkew time.Duration
	history *wire.History
}

// priorUse returns the priorUse for keys of the request's unit.
func (g *Gate) priorUse(r *request, now time.Time) priorUse {
	p := priorUse{
		expiredBefore: now.Add(-g.idempotency.limits.MaxAge),
		servingSince:  now,
		maxKeyTime:    now.Add(g.idempotency.limits.MaxClockSkew),
		maxSkew:       2 * g.idempotency.limits.MaxClockSkew,
		history:       r.history,
	}
	if since, ok := g.src.ServingSince(r.unit, r.epoch); ok {
		p.servingSince = since
	}
	return p
}

// mayHaveExecuted reports whether the key may already have been executed. A key
// created after this ownership began is new. A key created before that is new
// only if the history of the previous owner covers its time and does not list it.
func (p priorUse) mayHaveExecuted(id idempotencyID) bool {
	created := keyTime(id.key)
	if !created.After(p.expiredBefore.Add(p.maxSkew)) || created.After(p.maxKeyTime) {
		return true
	}
	if created.After(p.servingSince.Add(p.maxSkew)) {
		return false
	}
	if p.history == nil {
		return true
	}
	floor := time.UnixMilli(p.history.GetFloorMs())
	_, seen := slices.BinarySearch(p.history.GetSeen(), id.hash())
	return seen || !created.After(floor.Add(p.maxSkew))
}

// hash returns the value that identifies this use of the key in a history.
func (id idempotencyID) hash() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(id.customer)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(id.key[:])
	return d.Sum64()
}

// shardOf returns the shard that a unit belongs to.
func shardOf(u cluster.Unit) cluster.Unit {
	return cluster.Unit{Service: u.Service, Shard: u.Shard}
}

// History returns the idempotency keys that the next owner of a unit needs to
// know. It must be called when no request of the unit is in flight and no new
// one is admitted. For a pin cut from a shard it covers the whole shard, through
// which the key was served before.
func (g *Gate) History(u cluster.Unit, epoch uint64) *wire.History {
	now := time.Now()
	// Keys whose records have expired cannot be listed.
	floor := now.Add(-min(historySpan, g.idempotency.limits.MaxAge))
	unit := u
	since, ok := g.src.ServedSince(unit, epoch)
	if !ok {
		unit = shardOf(u)
		since, ok = g.src.ServedSince(unit, epoch)
	}
	if !ok {
		since = now
	}
	var inherited []uint64
	if since.After(floor) {
		floor, inherited = g.inheritedKeys(unit, epoch, floor, since)
	}
	h := &wire.History{FloorMs: floor.UnixMilli() + 1}
	seen := g.idempotency.seenSince(shardOf(u), floor.Add(-g.idempotency.limits.MaxClockSkew))
	h.Seen = mergeHashes(inherited, seen)
	return h
}

// inheritedKeys returns the floor and the keys of the time before this ownership,
// as received from the previous owner. They are passed on after a short
// ownership: otherwise a unit that moves twice within seconds would lose the
// first owner's keys, and requests that never ran would be refused. Nothing is
// passed on if many moves have made the list too long, or if this ownership
// continues an earlier one on the same node; the floor is then since.
func (g *Gate) inheritedKeys(u cluster.Unit, epoch uint64, floor, since time.Time) (time.Time, []uint64) {
	v := g.src.Current()
	if v == nil {
		return since, nil
	}
	owned := v.Owned[u]
	inherited := owned.History
	if owned.Epoch != epoch || owned.ServedBefore || inherited == nil || len(inherited.GetSeen()) > maxInheritedKeys {
		return since, nil
	}
	if earlier := time.UnixMilli(inherited.GetFloorMs()); earlier.After(floor) {
		floor = earlier
	}
	return floor, inherited.GetSeen()
}

// mergeHashes returns the sorted union of two sorted lists.
func mergeHashes(a, b []uint64) []uint64 {
	merged := slices.Concat(a, b)
	slices.Sort(merged)
	return slices.Compact(merged)
}

// seenSince returns the sorted hashes of the keys of a shard that were admitted
// at or after the given time.
func (t *idempotencyTable) seenSince(shard cluster.Unit, after time.Time) []uint64 {
	var out []uint64
	for i := range t.stripes {
		out = t.stripes[i].seenSince(out, shard, after.Add(t.limits.MaxAge))
	}
	slices.Sort(out)
	return out
}

// seenSince appends the hashes of the shard's records that expire at expiry or
// later. Records are ordered by age, so the search from the newest one stops at
// the first record that expires earlier.
func (s *tableStripe) seenSince(out []uint64, shard cluster.Unit, expiry time.Time) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.byAge.Back(); e != nil; e = e.Prev() {
		r := e.Value.(*idempotencyRecord)
		if r.expires.Before(expiry) {
			break
		}
		if r.id.unit == shard {
			out = append(out, r.id.hash())
		}
	}
	return out
}

package backend

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/wire"
)

// historySpan is how far back a release names the keys that were let through.
// Older keys count as seen, so a repetition must reach the next owner within
// this time to be told from one that ran.
const historySpan = 5 * time.Second

// maxPassedOn is how many keys are passed on for a further time, 8 bytes each.
const maxPassedOn = 16 << 10

// keyPast tells whether a key that this process does not remember may have run
// at an earlier owner, or here so long ago that it was forgotten.
type keyPast struct {
	// forgotten and since are times up to which keys may have run.
	forgotten time.Time
	since     time.Time
	// ahead is the latest time of a key that this owner takes for new.
	ahead time.Time
	// skew is how far the time of a key can lie after that of its run, as read
	// on this node's clock: the caller's clock may be ahead of an earlier
	// owner's, and that one's ahead of this.
	skew    time.Duration
	history *wire.History
}

// past returns what is known of keys that are not in the table.
func (g *Gate) past(r *run, now time.Time) keyPast {
	p := keyPast{
		forgotten: now.Add(-g.table.limits.Age),
		since:     now,
		ahead:     now.Add(g.table.limits.ClockBound),
		skew:      2 * g.table.limits.ClockBound,
		history:   r.history,
	}
	if since, ok := g.src.ServingSince(r.unit, r.epoch); ok {
		p.since = since
	}
	return p
}

// mayHaveRun reports whether an earlier run is not excluded. A key made after
// this ownership began is new; one made before is new only if the last owner
// said that it had not let it through.
func (p keyPast) mayHaveRun(id idempotencyID) bool {
	made := keyTime(id.key)
	if !made.After(p.forgotten.Add(p.skew)) || made.After(p.ahead) {
		return true
	}
	if made.After(p.since.Add(p.skew)) {
		return false
	}
	if p.history == nil {
		return true
	}
	floor := time.UnixMilli(p.history.GetFloorMs())
	_, seen := slices.BinarySearch(p.history.GetSeen(), id.hash())
	return seen || !made.After(floor.Add(p.skew))
}

// hash names the use of a key to the next owner.
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

// History returns what the next owner of a unit needs to know of idempotency
// keys. It is called once nothing of the unit is in flight and nothing new is
// let in. For a pin that leaves its shard it covers the whole shard, through
// which the key was served.
func (g *Gate) History(u cluster.Unit, epoch uint64) *wire.History {
	now := time.Now()
	// What was forgotten can't be named.
	floor := now.Add(-min(historySpan, g.table.limits.Age))
	from := u
	since, ok := g.src.ServedSince(from, epoch)
	if !ok {
		from = shardOf(u)
		since, ok = g.src.ServedSince(from, epoch)
	}
	if !ok {
		since = now
	}
	var before []uint64
	if since.After(floor) {
		floor, before = g.passedOn(from, epoch, floor, since)
	}
	h := &wire.History{FloorMs: floor.UnixMilli() + 1}
	seen := g.table.seenSince(shardOf(u), floor.Add(-g.table.limits.ClockBound))
	h.Seen = mergeHashes(before, seen)
	return h
}

// passedOn returns the floor and the keys of the time before this ownership.
// If that is short, they are the ones that were passed on to it: without them a
// unit that moves twice within seconds would lose what the first owner knew,
// and keys that never ran would be refused. A list that has grown long over
// many moves ends here, as does one of an ownership that continues another.
func (g *Gate) passedOn(u cluster.Unit, epoch uint64, floor, since time.Time) (time.Time, []uint64) {
	v := g.src.Current()
	if v == nil {
		return since, nil
	}
	owned := v.Owned[u]
	told := owned.History
	if owned.Epoch != epoch || owned.Continues || told == nil || len(told.GetSeen()) > maxPassedOn {
		return since, nil
	}
	if earlier := time.UnixMilli(told.GetFloorMs()); earlier.After(floor) {
		floor = earlier
	}
	return floor, told.GetSeen()
}

// mergeHashes returns the sorted union of two sorted lists.
func mergeHashes(a, b []uint64) []uint64 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// seenSince returns the sorted hashes of the keys of a shard that were let
// through after a time.
func (t *idempotencyTable) seenSince(shard cluster.Unit, after time.Time) []uint64 {
	var out []uint64
	for i := range t.stripes {
		out = t.stripes[i].seenSince(out, shard, after.Add(t.limits.Age))
	}
	slices.Sort(out)
	return out
}

// seenSince appends the hashes of records that expire after a time. The newest
// records are last, so the walk ends at the first that is too old.
func (s *tableStripe) seenSince(out []uint64, shard cluster.Unit, expiry time.Time) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e := s.order.Back(); e != nil; e = e.Prev() {
		r := e.Value.(*record)
		if r.expires.Before(expiry) {
			break
		}
		if r.id.unit == shard {
			out = append(out, r.id.hash())
		}
	}
	return out
}

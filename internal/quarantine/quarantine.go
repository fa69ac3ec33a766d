// Package quarantine keeps which requests were running when backend servers ended, so
// that a request that ends each server that runs it is sent to no more of them. It reads
// no clock and does no I/O; nodes exchange their tables and merge them.
package quarantine

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarhinge/internal/clock"
)

const (
	// maxEnds is the number of servers that may end under a request before it runs as a
	// probe only.
	maxEnds = 3
	// maxProbes is the number of servers that may end under probes of a request before it
	// is refused for suspicionTime. Three more runs after maxEnds are allowed; one of them
	// is left for a run whose end does not become known, as its node was lost as well.
	maxProbes = 2
	// probePause is the least time between an end and a probe. Servers that crash are
	// back after some seconds, and a request that ends none is to be served again within
	// 15 s of their return.
	probePause = 5 * time.Second
	// endsToRunApart is the number from which on a request runs apart from others with
	// as many, and is not repeated without its caller asking again.
	endsToRunApart = 2
	// suspicionTime is how long an end counts, and so how long a request is refused
	// after the last server that ended under it.
	suspicionTime = time.Hour
	// clearedTime is how long it is kept that a request was answered, so that peers
	// that have not learned of it do not bring back the ends before.
	clearedTime = time.Minute
	// maxRequests bounds the table. Requests with the fewest and oldest ends go first.
	maxRequests = 2048
	// maxStored bounds the requests that are stored beyond the processes' lives, as each
	// change of them goes to all members.
	maxStored = 32
	// maxKeptEnds bounds the servers that are kept for a request: those with the lowest
	// numbers, so that merged tables agree.
	maxKeptEnds = 8
)

// Fingerprint identifies requests that are the same to a backend server.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request with these properties.
func FingerprintOf(method, host, target, key string, body []byte) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, part := range []string{method, host, target, key} {
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// MarshalText returns the fingerprint in hexadecimal digits.
func (f Fingerprint) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, f[:]), nil }

// UnmarshalText decodes what MarshalText returns.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(f) {
		return fmt.Errorf("fingerprint of %d digits", len(text))
	}
	_, err := hex.Decode(f[:], text)
	return err
}

// Entry is what is known of one request, in the form that nodes exchange and store.
type Entry struct {
	Fingerprint Fingerprint `json:"f"`
	// Clears counts how often the request was answered after a server had ended
	// under it. Each time the ends before are dropped.
	Clears uint32 `json:"n,omitempty"`
	// Ends identifies the server instances that ended since, in ascending order, but for
	// those in Probes.
	Ends []uint64 `json:"e,omitempty"`
	// Probes identifies those that ended under runs that began when maxEnds ends were
	// known, in ascending order.
	Probes []uint64 `json:"p,omitempty"`
	// Age is how long ago the last of them ended or the request was answered. It is
	// not stored.
	Age time.Duration `json:"-"`
}

// Equal reports whether two entries state the same, whatever their age.
func (e Entry) Equal(other Entry) bool {
	return e.Fingerprint == other.Fingerprint && e.Clears == other.Clears && slices.Equal(e.Ends, other.Ends) &&
		slices.Equal(e.Probes, other.Probes)
}

// count returns the number of servers that have ended.
func (e Entry) count() int { return len(e.Ends) + len(e.Probes) }

// Run is a request that a server was running when it ended.
type Run struct {
	Fingerprint Fingerprint
	// Probe is true if IsProbe held for the request when the run began.
	Probe bool
}

// record is an Entry with the time of its last change.
type record struct {
	clears    uint32
	ends      []uint64
	probes    []uint64
	changedAt clock.Mono
}

// count returns the number of servers that have ended.
func (r *record) count() int { return len(r.ends) + len(r.probes) }

func (r *record) expired(now clock.Mono) bool {
	if r.count() == 0 {
		return now.Sub(r.changedAt) > clearedTime
	}
	return now.Sub(r.changedAt) > suspicionTime
}

// Table holds the requests under which servers have ended. It is safe for concurrent use.
type Table struct {
	// size is the number of records, read without the lock.
	size atomic.Int64
	// learned is the number of ends that were recorded or learned from peers.
	learned atomic.Uint64
	mu      sync.Mutex
	records map[Fingerprint]*record
}

// New returns an empty table.
func New() *Table { return &Table{records: map[Fingerprint]*record{}} }

// Empty reports whether nothing is known of any request, so that fingerprints need not
// be computed.
func (t *Table) Empty() bool { return t.Size() == 0 }

// Size returns the number of requests of which something is known.
func (t *Table) Size() int { return int(t.size.Load()) }

// Ends returns the number of servers that ended under a request since it was last
// answered.
func (t *Table) Ends(now clock.Mono, f Fingerprint) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ends(now, f)
}

func (t *Table) ends(now clock.Mono, f Fingerprint) int {
	if r := t.records[f]; r != nil && !r.expired(now) {
		return r.count()
	}
	return 0
}

// Refused reports whether a request must not be sent to a server, and for how long. A
// request with maxEnds ends is refused for probePause after each end, as servers that
// crashed together do not show that it was the cause; after maxProbes more it is refused
// until the ends no longer count.
func (t *Table) Refused(now clock.Mono, f Fingerprint) (retryAfter time.Duration, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ends(now, f) < maxEnds {
		return 0, false
	}
	r := t.records[f]
	pause := probePause
	if len(r.probes) >= maxProbes {
		pause = suspicionTime
	}
	retryAfter = r.changedAt.Add(pause).Sub(now)
	return max(retryAfter, 0), retryAfter > 0
}

// IsProbe reports whether a run of the request that begins now is a probe: maxEnds
// servers have ended under it.
func (t *Table) IsProbe(now clock.Mono, f Fingerprint) bool { return t.Ends(now, f) >= maxEnds }

// MayRepeat reports whether a request that was not answered may be sent to another
// server without its caller asking again.
func (t *Table) MayRepeat(now clock.Mono, f Fingerprint) bool {
	return t.Ends(now, f) < endsToRunApart
}

// RunsApart reports whether a request must not run at a server beside another one for which
// this holds.
func (t *Table) RunsApart(now clock.Mono, f Fingerprint) bool {
	return t.Ends(now, f) >= endsToRunApart
}

// ServerEnded records that a server ended while it ran these requests. Only those with
// the most ends before are recorded: they explain the end, and the others are likely to
// have run beside them. A probe explains nothing, as its request may have been running
// only when servers crashed together: the end is recorded for it, and for those that have
// the most of the others. It returns the entries that have changed.
func (t *Table) ServerEnded(now clock.Mono, server uint64, running []Run) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	most := 0
	for _, run := range running {
		if !run.Probe {
			most = max(most, t.ends(now, run.Fingerprint))
		}
	}
	var blamed []Run
	for _, run := range running {
		if run.Probe || t.ends(now, run.Fingerprint) == most {
			blamed = append(blamed, run)
		}
	}
	var changed []Entry
	for _, run := range blamed {
		if t.addEnd(now, run, server) {
			changed = append(changed, t.records[run.Fingerprint].entry(now, run.Fingerprint))
		}
	}
	t.shrink()
	return changed
}

func (r *record) entry(now clock.Mono, f Fingerprint) Entry {
	return Entry{Fingerprint: f, Clears: r.clears, Ends: slices.Clone(r.ends), Probes: slices.Clone(r.probes), Age: now.Sub(r.changedAt)}
}

// Lookup returns what is known of a request, nil if nothing.
func (t *Table) Lookup(now clock.Mono, f Fingerprint) *Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || r.expired(now) {
		return nil
	}
	e := r.entry(now, f)
	return &e
}

func (t *Table) addEnd(now clock.Mono, run Run, server uint64) (changed bool) {
	r := t.records[run.Fingerprint]
	if r == nil {
		r = &record{}
		t.records[run.Fingerprint] = r
	}
	switch {
	case slices.Contains(r.ends, server) || slices.Contains(r.probes, server):
		return false
	case run.Probe && len(r.ends) >= maxEnds:
		r.probes, changed = insert(r.probes, server)
	default:
		r.ends, changed = insert(r.ends, server)
	}
	if changed {
		r.changedAt = now
		t.learned.Add(1)
	}
	return changed
}

// Learned returns how many ends this table has recorded or learned from peers, whether or
// not they still count.
func (t *Table) Learned() uint64 { return t.learned.Load() }

// insert adds a server to those that have ended, and reports whether that changed them.
func insert(servers []uint64, server uint64) (_ []uint64, changed bool) {
	i, known := slices.BinarySearch(servers, server)
	if known || i == maxKeptEnds {
		return servers, false
	}
	servers = slices.Insert(servers, i, server)
	return servers[:min(len(servers), maxKeptEnds)], true
}

// Answered records that a server answered a request completely, so that the ends before
// had another cause. It returns the entry if it has changed, else nil.
func (t *Table) Answered(now clock.Mono, f Fingerprint) *Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || r.count() == 0 {
		return nil
	}
	r.clears++
	r.ends, r.probes, r.changedAt = nil, nil, now
	e := r.entry(now, f)
	return &e
}

// Merge takes over what a peer knows. It reports whether the table has changed.
func (t *Table) Merge(now clock.Mono, peers []Entry) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range peers {
		if t.mergeEntry(now, e) {
			changed = true
		}
	}
	t.shrink()
	return changed
}

func (t *Table) mergeEntry(now clock.Mono, e Entry) bool {
	at := now.Add(-max(e.Age, 0))
	if len(e.Ends) > maxKeptEnds || len(e.Probes) > maxKeptEnds || (&record{ends: e.Ends, probes: e.Probes, changedAt: at}).expired(now) {
		return false
	}
	r := t.records[e.Fingerprint]
	if r == nil {
		r = &record{}
		t.records[e.Fingerprint] = r
	}
	if e.Clears < r.clears {
		return false
	}
	changed := e.Clears > r.clears
	if changed {
		r.clears, r.ends, r.probes = e.Clears, nil, nil
	}
	var added bool
	before := r.count()
	for _, server := range e.Ends {
		r.ends, added = insert(r.ends, server)
		changed = changed || added
	}
	for _, server := range e.Probes {
		r.probes, added = insert(r.probes, server)
		changed = changed || added
	}
	t.learned.Add(uint64(max(r.count()-before, 0)))
	if changed {
		r.changedAt = max(r.changedAt, at)
	}
	return changed
}

// Entries returns what is known, for a peer.
func (t *Table) Entries(now clock.Mono) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	out := make([]Entry, 0, len(t.records))
	for f, r := range t.records {
		out = append(out, r.entry(now, f))
	}
	slices.SortFunc(out, compareFingerprints)
	return out
}

// StoredEntries returns the requests with ends, at most maxStored of them, in a fixed
// order and without their age: the part that is stored. Those with the most ends, and
// among these the latest, come before others.
func (t *Table) StoredEntries(now clock.Mono) []Entry {
	out := slices.DeleteFunc(t.Entries(now), func(e Entry) bool { return e.count() == 0 })
	if len(out) > maxStored {
		slices.SortStableFunc(out, func(a, b Entry) int {
			return cmp.Or(cmp.Compare(b.count(), a.count()), cmp.Compare(a.Age, b.Age))
		})
		out = out[:maxStored]
		slices.SortFunc(out, compareFingerprints)
	}
	for i := range out {
		out[i].Age = 0
	}
	return out
}

// AddsEnds reports whether entries hold ends that stored ones do not.
func AddsEnds(stored, entries []Entry) bool {
	known := map[Fingerprint]Entry{}
	for _, e := range stored {
		known[e.Fingerprint] = e
	}
	return slices.ContainsFunc(entries, func(e Entry) bool {
		k, found := known[e.Fingerprint]
		return !found || e.Clears > k.Clears || e.Clears == k.Clears && e.count() > k.count()
	})
}

func compareFingerprints(a, b Entry) int {
	return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:])
}

// Digest returns a number that is equal for tables with the same ends; 0 without any.
func (t *Table) Digest(now clock.Mono) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest(now)
}

func (t *Table) digest(now clock.Mono) uint64 {
	sum := uint64(0)
	for f, r := range t.records {
		if !r.expired(now) {
			sum += digestEntry(Entry{Fingerprint: f, Clears: r.clears, Ends: r.ends, Probes: r.probes})
		}
	}
	return sum
}

// DigestOf returns the digest of a table with just these entries.
func DigestOf(entries []Entry) uint64 {
	sum := uint64(0)
	for _, e := range entries {
		sum += digestEntry(e)
	}
	return sum
}

func digestEntry(e Entry) uint64 {
	if e.count() == 0 {
		return 0
	}
	b := append(make([]byte, 0, len(e.Fingerprint)+8+8*e.count()), e.Fingerprint[:]...)
	b = binary.LittleEndian.AppendUint32(b, e.Clears)
	for _, server := range e.Ends {
		b = binary.LittleEndian.AppendUint64(b, server)
	}
	if len(e.Probes) > 0 {
		b = binary.LittleEndian.AppendUint32(b, uint32(len(e.Ends)))
		for _, server := range e.Probes {
			b = binary.LittleEndian.AppendUint64(b, server)
		}
	}
	return xxhash.Sum64(b)
}

// expire removes what no longer counts.
func (t *Table) expire(now clock.Mono) {
	for f, r := range t.records {
		if r.expired(now) {
			delete(t.records, f)
		}
	}
	t.size.Store(int64(len(t.records)))
}

// shrink bounds the table and updates its size.
func (t *Table) shrink() {
	for len(t.records) > maxRequests {
		var least Fingerprint
		var chosen *record
		for f, r := range t.records {
			if chosen == nil || r.count() < chosen.count() || r.count() == chosen.count() && r.changedAt < chosen.changedAt {
				least, chosen = f, r
			}
		}
		delete(t.records, least)
	}
	t.size.Store(int64(len(t.records)))
}

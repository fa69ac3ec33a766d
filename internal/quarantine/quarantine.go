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
	// maxEnds is the number of servers that may end under a request before it is
	// refused.
	maxEnds = 3
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
	// maxStored bounds the requests that are stored beyond the processes' lives.
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
	// Ends identifies the server instances that ended since, in ascending order.
	Ends []uint64 `json:"e,omitempty"`
	// Age is how long ago the last of them ended or the request was answered. It is
	// not stored.
	Age time.Duration `json:"-"`
}

// Equal reports whether two entries state the same, whatever their age.
func (e Entry) Equal(other Entry) bool {
	return e.Fingerprint == other.Fingerprint && e.Clears == other.Clears && slices.Equal(e.Ends, other.Ends)
}

// record is an Entry with the time of its last change.
type record struct {
	clears    uint32
	ends      []uint64
	changedAt clock.Mono
}

func (r *record) expired(now clock.Mono) bool {
	if len(r.ends) == 0 {
		return now.Sub(r.changedAt) > clearedTime
	}
	return now.Sub(r.changedAt) > suspicionTime
}

// Table holds the requests under which servers have ended. It is safe for concurrent use.
type Table struct {
	// size is the number of records, read without the lock.
	size    atomic.Int64
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
		return len(r.ends)
	}
	return 0
}

// Refused reports whether a request must not be sent to a server, and for how long.
func (t *Table) Refused(now clock.Mono, f Fingerprint) (retryAfter time.Duration, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ends(now, f) < maxEnds {
		return 0, false
	}
	return t.records[f].changedAt.Add(suspicionTime).Sub(now), true
}

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
// have run beside them. It returns the entries that have changed.
func (t *Table) ServerEnded(now clock.Mono, server uint64, running []Fingerprint) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	most := 0
	for _, f := range running {
		most = max(most, t.ends(now, f))
	}
	var blamed []Fingerprint
	for _, f := range running {
		if t.ends(now, f) == most {
			blamed = append(blamed, f)
		}
	}
	var changed []Entry
	for _, f := range blamed {
		if t.addEnd(now, f, server) {
			changed = append(changed, t.records[f].entry(now, f))
		}
	}
	t.shrink()
	return changed
}

func (r *record) entry(now clock.Mono, f Fingerprint) Entry {
	return Entry{Fingerprint: f, Clears: r.clears, Ends: slices.Clone(r.ends), Age: now.Sub(r.changedAt)}
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

func (t *Table) addEnd(now clock.Mono, f Fingerprint, server uint64) bool {
	r := t.records[f]
	if r == nil {
		r = &record{}
		t.records[f] = r
	}
	if !r.insert(server) {
		return false
	}
	r.changedAt = now
	return true
}

// insert adds a server that has ended, and reports whether that changed the record.
func (r *record) insert(server uint64) bool {
	i, known := slices.BinarySearch(r.ends, server)
	if known || i == maxKeptEnds {
		return false
	}
	r.ends = slices.Insert(r.ends, i, server)
	r.ends = r.ends[:min(len(r.ends), maxKeptEnds)]
	return true
}

// Answered records that a server answered a request completely, so that the ends before
// had another cause. It returns the entry if it has changed, else nil.
func (t *Table) Answered(now clock.Mono, f Fingerprint) *Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil || len(r.ends) == 0 {
		return nil
	}
	r.clears++
	r.ends, r.changedAt = nil, now
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
	if len(e.Ends) > maxKeptEnds || (&record{ends: e.Ends, changedAt: at}).expired(now) {
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
		r.clears, r.ends = e.Clears, nil
	}
	for _, server := range e.Ends {
		if r.insert(server) {
			changed = true
		}
	}
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

// RefusedEntries returns the requests that are refused now, at most maxStored of them,
// in a fixed order and without their age: the part that is stored.
func (t *Table) RefusedEntries(now clock.Mono) []Entry {
	var out []Entry
	for _, e := range t.Entries(now) {
		if len(e.Ends) >= maxEnds {
			out = append(out, e)
		}
	}
	if len(out) > maxStored {
		slices.SortStableFunc(out, func(a, b Entry) int { return cmp.Compare(a.Age, b.Age) })
		out = out[:maxStored]
		slices.SortFunc(out, compareFingerprints)
	}
	for i := range out {
		out[i].Age = 0
	}
	return out
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
			sum += digestEntry(f, r.clears, r.ends)
		}
	}
	return sum
}

// DigestOf returns the digest of a table with just these entries.
func DigestOf(entries []Entry) uint64 {
	sum := uint64(0)
	for _, e := range entries {
		sum += digestEntry(e.Fingerprint, e.Clears, e.Ends)
	}
	return sum
}

func digestEntry(f Fingerprint, clears uint32, ends []uint64) uint64 {
	if len(ends) == 0 {
		return 0
	}
	b := append(make([]byte, 0, len(f)+4+8*len(ends)), f[:]...)
	b = binary.LittleEndian.AppendUint32(b, clears)
	for _, server := range ends {
		b = binary.LittleEndian.AppendUint64(b, server)
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
			if chosen == nil || len(r.ends) < len(chosen.ends) || len(r.ends) == len(chosen.ends) && r.changedAt < chosen.changedAt {
				least, chosen = f, r
			}
		}
		delete(t.records, least)
	}
	t.size.Store(int64(len(t.records)))
}

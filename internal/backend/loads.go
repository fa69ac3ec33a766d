package backend

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"fulmarhinge/internal/cluster"
)

const (
	// loadStripes is the number of separately locked stripes of the key counts.
	loadStripes = 16
	// keysPerStripe is the number of keys that one stripe counts at a time.
	keysPerStripe = 32
	// maxReportedKeys limits the number of keys that Loads returns.
	maxReportedKeys = 100
)

// UnitCount is the number of requests of a unit.
type UnitCount struct {
	Unit  cluster.Unit
	Count uint64
}

// KeyCount is the estimated number of requests of a key. It is at least the
// true number and exceeds it by at most Error.
type KeyCount struct {
	Unit  cluster.Unit
	Key   string
	Count uint64
	Error uint64
}

// Loads holds the request counts since the previous report.
type Loads struct {
	Total uint64
	Units []UnitCount
	// Keys holds the keys with the highest counts in descending order.
	Keys []KeyCount
}

// loads counts requests by unit, and by key in bounded memory with the
// space-saving algorithm: a new key replaces the key with the lowest count and
// inherits that count as its maximum error.
type loads struct {
	units   sync.Map
	stripes [loadStripes]loadStripe
}

type loadStripe struct {
	mu   sync.Mutex
	keys map[cluster.Unit]*KeyCount
}

func newLoads() *loads {
	l := &loads{}
	for i := range l.stripes {
		l.stripes[i].keys = map[cluster.Unit]*KeyCount{}
	}
	return l
}

// add counts one request.
func (l *loads) add(u cluster.Unit, key string) {
	c, ok := l.units.Load(u)
	if !ok {
		c, _ = l.units.LoadOrStore(u, &atomic.Uint64{})
	}
	c.(*atomic.Uint64).Add(1)
	l.stripes[xxhash.Sum64String(key)%loadStripes].add(u, key)
}

func (s *loadStripe) add(u cluster.Unit, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := keyUnit(u, key)
	if k := s.keys[id]; k != nil {
		k.Count++
		return
	}
	k := &KeyCount{Unit: u, Key: key, Count: 1}
	if len(s.keys) >= keysPerStripe {
		least := s.leastCounted()
		k.Error = s.keys[least].Count
		k.Count += k.Error
		delete(s.keys, least)
	}
	s.keys[id] = k
}

// leastCounted returns the key with the lowest count.
func (s *loadStripe) leastCounted() cluster.Unit {
	var id cluster.Unit
	var count uint64
	for candidate, k := range s.keys {
		if count == 0 || k.Count < count {
			id = candidate
			count = k.Count
		}
	}
	return id
}

// snapshotAndReset returns the counts and resets them to zero.
func (l *loads) snapshotAndReset() Loads {
	var out Loads
	l.units.Range(func(u, c any) bool {
		n := c.(*atomic.Uint64).Swap(0)
		if n == 0 {
			// A request that is counted concurrently may be lost here, which is
			// acceptable because the counts are estimates.
			l.units.Delete(u)
			return true
		}
		out.Total += n
		out.Units = append(out.Units, UnitCount{Unit: u.(cluster.Unit), Count: n})
		return true
	})
	for i := range l.stripes {
		out.Keys = append(out.Keys, l.stripes[i].snapshotAndReset()...)
	}
	sort.Slice(out.Keys, func(i, j int) bool { return out.Keys[i].Count > out.Keys[j].Count })
	out.Keys = out.Keys[:min(len(out.Keys), maxReportedKeys)]
	return out
}

func (s *loadStripe) snapshotAndReset() []KeyCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]KeyCount, 0, len(s.keys))
	for _, k := range s.keys {
		out = append(out, *k)
	}
	clear(s.keys)
	return out
}

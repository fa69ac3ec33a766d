package backend

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"fulmarhinge/internal/cluster"
)

// keyStripes is the number of separately locked stripes of the counts by key.
const keyStripes = 64

// inFlight counts the requests inside the gate by shard and by key. Counts by
// key are needed because a pin takes its key out of a shard that continues to be
// served: the key's requests that were admitted through the shard must end
// before the pin is handed over.
type inFlight struct {
	total  atomic.Int64
	shards sync.Map
	keys   [keyStripes]keyStripe
}

type keyStripe struct {
	mu    sync.Mutex
	count map[cluster.Unit]int
	// pinned counts the requests that were admitted through a pin.
	pinned map[pinEpoch]int
}

// pinEpoch identifies a pin and the epoch under which requests were admitted
// through it.
type pinEpoch struct {
	pin   cluster.Unit
	epoch uint64
}

func newInFlight() *inFlight {
	f := &inFlight{}
	for i := range f.keys {
		f.keys[i].count = map[cluster.Unit]int{}
		f.keys[i].pinned = map[pinEpoch]int{}
	}
	return f
}

func (f *inFlight) shard(u cluster.Unit) *atomic.Int64 {
	u.Key = ""
	if c, ok := f.shards.Load(u); ok {
		return c.(*atomic.Int64)
	}
	c, _ := f.shards.LoadOrStore(u, &atomic.Int64{})
	return c.(*atomic.Int64)
}

func (f *inFlight) stripe(key string) *keyStripe {
	return &f.keys[xxhash.Sum64String(key)%keyStripes]
}

// keyUnit returns the unit that identifies a key, whether the key is reached
// through its shard or through a pin.
func keyUnit(u cluster.Unit, key string) cluster.Unit {
	return cluster.Unit{Service: u.Service, Shard: u.Shard, Key: key}
}

// add adds n, which is 1 or -1, to the counts for a request with the given key
// that was located in unit u.
func (f *inFlight) add(u cluster.Unit, key string, n int) {
	if u.Key == "" {
		f.shard(u).Add(int64(n))
	}
	k := keyUnit(u, key)
	s := f.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count[k] += n
	if s.count[k] == 0 {
		delete(s.count, k)
	}
}

// count returns the number of requests of a shard or of a single key.
func (f *inFlight) count(u cluster.Unit) int {
	if u.Key == "" {
		return int(f.shard(u).Load())
	}
	s := f.stripe(u.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[u]
}

// addPinned adds n, which is 1 or -1, to the count of requests that were
// admitted through a pin.
func (f *inFlight) addPinned(pin cluster.Unit, epoch uint64, n int) {
	a := pinEpoch{pin: pin, epoch: epoch}
	s := f.stripe(pin.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pinned[a] += n
	if s.pinned[a] == 0 {
		delete(s.pinned, a)
	}
}

// countFormerPins returns the number of requests for keys of a shard that were
// admitted through a pin that is not held any more.
func (f *inFlight) countFormerPins(shard cluster.Unit, held func(pinEpoch) bool) int {
	n := 0
	for i := range f.keys {
		s := &f.keys[i]
		s.mu.Lock()
		for a, c := range s.pinned {
			if a.pin.Service == shard.Service && a.pin.Shard == shard.Shard && !held(a) {
				n += c
			}
		}
		s.mu.Unlock()
	}
	return n
}

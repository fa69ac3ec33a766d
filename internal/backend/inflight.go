package backend

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"fulmarhinge/internal/cluster"
)

// keyStripes keeps keys from sharing one lock.
const keyStripes = 64

// inFlight counts the requests that are inside the gate, by shard and by key.
// Keys are counted as well because a pin takes its key out of a shard that goes
// on being served: the key's requests that came in through the shard must end
// before the pin is handed over.
type inFlight struct {
	total  atomic.Int64
	shards sync.Map
	keys   [keyStripes]keyStripe
}

type keyStripe struct {
	mu    sync.Mutex
	count map[cluster.Unit]int
	// pinned counts the requests that came in through a pin.
	pinned map[admission]int
}

// admission names a pin at the epoch at which requests came in through it.
type admission struct {
	pin   cluster.Unit
	epoch uint64
}

func newInFlight() *inFlight {
	f := &inFlight{}
	for i := range f.keys {
		f.keys[i].count = map[cluster.Unit]int{}
		f.keys[i].pinned = map[admission]int{}
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

// keyUnit names a key whether it is reached through its shard or a pin.
func keyUnit(u cluster.Unit, key string) cluster.Unit {
	return cluster.Unit{Service: u.Service, Shard: u.Shard, Key: key}
}

// add counts a request for key that was located in unit; n is 1 or -1.
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

// count returns the requests of a shard, or of a single key.
func (f *inFlight) count(u cluster.Unit) int {
	if u.Key == "" {
		return int(f.shard(u).Load())
	}
	s := f.stripe(u.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[u]
}

// addPinned counts a request that came in through a pin; n is 1 or -1.
func (f *inFlight) addPinned(pin cluster.Unit, epoch uint64, n int) {
	a := admission{pin: pin, epoch: epoch}
	s := f.stripe(pin.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pinned[a] += n
	if s.pinned[a] == 0 {
		delete(s.pinned, a)
	}
}

// strays returns the requests for keys of a shard that came in through a pin
// that is not held any more.
func (f *inFlight) strays(shard cluster.Unit, held func(admission) bool) int {
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

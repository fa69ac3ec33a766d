package caller

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"fulmarhinge/internal/backend"
	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/header"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/view"
	"fulmarhinge/internal/wire"
)

// idempotencyClockBound is small so that few keys are created within this time
// of a move.
const idempotencyClockBound = 5 * time.Millisecond

// ownershipController stands in for the controller: it moves all shards between
// nodes, by hand-over or by eviction.
type ownershipController struct {
	*testFleet
	owner int
	epoch uint64
}

// publishOwner publishes a view to node in which owner owns all shards in the
// given state, with the idempotency history that was handed over.
func (o *ownershipController) publishOwner(node, owner int, state view.UnitState, history map[cluster.Unit]*wire.History) {
	v := o.view(node)
	clear(v.Owned)
	ref := cluster.MemberRef{Name: o.nodes[owner].name, Incarnation: 1}
	for s := range testShards {
		u := cluster.Unit{Service: keyedService, Shard: s}
		v.Tables[keyedService].Shards[s] = cluster.Assignment{Owner: ref, Epoch: o.epoch}
		if node != owner {
			continue
		}
		owned := view.Ownership{State: state, Epoch: o.epoch}
		owned.History = history[u]
		v.Owned[u] = owned
	}
	o.nodes[node].views.Publish(v)
}

// handOver moves all shards with a planned hand-over.
func (o *ownershipController) handOver(t *testing.T, to int) {
	old := o.nodes[o.owner]
	o.publishOwner(o.owner, o.owner, view.Stopping, nil)
	history := map[cluster.Unit]*wire.History{}
	for s := range testShards {
		u := cluster.Unit{Service: keyedService, Shard: s}
		eventually(t, "the unit is idle", func() bool { return old.gate.InFlight(u) == 0 })
		history[u] = old.gate.History(u, o.epoch)
	}
	o.owner = to
	o.epoch++
	for i := range o.nodes {
		o.publishOwner(i, to, view.Serving, history)
	}
}

// evict takes all shards from an owner without notifying it: its lease expires
// and its view stays unchanged until rejoin.
func (o *ownershipController) evict(to int) {
	old := o.owner
	o.nodes[old].views.SetLease(clock.Now())
	o.owner = to
	o.epoch++
	for i := range o.nodes {
		if i != old {
			o.publishOwner(i, to, view.Serving, nil)
		}
	}
}

// rejoin publishes the current owner to an evicted node and gives it a lease
// again.
func (o *ownershipController) rejoin(node int) {
	o.publishOwner(node, o.owner, view.Serving, nil)
	o.nodes[node].views.SetLease(clock.Now().Add(longLease))
}

// runRecorder records runs by idempotency key and by request id.
type runRecorder struct {
	mu          sync.Mutex
	runsByKey   map[string]int
	requestsRun map[string]bool
}

func (rec *runRecorder) handler(*testNode) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key := r.Header.Get(header.IdempotencyKey)
		rec.mu.Lock()
		rec.runsByKey[key]++
		rec.requestsRun[r.Header.Get(header.RequestID)] = true
		n := len(rec.requestsRun)
		rec.mu.Unlock()
		time.Sleep(time.Duration(n%5) * time.Millisecond)
		if n%11 == 0 {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, key)
	}
}

// Callers send each key again, through any node, until it is answered or their
// tries are used up, while ownership moves by hand-over and eviction and
// responses are lost. No key may run twice, a response must carry its own key,
// and a request that was reported as not run must not have run.
func TestKeysRunAtMostOnceWhileOwnershipMoves(t *testing.T) {
	const seed, callers, keysEach, tries = 7, 8, 40, 4
	rec := &runRecorder{runsByKey: map[string]int{}, requestsRun: map[string]bool{}}
	o := &ownershipController{testFleet: newTestFleet(t, 3, keyedService, rec.handler), epoch: 1}
	for _, n := range o.nodes {
		n.gate.SetIdempotency(backend.IdempotencyLimits{MaxClockSkew: idempotencyClockBound})
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	for c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewSource(seed + int64(c)))
			for range keysEach {
				kind := rec.sendUntilAnswered(t, o, rng, tries)
				mu.Lock()
				outcomes[kind]++
				mu.Unlock()
			}
		}()
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	moves := moveShardsUntil(t, o, done)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for key, n := range rec.runsByKey {
		if n > 1 {
			t.Errorf("seed %d: key %s ran %d times", seed, key, n)
		}
	}
	if outcomes["answered"] < callers*keysEach/2 {
		t.Errorf("seed %d: too few keys were answered: %v", seed, outcomes)
	}
	t.Logf("%d moves, last outcome of %d keys: %v", moves, callers*keysEach, outcomes)
}

// sendUntilAnswered sends requests with one new key until one is answered or
// tries are used up, and returns the last result kind.
func (rec *runRecorder) sendUntilAnswered(t *testing.T, o *ownershipController, rng *rand.Rand, tries int) string {
	key := uuid.Must(uuid.NewV7()).String()
	last := ""
	for range tries {
		n := o.nodes[rng.Intn(len(o.nodes))]
		got := n.send(t, "POST", "/p/k"+key[len(key)-1:], strings.NewReader("b"),
			header.IdempotencyKey, key, header.RequestTimeoutMs, "300")
		last = got.kind
		rec.mu.Lock()
		ran := rec.requestsRun[got.header.Get(header.RequestID)]
		rec.mu.Unlock()
		if got.kind == result.NotRun.String() && ran {
			t.Errorf("request %s was reported as not run (%d) but ran", got.header.Get(header.RequestID), got.code)
		}
		if got.code == result.OK {
			if got.body != key {
				t.Errorf("key %s got the response %q", key, got.body)
			}
			return last
		}
	}
	return last
}

// moveShardsUntil moves ownership until done is closed and returns the number
// of moves.
func moveShardsUntil(t *testing.T, o *ownershipController, done <-chan struct{}) int {
	for moves := 0; ; moves++ {
		select {
		case <-done:
			return moves
		case <-time.After(40 * time.Millisecond):
		}
		old, to := o.owner, (o.owner+1)%len(o.nodes)
		if moves%2 == 0 {
			o.handOver(t, to)
			continue
		}
		o.evict(to)
		time.Sleep(10 * time.Millisecond)
		o.rejoin(old)
	}
}

package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"fulmarhinge/internal/cluster"
)

// LoadOptions say what load a Load places.
type LoadOptions struct {
	Seed uint64
	// Name comes before the id of each request, which must be unique among
	// all loads that are judged together.
	Name string
	// Keys are requested in turn, each once an Interval.
	Keys     []string
	Interval time.Duration
	Customer string
	// PathPrefix comes before the key in the path.
	PathPrefix string
	// WriteShare is the share of requests that are not idempotent.
	WriteShare float64
	// Work is how long a request takes at the backend server.
	Work time.Duration
	// MaxSize bounds the size of answers, in bytes.
	MaxSize int64
	// Timeout is how long the caller waits for one attempt.
	Timeout time.Duration
	// MaxAttempts bounds how often one request is sent; 0 means 4.
	MaxAttempts int
	// Entries returns the caller addresses that the load may use now.
	Entries func() []string
}

// Load sends requests at a steady rate until it is stopped, and keeps every
// attempt.
type Load struct {
	opts     LoadOptions
	client   *http.Client
	stop     chan struct{}
	running  sync.WaitGroup
	mu       sync.Mutex
	attempts []Attempt
}

// ShardKeys returns n keys for each shard of a service.
func ShardKeys(shards, n int) []string {
	found := make(map[int]int)
	var keys []string
	for i := 0; len(keys) < shards*n; i++ {
		key := fmt.Sprintf("key-%d", i)
		s := cluster.ShardOf(key, shards)
		if found[s] < n {
			found[s]++
			keys = append(keys, key)
		}
	}
	return keys
}

// StartLoad begins to send requests.
func StartLoad(o LoadOptions) *Load {
	l := &Load{opts: o, client: NewClient(), stop: make(chan struct{})}
	for i, key := range o.Keys {
		l.running.Go(func() { l.drive(i, key) })
	}
	return l
}

// Stop ends the load, waits for what is under way and returns all attempts.
func (l *Load) Stop() []Attempt {
	close(l.stop)
	l.running.Wait()
	l.client.CloseIdleConnections()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts
}

// Snapshot returns the attempts that have ended so far.
func (l *Load) Snapshot() []Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Attempt(nil), l.attempts...)
}

// drive sends the requests of one key. They are not held up by a slow answer,
// so that a key that is not served shows at once.
func (l *Load) drive(index int, key string) {
	rng := rand.New(rand.NewPCG(l.opts.Seed, uint64(index)))
	offset := time.Duration(index) * l.opts.Interval / time.Duration(len(l.opts.Keys))
	select {
	case <-time.After(offset):
	case <-l.stop:
		return
	}
	tick := time.NewTicker(l.opts.Interval)
	defer tick.Stop()
	for n := 0; ; n++ {
		c := l.call(rng, fmt.Sprintf("%s%d-%d", l.opts.Name, index, n), key)
		seed := rng.Uint64()
		l.running.Go(func() { l.request(c, seed) })
		select {
		case <-tick.C:
		case <-l.stop:
			return
		}
	}
}

// call makes one request.
func (l *Load) call(rng *rand.Rand, id, key string) Call {
	c := Call{
		ID:       id,
		Customer: l.opts.Customer,
		Path:     l.opts.PathPrefix + key,
		Key:      key,
		Work:     l.opts.Work,
	}
	if l.opts.MaxSize > 0 {
		c.Size = rng.Int64N(l.opts.MaxSize)
	}
	if rng.Float64() < l.opts.WriteShare {
		c.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	return c
}

// request sends the call until it has an outcome that a careful caller would
// take: it comes back after a refusal, and repeats a request that is not
// idempotent under the same idempotency key if its outcome is unknown.
func (l *Load) request(c Call, seed uint64) {
	const (
		defaultAttempts = 4
		pause           = 50 * time.Millisecond
	)
	maxAttempts := l.opts.MaxAttempts
	if maxAttempts == 0 {
		maxAttempts = defaultAttempts
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	for n := range maxAttempts {
		c.Attempt = fmt.Sprintf("%s.%d", c.ID, n)
		entries := l.opts.Entries()
		entry := entries[rng.IntN(len(entries))]
		ctx, cancel := context.WithTimeout(context.Background(), l.opts.Timeout)
		a := Send(ctx, l.client, entry, c)
		cancel()
		l.mu.Lock()
		l.attempts = append(l.attempts, a)
		l.mu.Unlock()
		if !a.comeBack() {
			return
		}
		select {
		case <-time.After(pause):
		case <-l.stop:
			return
		}
	}
}

// comeBack reports whether the caller sends the request again.
func (a Attempt) comeBack() bool {
	switch a.Class {
	case NotRun, Unreached:
		return true
	case Unknown, Cut:
		return a.IdempotencyKey != ""
	}
	return false
}

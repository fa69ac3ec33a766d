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

// LoadOptions describe the requests that a Load sends.
type LoadOptions struct {
	Seed uint64
	// Name is the prefix of each request's id. Ids must be unique among all
	// loads that are checked together.
	Name string
	// Keys are the requested keys, each once per Interval.
	Keys     []string
	Interval time.Duration
	Customer string
	// PathPrefix precedes the key in the path.
	PathPrefix string
	// WriteShare is the share of non-idempotent requests, 0 to 1.
	WriteShare float64
	// Work is how long a request takes at the backend server.
	Work time.Duration
	// MaxSize bounds the size of answers in bytes; sizes are uniformly random.
	MaxSize int64
	// Timeout is how long the caller waits for one attempt.
	Timeout time.Duration
	// MaxAttempts is the maximum number of attempts per request; 0 means 4.
	MaxAttempts int
	// Entries returns the caller addresses that the load may currently use.
	Entries func() []string
}

// Load sends requests at a constant rate until it is stopped, and records every
// attempt.
type Load struct {
	opts     LoadOptions
	client   *http.Client
	stop     chan struct{}
	inFlight sync.WaitGroup
	mu       sync.Mutex
	attempts []Attempt
}

// ShardKeys returns n keys for each shard of a service.
func ShardKeys(shards, n int) []string {
	perShard := make(map[int]int)
	var keys []string
	for i := 0; len(keys) < shards*n; i++ {
		key := fmt.Sprintf("key-%d", i)
		shard := cluster.ShardOf(key, shards)
		if perShard[shard] < n {
			perShard[shard]++
			keys = append(keys, key)
		}
	}
	return keys
}

// StartLoad starts to send requests.
func StartLoad(o LoadOptions) *Load {
	l := &Load{opts: o, client: NewClient(), stop: make(chan struct{})}
	for i, key := range o.Keys {
		l.inFlight.Go(func() { l.sendForKey(i, key) })
	}
	return l
}

// Stop stops the load, waits for requests in flight and returns all attempts.
func (l *Load) Stop() []Attempt {
	close(l.stop)
	l.inFlight.Wait()
	l.client.CloseIdleConnections()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts
}

// Snapshot returns the attempts that have ended so far, without stopping the
// load.
func (l *Load) Snapshot() []Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Attempt(nil), l.attempts...)
}

// sendForKey sends the requests for one key. It does not wait for answers, so
// that an unserved key shows up without delay.
func (l *Load) sendForKey(index int, key string) {
	rng := rand.New(rand.NewPCG(l.opts.Seed, uint64(index)))
	offset := time.Duration(index) * l.opts.Interval / time.Duration(len(l.opts.Keys))
	select {
	case <-time.After(offset):
	case <-l.stop:
		return
	}
	ticker := time.NewTicker(l.opts.Interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		c := l.newCall(rng, fmt.Sprintf("%s%d-%d", l.opts.Name, index, n), key)
		seed := rng.Uint64()
		l.inFlight.Go(func() { l.sendWithRetries(c, seed) })
		select {
		case <-ticker.C:
		case <-l.stop:
			return
		}
	}
}

// newCall returns the next request for a key.
func (l *Load) newCall(rng *rand.Rand, id, key string) Call {
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

// sendWithRetries sends the call until its outcome is final or no attempts are
// left. It retries after a refusal that ran nothing, and repeats a non-idempotent
// request under the same idempotency key if the outcome is unknown.
func (l *Load) sendWithRetries(c Call, seed uint64) {
	const (
		defaultAttempts = 4
		retryInterval   = 50 * time.Millisecond
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
		if !a.shouldRetry() {
			return
		}
		select {
		case <-time.After(retryInterval):
		case <-l.stop:
			return
		}
	}
}

// shouldRetry reports whether the caller sends the request again: always if
// nothing ran, and with an idempotency key also if the outcome is unknown.
func (a Attempt) shouldRetry() bool {
	switch a.Class {
	case NotRun, Unreached:
		return true
	case Unknown, Incomplete:
		return a.IdempotencyKey != ""
	}
	return false
}

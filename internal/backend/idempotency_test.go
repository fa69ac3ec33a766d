package backend

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"fulmarhinge/internal/result"
	"fulmarhinge/internal/view"
	"fulmarhinge/internal/wire"
)

// keyAt returns a UUIDv7 with the given timestamp; n distinguishes keys with the
// same timestamp.
func keyAt(at time.Time, n byte) string {
	ms := at.UnixMilli()
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: n}
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

// currentKey returns a key with the current timestamp.
func currentKey(n byte) string { return keyAt(time.Now(), n) }

// newIdempotencyGate returns a gate that has owned its unit long enough for
// current keys to be newer than the ownership. The timestamps of keys have a
// resolution of one millisecond.
func newIdempotencyGate(t testing.TB, entries int, handler http.HandlerFunc) *gateTest {
	g := newGateTest(t, handler)
	g.SetIdempotency(IdempotencyLimits{MaxEntries: entries, MaxClockSkew: time.Nanosecond, MaxAge: time.Hour})
	time.Sleep(3 * time.Millisecond)
	return g
}

func postWithKey(id, key string) *wire.RequestHead {
	h := post(id)
	h.IdempotencyKey = key
	return h
}

func TestConcurrentRequestsWithOneKeyRunOnce(t *testing.T) {
	release := make(chan struct{})
	g := newIdempotencyGate(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.Header().Set("X-Receipt", "1")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprint(w, "charged")
	})
	key := currentKey(1)
	type outcome struct {
		id   string
		sink *recordingSink
		err  *result.Error
	}
	outcomes := make(chan outcome, 5)
	for i := range 5 {
		go func() {
			id := fmt.Sprint("r", i)
			s, err := g.do(postWithKey(id, key))
			outcomes <- outcome{id, s, err}
		}()
	}
	eventually(t, "one request runs and all are inside the gate", func() bool {
		return g.runs.Load() == 1 && g.Total() == 5
	})
	close(release)
	for range 5 {
		o := <-outcomes
		if o.err != nil || o.sink.body.String() != "charged" || o.sink.head.GetStatus() != 201 || o.sink.head.GetId() != o.id {
			t.Fatalf("request %s got error %v, head %v", o.id, o.err, o.sink.head)
		}
	}
	if g.runs.Load() != 1 {
		t.Fatalf("%d runs", g.runs.Load())
	}
}

func TestInvalidOrOldKeysAreRefused(t *testing.T) {
	for _, c := range []struct {
		name string
		key  string
		want result.Code
	}{
		{"not a UUID", "abc", result.IdempotencyKeyBad},
		{"version 4", "9b2fd6ae-6a6e-4f0e-9a52-6ad9d1ad0f3c", result.IdempotencyKeyBad},
		{"in the future", keyAt(time.Now().Add(time.Minute), 1), result.IdempotencyKeyBad},
		{"older than the ownership", keyAt(time.Now().Add(-time.Second), 1), result.IdempotencyKeyTooOld},
		{"older than the table remembers", keyAt(time.Now().Add(-2*time.Hour), 1), result.IdempotencyKeyTooOld},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newIdempotencyGate(t, 0, func(http.ResponseWriter, *http.Request) {})
			if _, err := g.do(postWithKey("r", c.key)); codeOf(err) != c.want || g.runs.Load() != 0 {
				t.Fatalf("got code %d with %d runs", codeOf(err), g.runs.Load())
			}
		})
	}
}

// An earlier owner whose clock is ahead by the clock bound may have executed a
// key from a caller whose clock is ahead of the owner's by the bound. The next
// owner must neither execute the key as new nor report that it has not run.
func TestKeyFromFastClockIsRefusedByNextOwner(t *testing.T) {
	const bound = 2 * time.Second
	for _, ahead := range []time.Duration{0, bound / 2, bound, 2*bound - 100*time.Millisecond} {
		g := newGateTest(t, func(http.ResponseWriter, *http.Request) {})
		g.SetIdempotency(IdempotencyLimits{MaxClockSkew: bound})
		_, err := g.do(postWithKey("r", keyAt(time.Now().Add(ahead), 1)))
		if codeOf(err) != result.IdempotencyKeyTooOld || g.runs.Load() != 0 {
			t.Errorf("a key %v ahead got code %d with %d runs", ahead, codeOf(err), g.runs.Load())
		}
	}
}

func TestKeyReusedForDifferentRequestIsRefused(t *testing.T) {
	g := newIdempotencyGate(t, 0, func(http.ResponseWriter, *http.Request) {})
	key := currentKey(1)
	if _, err := g.do(postWithKey("a", key)); err != nil {
		t.Fatal(err)
	}
	other := postWithKey("b", key)
	other.Path = "/p/k/other"
	if _, err := g.do(other); codeOf(err) != result.IdempotencyKeyBad || g.runs.Load() != 1 {
		t.Fatalf("got code %d with %d runs", codeOf(err), g.runs.Load())
	}
}

func TestRequestWithUnknownOutcomeIsNotRunAgain(t *testing.T) {
	g := newIdempotencyGate(t, 0, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	key := currentKey(1)
	if _, err := g.do(postWithKey("a", key)); codeOf(err) != result.AnswerCut {
		t.Fatalf("got code %d", codeOf(err))
	}
	if _, err := g.do(postWithKey("b", key)); codeOf(err) != result.IdempotencyFirstFailed {
		t.Fatalf("got code %d", codeOf(err))
	}
	if g.runs.Load() != 1 {
		t.Fatalf("%d runs", g.runs.Load())
	}
}

func TestKeyOfRequestThatDidNotRunCanBeUsedAgain(t *testing.T) {
	shed := atomic.Bool{}
	shed.Store(true)
	g := newIdempotencyGate(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		if shed.Load() {
			w.Header().Set("Fulmarhinge-Shed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	key := currentKey(1)
	if _, err := g.do(postWithKey("a", key)); codeOf(err) != result.BackendShed {
		t.Fatalf("got code %d", codeOf(err))
	}
	shed.Store(false)
	if _, err := g.do(postWithKey("b", key)); err != nil {
		t.Fatalf("got code %d", codeOf(err))
	}
}

func TestRequestWithLargeResponseIsNotRunAgain(t *testing.T) {
	g := newIdempotencyGate(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, maxStoredResponseBytes+1))
	})
	key := currentKey(1)
	if s, err := g.do(postWithKey("a", key)); err != nil || s.body.Len() != maxStoredResponseBytes+1 {
		t.Fatalf("got error %v", err)
	}
	if _, err := g.do(postWithKey("b", key)); codeOf(err) != result.IdempotencyAnswerLarge || g.runs.Load() != 1 {
		t.Fatalf("got code %d with %d runs", codeOf(err), g.runs.Load())
	}
}

func TestFullTableRefusesNewKeys(t *testing.T) {
	g := newIdempotencyGate(t, tableStripes, func(http.ResponseWriter, *http.Request) {})
	refused := 0
	for i := range 200 {
		_, err := g.do(postWithKey("r", currentKey(byte(i))))
		if err != nil && err.Code != result.IdempotencyTableFull {
			t.Fatalf("got code %d", codeOf(err))
		}
		if err != nil {
			refused++
		}
	}
	if refused == 0 || int(g.runs.Load()) != 200-refused || g.runs.Load() > tableStripes {
		t.Fatalf("%d requests refused, %d ran", refused, g.runs.Load())
	}
}

// The caller disconnects while its request runs, retries with the same key and
// receives the response of the first execution.
func TestResponseIsReplayedAfterCallerDisconnects(t *testing.T) {
	release := make(chan struct{})
	g := newIdempotencyGate(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		fmt.Fprint(w, "charged")
	})
	key := currentKey(1)
	ctx, cancel := context.WithCancel(context.Background())
	codes := make(chan result.Code, 1)
	go func() {
		codes <- codeOf(g.Do(ctx, postWithKey("a", key), strings.NewReader(""), &disconnectedSink{}))
	}()
	eventually(t, "the first request runs", func() bool { return g.runs.Load() == 1 })
	cancel()
	close(release)
	if c := <-codes; c != result.CancelledAfter {
		t.Fatalf("the first request got code %d", c)
	}
	if s, err := g.do(postWithKey("b", key)); err != nil || s.body.String() != "charged" || g.runs.Load() != 1 {
		t.Fatalf("the second request got error %v with %d runs", err, g.runs.Load())
	}
}

// disconnectedSink is the sink of a caller that has disconnected.
type disconnectedSink struct{}

func (disconnectedSink) Dispatched()                   {}
func (disconnectedSink) Head(*wire.ResponseHead) error { return errors.New("caller disconnected") }
func (disconnectedSink) Write([]byte) (int, error)     { return 0, errors.New("caller disconnected") }

func TestNewOwnerRefusesOlderKeys(t *testing.T) {
	g := newIdempotencyGate(t, 0, func(http.ResponseWriter, *http.Request) {})
	key := keyAt(time.Now(), 1)
	g.publish(view.Serving, 8)
	if _, err := g.do(postWithKey("a", key)); codeOf(err) != result.IdempotencyKeyTooOld || g.runs.Load() != 0 {
		t.Fatalf("got code %d", codeOf(err))
	}
}

// Callers retry concurrently while the backend server fails at random. No key may
// run twice, and each successful response must belong to its key.
func TestRandomRetriesRunAtMostOnce(t *testing.T) {
	const seed = 20260
	rng := rand.New(rand.NewSource(seed))
	var mu sync.Mutex
	runs := map[string]int{}
	g := newIdempotencyGate(t, 0, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		fault := rng.Intn(4)
		if fault != 0 {
			runs[r.Header.Get("Idempotency-Key")]++
		}
		mu.Unlock()
		switch fault {
		case 0:
			w.Header().Set("Fulmarhinge-Shed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			panic(http.ErrAbortHandler)
		default:
			fmt.Fprint(w, r.Header.Get("Idempotency-Key"))
		}
	})
	var wg sync.WaitGroup
	for c := range 20 {
		key := currentKey(byte(c))
		for i := range 5 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				h := postWithKey(fmt.Sprint(c, "-", i), key)
				h.Headers = []*wire.Header{{Name: "Idempotency-Key", Value: key}}
				s, err := g.do(h)
				if err == nil && s.body.String() != key {
					t.Errorf("key %s got the response %q", key, s.body.String())
				}
			}()
		}
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	for key, n := range runs {
		if n > 1 {
			t.Errorf("seed %d: key %s ran %d times", seed, key, n)
		}
	}
}

package platform_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/zeebo/errs"

	"fulmarhinge/internal/platform"
	"fulmarhinge/standin/platform/objectapi"
)

// testTimeout bounds each wait of a test.
const testTimeout = 5 * time.Second

// storeFixture is a store under test with the in-memory store behind it.
type storeFixture struct {
	store  platform.Store
	memory *platform.Memory
}

// forEachStore runs a test on the in-memory store and on the HTTP client.
func forEachStore(t *testing.T, test func(t *testing.T, f storeFixture)) {
	t.Run("memory", func(t *testing.T) {
		m := platform.NewMemory()
		test(t, storeFixture{store: m, memory: m})
	})
	t.Run("http", func(t *testing.T) {
		m := platform.NewMemory()
		server := httptest.NewServer(objectapi.New(m))
		t.Cleanup(server.Close)
		c := platform.NewClient(platform.Options{URLs: []string{server.URL}, Timeout: testTimeout})
		test(t, storeFixture{store: c, memory: m})
	})
}

// wantClass fails the test unless the error belongs to the class.
func wantClass(t *testing.T, class *errs.Class, err error) {
	t.Helper()
	if !class.Has(err) {
		t.Fatalf("error %v, expected class %q", err, string(*class))
	}
}

// mustPut writes an object or fails the test.
func mustPut(t *testing.T, s platform.Store, key string, expected uint64, value string) uint64 {
	t.Helper()
	v, err := s.Put(t.Context(), key, expected, []byte(value))
	if err != nil {
		t.Fatalf("put %s: %v", key, err)
	}
	return v
}

func TestStoreConditionalUpdates(t *testing.T) {
	forEachStore(t, func(t *testing.T, f storeFixture) {
		ctx := t.Context()
		_, err := f.store.Get(ctx, "members/a b%?/ü")
		wantClass(t, &platform.ErrNotFound, err)
		v1 := mustPut(t, f.store, "members/a b%?/ü", 0, "one")
		_, err = f.store.Put(ctx, "members/a b%?/ü", 0, []byte("two"))
		wantClass(t, &platform.ErrConflict, err)
		v2 := mustPut(t, f.store, "members/a b%?/ü", v1, "two")
		if v2 <= v1 {
			t.Fatalf("version went from %d to %d", v1, v2)
		}
		o, err := f.store.Get(ctx, "members/a b%?/ü")
		if err != nil || o.Version != v2 || string(o.Value) != "two" {
			t.Fatalf("got %+v, %v", o, err)
		}
		wantClass(t, &platform.ErrConflict, f.store.Delete(ctx, "members/a b%?/ü", v1))
		if err := f.store.Delete(ctx, "members/a b%?/ü", v2); err != nil {
			t.Fatal(err)
		}
		wantClass(t, &platform.ErrNotFound, f.store.Delete(ctx, "members/a b%?/ü", v2))
		if v3 := mustPut(t, f.store, "members/a b%?/ü", 0, "three"); v3 <= v2 {
			t.Fatalf("version went from %d to %d across a deletion", v2, v3)
		}
	})
}

func TestStoreListFiltersByPrefix(t *testing.T) {
	forEachStore(t, func(t *testing.T, f storeFixture) {
		for _, k := range []string{"a/2", "b/1", "a/1"} {
			mustPut(t, f.store, k, 0, k)
		}
		got, err := f.store.List(t.Context(), "a/")
		if err != nil || len(got) != 2 || got[0].Key != "a/1" || string(got[1].Value) != "a/2" {
			t.Fatalf("got %+v, %v", got, err)
		}
		none, err := f.store.List(t.Context(), "c/")
		if err != nil || len(none) != 0 {
			t.Fatalf("got %+v, %v", none, err)
		}
	})
}

func TestStoreValueSize(t *testing.T) {
	forEachStore(t, func(t *testing.T, f storeFixture) {
		value := bytes.Repeat([]byte("x"), platform.MaxValueBytes)
		if _, err := f.store.Put(t.Context(), "big", 0, value); err != nil {
			t.Fatal(err)
		}
		o, err := f.store.Get(t.Context(), "big")
		if err != nil || len(o.Value) != platform.MaxValueBytes {
			t.Fatalf("got %d bytes, %v", len(o.Value), err)
		}
		_, err = f.store.Put(t.Context(), "bigger", 0, append(value, 'x'))
		wantClass(t, &platform.ErrTooLarge, err)
	})
}

func TestStoreFaults(t *testing.T) {
	cases := []struct {
		name     string
		switches platform.Switches
		class    *errs.Class
		applied  bool
	}{
		{"down", platform.Switches{Down: true}, &platform.ErrUnavailable, false},
		{"response lost", platform.Switches{LoseResponses: 1}, &platform.ErrUnknown, true},
		{"request lost", platform.Switches{LoseRequests: 1}, &platform.ErrUnknown, false},
		{"request delayed", platform.Switches{LateRequests: 1}, &platform.ErrUnknown, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEachStore(t, func(t *testing.T, f storeFixture) {
				old := mustPut(t, f.store, "k", 0, "old")
				f.memory.SetSwitches(c.switches)
				_, err := f.store.Put(t.Context(), "k", old, []byte("new"))
				wantClass(t, c.class, err)
				f.memory.SetSwitches(platform.Switches{})
				o, err := f.store.Get(t.Context(), "k")
				if err != nil || (string(o.Value) == "new") != c.applied {
					t.Fatalf("value %q, %v", o.Value, err)
				}
				f.memory.SetSwitches(c.switches)
				wantClass(t, c.class, f.store.Delete(t.Context(), "k", o.Version))
			})
		})
	}
}

func TestStoreReadsWhileDownOrSlow(t *testing.T) {
	forEachStore(t, func(t *testing.T, f storeFixture) {
		f.memory.SetSwitches(platform.Switches{Down: true})
		_, err := f.store.Get(t.Context(), "k")
		wantClass(t, &platform.ErrUnavailable, err)
		_, err = f.store.List(t.Context(), "k")
		wantClass(t, &platform.ErrUnavailable, err)
		wantClass(t, &platform.ErrUnavailable, f.store.Watch(t.Context(), "k", nil, nil))
		f.memory.SetSwitches(platform.Switches{SlowMs: int(testTimeout.Milliseconds())})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		_, err = f.store.Get(ctx, "k")
		wantClass(t, &platform.ErrUnavailable, err)
	})
}

// startWatch opens a watch and returns channels of its changes and of the error
// that ends it.
func startWatch(t *testing.T, s platform.Store, prefix string) (<-chan platform.Object, <-chan error) {
	t.Helper()
	changes := make(chan platform.Object, 16)
	ended := make(chan error, 1)
	ready := make(chan struct{})
	go func() {
		ended <- s.Watch(t.Context(), prefix, func() { close(ready) }, func(o platform.Object) { changes <- o })
	}()
	receive(t, ready)
	return changes, ended
}

// receive receives one value or fails the test.
func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("no value received before the timeout")
		panic("unreachable")
	}
}

func TestStoreWatch(t *testing.T) {
	forEachStore(t, func(t *testing.T, f storeFixture) {
		changes, ended := startWatch(t, f.store, "a/")
		mustPut(t, f.store, "b/1", 0, "other")
		v := mustPut(t, f.store, "a/1", 0, "one")
		if o := receive(t, changes); o.Key != "a/1" || o.Version != v || string(o.Value) != "one" {
			t.Fatalf("got %+v", o)
		}
		if err := f.store.Delete(t.Context(), "a/1", v); err != nil {
			t.Fatal(err)
		}
		if o := receive(t, changes); o.Key != "a/1" || o.Version <= v || len(o.Value) != 0 {
			t.Fatalf("got %+v", o)
		}
		f.memory.SetSwitches(platform.Switches{WatchSkip: 1, WatchRepeat: true})
		mustPut(t, f.store, "a/2", 0, "skipped")
		mustPut(t, f.store, "a/3", 0, "twice")
		for range 2 {
			if o := receive(t, changes); o.Key != "a/3" {
				t.Fatalf("got %+v", o)
			}
		}
		f.memory.SetSwitches(platform.Switches{Down: true})
		wantClass(t, &platform.ErrUnavailable, receive(t, ended))
		if c := f.memory.Counts(); c.WatchOpened != 1 || c.WatchWaiting != 0 || c.WatchSeconds <= 0 {
			t.Fatalf("counts %+v", c)
		}
	})
}

func TestClientEndsIdleWatch(t *testing.T) {
	idleServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`{"ready":true}`))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(idleServer.Close)
	options := platform.Options{URLs: []string{idleServer.URL}, WatchIdleTimeout: 50 * time.Millisecond}
	_, ended := startWatch(t, platform.NewClient(options), "a/")
	wantClass(t, &platform.ErrUnavailable, receive(t, ended))
}

func TestStoreCountsCalls(t *testing.T) {
	forEachStore(t, func(t *testing.T, f storeFixture) {
		v := mustPut(t, f.store, "k", 0, "v")
		_, _ = f.store.Get(t.Context(), "k")
		_, _ = f.store.Get(t.Context(), "none")
		_, _ = f.store.List(t.Context(), "")
		_ = f.store.Delete(t.Context(), "k", v)
		want := platform.Counts{Get: 2, List: 1, Put: 1, Delete: 1}
		if got := f.memory.Counts(); got != want {
			t.Fatalf("counts %+v, expected %+v", got, want)
		}
	})
}

func TestClientSwitchesURLOnlyAfterRefusal(t *testing.T) {
	m := platform.NewMemory()
	server := httptest.NewServer(objectapi.New(m))
	t.Cleanup(server.Close)
	closed := httptest.NewServer(objectapi.New(m))
	closed.Close()
	c := platform.NewClient(platform.Options{URLs: []string{closed.URL, server.URL}})
	mustPut(t, c, "k", 0, "v")
	m.SetSwitches(platform.Switches{LoseResponses: 1})
	_, err := c.Put(t.Context(), "k2", 0, []byte("v"))
	wantClass(t, &platform.ErrUnknown, err)
	if got := m.Counts().Put; got != 2 {
		t.Fatalf("%d puts reached the platform, expected 2", got)
	}
	closedOnly := platform.NewClient(platform.Options{URLs: []string{closed.URL}})
	_, err = closedOnly.Put(t.Context(), "k", 0, nil)
	wantClass(t, &platform.ErrUnavailable, err)
}

func TestClientEnforcesBudget(t *testing.T) {
	m := platform.NewMemory()
	server := httptest.NewServer(objectapi.New(m))
	t.Cleanup(server.Close)
	// One write per hour, after a burst of two.
	budget := platform.Budget{Writes: platform.Rate{PerSecond: 1.0 / 3600, Burst: 2}}
	c := platform.NewClient(platform.Options{URLs: []string{server.URL}, Budget: budget})
	for i := range 2 {
		mustPut(t, c, fmt.Sprint(i), 0, "v")
	}
	_, err := c.Put(t.Context(), "third", 0, nil)
	wantClass(t, &platform.ErrUnavailable, err)
	if got := m.Counts().Put; got != 2 {
		t.Fatalf("%d puts reached the platform, expected 2", got)
	}
	c.SetBudget(platform.Budget{})
	mustPut(t, c, "third", 0, "v")
}

func TestNodeBudgetsSumToFleetLimits(t *testing.T) {
	for _, n := range []int{1, 4, 10, 100, 1200} {
		controllers := min(n, 4)
		node, controller := platform.NodeBudget(n, false), platform.NodeBudget(n, true)
		sum := func(rate func(platform.Budget) platform.Rate) float64 {
			return rate(node).PerSecond*float64(n-controllers) + rate(controller).PerSecond*float64(controllers)
		}
		reads := sum(func(b platform.Budget) platform.Rate { return b.Reads })
		writes := sum(func(b platform.Budget) platform.Rate { return b.Writes })
		if reads > platform.FleetReadsPerSecond+1e-6 || writes > platform.FleetWritesPerSecond+1e-6 {
			t.Errorf("%d nodes: %v reads and %v writes per second are above the limits", n, reads, writes)
		}
	}
}

func TestBackoffWait(t *testing.T) {
	cases := []struct {
		name     string
		failures int
		random   float64
		want     time.Duration
	}{
		{"first failure, smallest random number", 1, 0, 50 * time.Millisecond},
		{"first failure, middle random number", 1, 0.5, 75 * time.Millisecond},
		{"third failure, smallest random number", 3, 0, 200 * time.Millisecond},
		{"at the bound", 100, 0.5, 750 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := platform.Backoff{Base: 100 * time.Millisecond, Max: time.Second, Random: func() float64 { return c.random }}
			if got := b.Wait(c.failures); got != c.want {
				t.Errorf("wait %v, expected %v", got, c.want)
			}
		})
	}
}

// valueAsChangeID uses the whole value as its change id.
func valueAsChangeID(v []byte) string { return string(v) }

func TestPutAndResolve(t *testing.T) {
	cases := []struct {
		name     string
		switches platform.Switches
	}{
		{"nothing lost", platform.Switches{}},
		{"response lost", platform.Switches{LoseResponses: 1}},
		{"request lost", platform.Switches{LoseRequests: 1}},
		{"request delayed", platform.Switches{LateRequests: 1}},
		{"two requests delayed", platform.Switches{LateRequests: 2}},
		{"two requests lost, then a response lost", platform.Switches{LoseRequests: 2, LoseResponses: 1}},
	}
	fastBackoff := platform.Backoff{Base: time.Microsecond, Max: time.Microsecond, Random: func() float64 { return 0 }}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := platform.NewMemory()
			old := mustPut(t, m, "k", 0, "old")
			m.SetSwitches(c.switches)
			version, err := platform.PutAndResolve(t.Context(), m, fastBackoff, "k", old, []byte("new"), valueAsChangeID)
			if err != nil {
				t.Fatal(err)
			}
			if o, _ := m.Get(t.Context(), "k"); o.Version != version || string(o.Value) != "new" {
				t.Fatalf("version %d, object %+v", version, o)
			}
			_, err = platform.PutAndResolve(t.Context(), m, fastBackoff, "k", old, []byte("late"), valueAsChangeID)
			wantClass(t, &platform.ErrConflict, err)
		})
	}
}

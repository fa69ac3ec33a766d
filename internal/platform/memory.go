package platform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"
)

// MaxValueBytes is the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// watchBufferChanges is the number of undelivered changes that a watch buffers;
// one more breaks the watch.
const watchBufferChanges = 1024

// lateRequestDelayCalls is the number of further calls, of any kind, after which
// a delayed write arrives.
const lateRequestDelayCalls = 3

// Switches inject the faults of the real platform into the in-memory store.
type Switches struct {
	// Down refuses every call and breaks every watch.
	Down bool `json:"down"`
	// SlowMs delays each call, in milliseconds.
	SlowMs int `json:"slow_ms"`
	// LoseResponses is how many of the next writes take effect but get no
	// response.
	LoseResponses int `json:"lose_answers"`
	// LoseRequests is how many of the next writes are dropped: they neither
	// take effect nor get a response.
	LoseRequests int `json:"lose_requests"`
	// LateRequests is how many of the next writes get no response and take
	// effect only after three further calls of any kind.
	LateRequests int `json:"late_requests"`
	// WatchSkip is how many of the next changes are not sent to any watch.
	WatchSkip int `json:"watch_skip"`
	// WatchRepeat sends each change twice.
	WatchRepeat bool `json:"watch_repeat"`
}

// Counts holds the number of calls of each kind since the store was created.
type Counts struct {
	Get    uint64 `json:"get"`
	List   uint64 `json:"list"`
	Put    uint64 `json:"put"`
	Delete uint64 `json:"delete"`
	// WatchOpened is the number of watches opened so far.
	WatchOpened uint64 `json:"watch_opened"`
	// WatchWaiting is the number of watches that are open now. The platform
	// counts each as one call in progress.
	WatchWaiting uint64 `json:"watch_waiting"`
	// WatchSeconds is the total time, in seconds, that watches have been open.
	// The platform counts an open watch as one call per second.
	WatchSeconds float64 `json:"watch_seconds"`
}

// Memory is an in-memory Store, for tests and for the platform's stand-in program.
type Memory struct {
	mu         sync.Mutex
	objects    map[string]Object
	version    uint64
	switches   Switches
	counts     Counts
	watchers   map[*watcher]struct{}
	lateWrites []lateWrite
}

// lateWrite is a delayed write that has not taken effect yet.
type lateWrite struct {
	// callsLeft is the number of further calls before the write takes effect.
	callsLeft int
	apply     func()
}

// watcher is one open watch.
type watcher struct {
	prefix string
	opened time.Time
	events chan Object
	broken chan struct{}
}

var _ Store = (*Memory)(nil)

// NewMemory returns an empty store that injects no faults.
func NewMemory() *Memory {
	return &Memory{
		objects:  map[string]Object{},
		watchers: map[*watcher]struct{}{},
	}
}

// SetSwitches replaces the switches. Setting Down breaks the open watches.
func (m *Memory) SetSwitches(s Switches) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.switches = s
	if !s.Down {
		return
	}
	for w := range m.watchers {
		m.breakWatchLocked(w)
	}
}

// Switches returns the current switches. Their counters hold how many faults are
// still to be injected.
func (m *Memory) Switches() Switches {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.switches
}

// Counts returns the number of calls so far.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.counts
	c.WatchWaiting = uint64(len(m.watchers))
	for w := range m.watchers {
		c.WatchSeconds += time.Since(w.opened).Seconds()
	}
	return c
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Object, error) {
	if err := m.beginCall(ctx, &m.counts.Get); err != nil {
		return Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[key]
	if !ok {
		return Object{}, ErrNotFound.New("%s", key)
	}
	return o, nil
}

// List implements Store; the objects are sorted by key.
func (m *Memory) List(ctx context.Context, prefix string) ([]Object, error) {
	if err := m.beginCall(ctx, &m.counts.List); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Object
	for k, o := range m.objects {
		if strings.HasPrefix(k, prefix) {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

// Put implements Store.
func (m *Memory) Put(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	if err := m.beginCall(ctx, &m.counts.Put); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge.New("%s: %d bytes, at most %d are stored", key, len(value), MaxValueBytes)
	}
	apply := func() (uint64, error) { return m.putLocked(key, expected, value) }
	if m.requestLost(func() { _, _ = apply() }) {
		return 0, ErrUnknown.New("put %s: request lost", key)
	}
	version, err := apply()
	return version, m.loseResponse(err)
}

// putLocked applies a put; m.mu is held.
func (m *Memory) putLocked(key string, expected uint64, value []byte) (uint64, error) {
	current := m.objects[key].Version
	if current != expected {
		return 0, ErrConflict.New("%s: expected version %d, present version %d", key, expected, current)
	}
	m.version++
	o := Object{Key: key, Version: m.version, Value: append([]byte{}, value...)}
	m.objects[key] = o
	m.notifyWatchers(o)
	return o.Version, nil
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, key string, expected uint64) error {
	if err := m.beginCall(ctx, &m.counts.Delete); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	apply := func() error { return m.removeLocked(key, expected) }
	if m.requestLost(func() { _ = apply() }) {
		return ErrUnknown.New("delete %s: request lost", key)
	}
	return m.loseResponse(apply())
}

// removeLocked applies a deletion; m.mu is held.
func (m *Memory) removeLocked(key string, expected uint64) error {
	o, ok := m.objects[key]
	if !ok {
		return ErrNotFound.New("%s", key)
	}
	if o.Version != expected {
		return ErrConflict.New("%s: expected version %d, present version %d", key, expected, o.Version)
	}
	delete(m.objects, key)
	m.version++
	m.notifyWatchers(Object{Key: key, Version: m.version})
	return nil
}

// Watch implements Store. A deletion is reported as an object without a value.
func (m *Memory) Watch(ctx context.Context, prefix string, ready func(), fn func(Object)) error {
	if err := m.beginCall(ctx, &m.counts.WatchOpened); err != nil {
		return err
	}
	w := &watcher{
		prefix: prefix,
		opened: time.Now(),
		events: make(chan Object, watchBufferChanges),
		broken: make(chan struct{}),
	}
	m.mu.Lock()
	m.watchers[w] = struct{}{}
	m.mu.Unlock()
	defer m.endWatch(w)
	if ready != nil {
		ready()
	}
	for {
		select {
		case <-ctx.Done():
			return ErrUnavailable.Wrap(ctx.Err())
		case <-w.broken:
			return ErrUnavailable.New("watch of %q broke", prefix)
		case o := <-w.events:
			fn(o)
		}
	}
}

// beginCall counts a call and applies the switches that delay or refuse it.
func (m *Memory) beginCall(ctx context.Context, count *uint64) error {
	m.mu.Lock()
	*count++
	m.applyLateWrites()
	s := m.switches
	m.mu.Unlock()
	if s.SlowMs > 0 {
		t := time.NewTimer(time.Duration(s.SlowMs) * time.Millisecond)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	if err := ctx.Err(); err != nil {
		return ErrUnavailable.Wrap(err)
	}
	if s.Down {
		return ErrUnavailable.New("the platform is down")
	}
	return nil
}

// requestLost reports whether a write gets no response because its request is
// dropped or delayed; m.mu is held.
func (m *Memory) requestLost(apply func()) bool {
	switch {
	case m.switches.LoseRequests > 0:
		m.switches.LoseRequests--
		return true
	case m.switches.LateRequests > 0:
		m.switches.LateRequests--
		m.lateWrites = append(m.lateWrites, lateWrite{callsLeft: lateRequestDelayCalls, apply: apply})
		return true
	}
	return false
}

// applyLateWrites counts one call towards each delayed write and applies those
// that are due; m.mu is held.
func (m *Memory) applyLateWrites() {
	var remaining []lateWrite
	for _, w := range m.lateWrites {
		if w.callsLeft--; w.callsLeft > 0 {
			remaining = append(remaining, w)
			continue
		}
		w.apply()
	}
	m.lateWrites = remaining
}

// loseResponse returns err, or ErrUnknown if the response is to be lost; m.mu is
// held.
func (m *Memory) loseResponse(err error) error {
	if m.switches.LoseResponses == 0 {
		return err
	}
	m.switches.LoseResponses--
	return ErrUnknown.New("response lost")
}

// notifyWatchers sends a change to the matching watches; m.mu is held.
func (m *Memory) notifyWatchers(o Object) {
	if m.switches.WatchSkip > 0 {
		m.switches.WatchSkip--
		return
	}
	copies := 1
	if m.switches.WatchRepeat {
		copies = 2
	}
	for w := range m.watchers {
		if !strings.HasPrefix(o.Key, w.prefix) {
			continue
		}
		for range copies {
			select {
			case w.events <- o:
			default:
				m.breakWatchLocked(w)
			}
		}
	}
}

// breakWatchLocked ends a watch with an error; m.mu is held.
func (m *Memory) breakWatchLocked(w *watcher) {
	select {
	case <-w.broken:
	default:
		close(w.broken)
	}
}

// endWatch removes a watch and adds the time it was open to the counts.
func (m *Memory) endWatch(w *watcher) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.watchers, w)
	m.counts.WatchSeconds += time.Since(w.opened).Seconds()
}

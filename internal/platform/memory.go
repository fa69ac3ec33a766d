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

// watchBacklog is how many changes a slow watcher may lag behind before its
// watch breaks.
const watchBacklog = 1024

// lateCalls is after how many further calls a late request arrives.
const lateCalls = 3

// Switches make the in-memory store misbehave as the real platform may.
type Switches struct {
	// Down refuses every call and breaks every watch.
	Down bool `json:"down"`
	// SlowMs delays each call, in milliseconds.
	SlowMs int `json:"slow_ms"`
	// LoseAnswers is how many of the next writes take effect without an
	// answer.
	LoseAnswers int `json:"lose_answers"`
	// LoseRequests is how many of the next writes are dropped without effect
	// and without an answer.
	LoseRequests int `json:"lose_requests"`
	// LateRequests is how many of the next writes get no answer and arrive only
	// after three further calls of any kind.
	LateRequests int `json:"late_requests"`
	// WatchSkip is how many of the next changes no watch reports.
	WatchSkip int `json:"watch_skip"`
	// WatchRepeat reports each change twice.
	WatchRepeat bool `json:"watch_repeat"`
}

// Counts is the number of calls by kind since the store was made.
type Counts struct {
	Get    uint64 `json:"get"`
	List   uint64 `json:"list"`
	Put    uint64 `json:"put"`
	Delete uint64 `json:"delete"`
	// WatchOpened is the number of watches that were opened.
	WatchOpened uint64 `json:"watch_opened"`
	// WatchWaiting is the number of watches open now; the platform counts each
	// as one call in progress.
	WatchWaiting uint64 `json:"watch_waiting"`
	// WatchSeconds is the time, in seconds, that all watches together have
	// waited: a waiting watch counts as one call a second.
	WatchSeconds float64 `json:"watch_seconds"`
}

// Memory is a Store in memory, for tests and the stand-in program.
type Memory struct {
	mu       sync.Mutex
	objects  map[string]Object
	version  uint64
	switches Switches
	counts   Counts
	watchers map[*watcher]struct{}
	late     []lateWrite
}

// lateWrite is a write that has yet to arrive.
type lateWrite struct {
	// calls is how many further calls come first.
	calls int
	apply func()
}

// watcher is one open watch.
type watcher struct {
	prefix string
	opened time.Time
	events chan Object
	broken chan struct{}
}

var _ Store = (*Memory)(nil)

// NewMemory returns an empty store with all switches off.
func NewMemory() *Memory {
	return &Memory{
		objects:  map[string]Object{},
		watchers: map[*watcher]struct{}{},
	}
}

// Set replaces the switches. Switching Down on breaks the open watches.
func (m *Memory) Set(s Switches) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.switches = s
	if !s.Down {
		return
	}
	for w := range m.watchers {
		m.breakWatch(w)
	}
}

// Switches returns the present switches; counters of calls yet to be lost or
// skipped have run down by what was used.
func (m *Memory) Switches() Switches {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.switches
}

// Counts returns the calls so far.
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
	if err := m.begin(ctx, &m.counts.Get); err != nil {
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
	if err := m.begin(ctx, &m.counts.List); err != nil {
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
	if err := m.begin(ctx, &m.counts.Put); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge.New("%s: %d bytes, at most %d are stored", key, len(value), MaxValueBytes)
	}
	apply := func() (uint64, error) { return m.put(key, expected, value) }
	if m.lost(func() { _, _ = apply() }) {
		return 0, ErrUnknown.New("put %s: request lost", key)
	}
	version, err := apply()
	return version, m.answered(err)
}

// put makes the change; m.mu is held.
func (m *Memory) put(key string, expected uint64, value []byte) (uint64, error) {
	present := m.objects[key].Version
	if present != expected {
		return 0, ErrConflict.New("%s: expected version %d, present version %d", key, expected, present)
	}
	m.version++
	o := Object{Key: key, Version: m.version, Value: append([]byte{}, value...)}
	m.objects[key] = o
	m.report(o)
	return o.Version, nil
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, key string, expected uint64) error {
	if err := m.begin(ctx, &m.counts.Delete); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	apply := func() error { return m.remove(key, expected) }
	if m.lost(func() { _ = apply() }) {
		return ErrUnknown.New("delete %s: request lost", key)
	}
	return m.answered(apply())
}

// remove makes the change; m.mu is held.
func (m *Memory) remove(key string, expected uint64) error {
	o, ok := m.objects[key]
	if !ok {
		return ErrNotFound.New("%s", key)
	}
	if o.Version != expected {
		return ErrConflict.New("%s: expected version %d, present version %d", key, expected, o.Version)
	}
	delete(m.objects, key)
	m.version++
	m.report(Object{Key: key, Version: m.version})
	return nil
}

// Watch implements Store. A deletion is reported as an object without a value.
func (m *Memory) Watch(ctx context.Context, prefix string, ready func(), fn func(Object)) error {
	if err := m.begin(ctx, &m.counts.WatchOpened); err != nil {
		return err
	}
	w := &watcher{
		prefix: prefix,
		opened: time.Now(),
		events: make(chan Object, watchBacklog),
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

// begin counts a call, and delays or refuses it as the switches say.
func (m *Memory) begin(ctx context.Context, count *uint64) error {
	m.mu.Lock()
	*count++
	m.arrive()
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

// lost reports whether this write gets no answer because its request is dropped
// or late; m.mu is held.
func (m *Memory) lost(apply func()) bool {
	switch {
	case m.switches.LoseRequests > 0:
		m.switches.LoseRequests--
		return true
	case m.switches.LateRequests > 0:
		m.switches.LateRequests--
		m.late = append(m.late, lateWrite{calls: lateCalls, apply: apply})
		return true
	}
	return false
}

// arrive lets the late writes take effect whose time has come; m.mu is held.
func (m *Memory) arrive() {
	var waiting []lateWrite
	for _, w := range m.late {
		if w.calls--; w.calls > 0 {
			waiting = append(waiting, w)
			continue
		}
		w.apply()
	}
	m.late = waiting
}

// answered returns err, or ErrUnknown if the answer is to be lost.
func (m *Memory) answered(err error) error {
	if m.switches.LoseAnswers == 0 {
		return err
	}
	m.switches.LoseAnswers--
	return ErrUnknown.New("answer lost")
}

// report hands a change to the watches; m.mu is held.
func (m *Memory) report(o Object) {
	if m.switches.WatchSkip > 0 {
		m.switches.WatchSkip--
		return
	}
	times := 1
	if m.switches.WatchRepeat {
		times = 2
	}
	for w := range m.watchers {
		if !strings.HasPrefix(o.Key, w.prefix) {
			continue
		}
		for range times {
			select {
			case w.events <- o:
			default:
				m.breakWatch(w)
			}
		}
	}
}

// breakWatch ends a watch with an error; m.mu is held.
func (m *Memory) breakWatch(w *watcher) {
	select {
	case <-w.broken:
	default:
		close(w.broken)
	}
}

// endWatch forgets a watch and adds its waiting time to the counts.
func (m *Memory) endWatch(w *watcher) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.watchers, w)
	m.counts.WatchSeconds += time.Since(w.opened).Seconds()
}

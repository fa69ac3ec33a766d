// Package bodymem gives a process's bodies their memory out of one budget, and carries
// the user of that memory in the context of a request.
package bodymem

import (
	"context"
	"errors"
	"math"
	"runtime"
	"sync"
	"time"

	"fulmarhinge/internal/membudget"
)

var (
	// ErrExhausted means that the memory was not free in time.
	ErrExhausted = errors.New("no memory for a large body")
	// ErrTooLarge means that the body does not fit the budget even alone.
	ErrTooLarge = errors.New("the body is larger than the memory for bodies")
)

const (
	// recheckInterval is how often a waiting holder looks for others that have stalled.
	recheckInterval = 100 * time.Millisecond
	// maxEvictionWait bounds how long a request that is not running yet waits for evicted
	// holders to close, which takes a few ms.
	maxEvictionWait = 500 * time.Millisecond
	// RetryAfter is when memory is expected to be free again at the latest: holders that
	// have stalled can be evicted by then.
	RetryAfter = membudget.MinStall
	// garbageDivisor is the part of the pool that may be garbage. The runtime lets its
	// heap grow while it collects: with buffers of 64 MiB by more than half of a VM's
	// memory (158 of 184 MB were resident after three of them).
	garbageDivisor = 4
)

// Pool is the memory for the bodies of one process.
type Pool struct {
	mu     sync.Mutex
	budget *membudget.Budget
	// freed is closed when bytes come free while holders wait for them.
	freed   chan struct{}
	waiting int
	// garbage is what was given back since the last collection by this pool; the runtime
	// may have collected some of it.
	garbage    int64
	collecting sync.Mutex
}

// New returns a pool of limit bytes.
func New(limit int64) *Pool {
	return &Pool{budget: membudget.New(limit), freed: make(chan struct{})}
}

// Limit returns the size of the pool in bytes.
func (p *Pool) Limit() int64 { return p.budget.Limit() }

// MaxLarge returns the most bytes that one holder can have.
func (p *Pool) MaxLarge() int64 { return p.budget.MaxLarge() }

// MaxLarge returns the most bytes that the holder can have.
func (h *Holder) MaxLarge() int64 {
	if h == nil {
		return math.MaxInt64
	}
	return h.pool.MaxLarge()
}

// Used returns the bytes that are taken.
func (p *Pool) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Used()
}

// Evictions returns the number of holders that were evicted.
func (p *Pool) Evictions() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Evictions()
}

// Holder is the memory of one request. Its methods may be called on nil, which has no
// limit.
type Holder struct {
	pool   *Pool
	holder *membudget.Holder
}

// Open returns a holder without bytes. If evict is not nil, the holder may be evicted while
// it is Receiving or Sending: evict then ends its connection, and must not block.
func (p *Pool) Open(phase membudget.Phase, evict func()) *Holder {
	if p == nil {
		return nil
	}
	return &Holder{pool: p, holder: p.budget.Open(time.Now(), phase, evict)}
}

// TryAcquire takes n bytes for a request that has not begun to run. It waits only for the
// end of holders that are evicted for it.
func (h *Holder) TryAcquire(ctx context.Context, n int64) error {
	return h.acquire(ctx, n, false)
}

// Acquire takes n bytes, and waits for them until ctx ends.
func (h *Holder) Acquire(ctx context.Context, n int64) error { return h.acquire(ctx, n, true) }

func (h *Holder) acquire(ctx context.Context, n int64, patient bool) error {
	if h == nil {
		return nil
	}
	for began := time.Now(); ; {
		verdict, freed := h.grow(n)
		switch {
		case verdict == membudget.Granted:
			h.pool.collect()
			return nil
		case verdict == membudget.TooLarge:
			return ErrTooLarge
		case verdict == membudget.Evicted,
			!patient && (verdict == membudget.Exhausted || time.Since(began) > maxEvictionWait):
			return ErrExhausted
		}
		if !h.pool.wait(ctx, freed) {
			return ErrExhausted
		}
	}
}

// collect frees what was given back, if that is a large part of the pool. Others that take
// memory meanwhile wait for it.
func (p *Pool) collect() {
	if !p.hasGarbage() {
		return
	}
	p.collecting.Lock()
	defer p.collecting.Unlock()
	if !p.hasGarbage() {
		return
	}
	p.mu.Lock()
	collected := p.garbage
	p.mu.Unlock()
	runtime.GC()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.garbage -= collected
}

func (p *Pool) hasGarbage() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.garbage >= p.budget.Limit()/garbageDivisor
}

// wait waits until bytes have come free or others may have stalled. It reports false if ctx
// ends first. Bytes that came free just before are noticed after recheckInterval.
func (p *Pool) wait(ctx context.Context, freed <-chan struct{}) bool {
	timer := time.NewTimer(recheckInterval)
	defer timer.Stop()
	p.addWaiting(1)
	defer p.addWaiting(-1)
	select {
	case <-freed:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (h *Holder) grow(n int64) (membudget.Verdict, <-chan struct{}) {
	h.pool.mu.Lock()
	verdict, ends := h.pool.budget.Grow(h.holder, time.Now(), n)
	freed := h.pool.freed
	h.pool.mu.Unlock()
	for _, end := range ends {
		end()
	}
	return verdict, freed
}

// Release gives n bytes back.
func (h *Holder) Release(n int64) {
	if h == nil || n <= 0 {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	before := h.pool.budget.Used()
	h.pool.budget.Shrink(h.holder, n)
	h.pool.garbage += before - h.pool.budget.Used()
	h.pool.notify()
}

// Close gives all bytes back.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	before := h.pool.budget.Used()
	h.pool.budget.Close(h.holder)
	h.pool.garbage += before - h.pool.budget.Used()
	h.pool.notify()
}

func (p *Pool) addWaiting(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting += n
}

// notify wakes the waiting holders. The caller holds mu.
func (p *Pool) notify() {
	if p.waiting == 0 {
		return
	}
	close(p.freed)
	p.freed = make(chan struct{})
}

// Progress records that the request got or sent a good part of its bytes.
func (h *Holder) Progress() {
	if h == nil {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.pool.budget.Progress(h.holder, time.Now())
}

// SetPhase changes the phase. It reports false if the holder was evicted before.
func (h *Holder) SetPhase(p membudget.Phase) bool {
	if h == nil {
		return true
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	return h.pool.budget.SetPhase(h.holder, time.Now(), p)
}

type contextKey struct{}

// WithHolder returns a context for the request whose memory is the holder's.
func WithHolder(ctx context.Context, h *Holder) context.Context {
	return context.WithValue(ctx, contextKey{}, h)
}

// HolderOf returns the holder of a context, nil if it has none.
func HolderOf(ctx context.Context) *Holder {
	h, _ := ctx.Value(contextKey{}).(*Holder)
	return h
}

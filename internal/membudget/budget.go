// Package membudget decides who may use how much of a process's memory for bodies. It has
// no clock, no goroutine and no lock: callers pass the time and exclude each other.
package membudget

import (
	"slices"
	"time"
)

const (
	// SmallBytes is the size in bytes up to which a holder may use the reserve.
	SmallBytes = 64 << 10
	// reserveDivisor is the part of the budget that only small holders may use: 1/8 leaves
	// room for one body of 64 MiB, without a stated length, on a VM of 184 MB.
	reserveDivisor = 8
	// MinStall is how long a holder that receives must have been without progress before it
	// can be evicted: longer than the stalls of a loaded link or node.
	MinStall = time.Second
	// MinSendStall is the same for one that sends. It is longer, as its request has run.
	MinSendStall = 3 * time.Second
)

// Phase is what a holder does.
type Phase int

// The phases. Receiving holders are evicted before Sending ones, Running ones never.
const (
	// Running holders wait for the node or its backend server.
	Running Phase = iota
	// Receiving holders wait for bytes of a request.
	Receiving
	// Sending holders wait for the reader of a response.
	Sending
)

// Verdict is the result of Grow.
type Verdict int

// The verdicts.
const (
	// Granted means that the bytes are taken.
	Granted Verdict = iota
	// Wait means that enough bytes come free as soon as evicted holders close.
	Wait
	// Exhausted means that the bytes are not free and no holder can be evicted now.
	Exhausted
	// TooLarge means that the holder would exceed the budget even alone.
	TooLarge
	// Evicted means that the holder itself was evicted.
	Evicted
)

// Budget is the memory of one process.
type Budget struct {
	limit, reserve int64
	used, evicting int64
	holders        map[*Holder]struct{}
	evictions      uint64
}

// Holder is one user of the budget, such as a request with its bodies.
type Holder struct {
	bytes    int64
	phase    Phase
	progress time.Time
	evicted  bool
	evict    func()
}

// New returns a budget of limit bytes, a part of which is the reserve.
func New(limit int64) *Budget {
	return &Budget{limit: limit, reserve: limit / reserveDivisor, holders: map[*Holder]struct{}{}}
}

// Limit returns the budget in bytes, and Used the bytes that are taken.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that are taken, by evicted holders too until they close.
func (b *Budget) Used() int64 { return b.used }

// Evictions returns the number of holders that were evicted.
func (b *Budget) Evictions() uint64 { return b.evictions }

// MaxLarge returns the most bytes that one holder can have.
func (b *Budget) MaxLarge() int64 { return b.limit - b.reserve }

// Open adds a holder without bytes. evict is called by the user of Grow once the holder is
// evicted; nil if it cannot be.
func (b *Budget) Open(now time.Time, phase Phase, evict func()) *Holder {
	return &Holder{phase: phase, progress: now, evict: evict}
}

// Progress records that a holder got or sent a good part of its bytes.
func (b *Budget) Progress(h *Holder, now time.Time) { h.progress = now }

// SetPhase changes a holder's phase, which counts as progress. It reports false if the
// holder was evicted before.
func (b *Budget) SetPhase(h *Holder, now time.Time, p Phase) bool {
	h.phase, h.progress = p, now
	return !h.evicted
}

// Grow takes n more bytes for a holder, or states why it cannot. The returned functions
// end holders that were evicted for it; the caller calls them.
func (b *Budget) Grow(h *Holder, now time.Time, n int64) (Verdict, []func()) {
	if h.evicted {
		return Evicted, nil
	}
	limit := b.limit
	if h.bytes+n > SmallBytes {
		limit -= b.reserve
	}
	if h.bytes+n > limit {
		return TooLarge, nil
	}
	missing := b.used + n - limit
	if missing <= 0 {
		b.used += n
		h.bytes += n
		b.holders[h] = struct{}{}
		return Granted, nil
	}
	missing -= b.evicting
	if missing <= 0 {
		return Wait, nil
	}
	victims := b.victims(h, now, missing)
	if victims == nil {
		return Exhausted, nil
	}
	ends := make([]func(), 0, len(victims))
	for _, v := range victims {
		v.evicted = true
		b.evicting += v.bytes
		b.evictions++
		ends = append(ends, v.evict)
	}
	return Wait, ends
}

// victims returns the holders whose eviction frees the missing bytes, those that have been
// without progress for longest first; nil if all that can be evicted are not enough.
func (b *Budget) victims(except *Holder, now time.Time, missing int64) []*Holder {
	var stalled []*Holder
	for h := range b.holders {
		if h != except && !h.evicted && h.evict != nil && h.stalled(now) {
			stalled = append(stalled, h)
		}
	}
	slices.SortFunc(stalled, func(x, y *Holder) int {
		if x.phase != y.phase {
			return int(x.phase) - int(y.phase)
		}
		return x.progress.Compare(y.progress)
	})
	for i, h := range stalled {
		if missing -= h.bytes; missing <= 0 {
			return stalled[:i+1]
		}
	}
	return nil
}

func (h *Holder) stalled(now time.Time) bool {
	switch h.phase {
	case Receiving:
		return now.Sub(h.progress) >= MinStall
	case Sending:
		return now.Sub(h.progress) >= MinSendStall
	default:
		return false
	}
}

// Shrink gives n bytes of a holder back.
func (b *Budget) Shrink(h *Holder, n int64) {
	n = min(n, h.bytes)
	h.bytes -= n
	b.used -= n
	if h.evicted {
		b.evicting -= n
	}
}

// Close gives all bytes of a holder back.
func (b *Budget) Close(h *Holder) {
	b.Shrink(h, h.bytes)
	delete(b.holders, h)
}

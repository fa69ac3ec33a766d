// Package slowstart keeps the rate of requests to a backend server within what it
// tolerates while it is cold. It reads no clock and is not safe for concurrent use.
package slowstart

import (
	"slices"
	"time"
)

const (
	// windowLength is the length of the sliding window of the rule.
	windowLength = time.Second
	// maxDeliveryMargin bounds the margin of spacing.
	maxDeliveryMargin = 50 * time.Millisecond
)

// spacing returns how long after its write a place stays taken. A server may read a
// request some ms after it was written, and the next ones at once: without a margin, two
// full windows of requests would then be less than a second apart. The margin costs one
// place per second.
func spacing(places int) time.Duration {
	if places < 2 {
		return windowLength + maxDeliveryMargin
	}
	return windowLength + min(windowLength/time.Duration(places-1), maxDeliveryMargin)
}

// Place is the place of one request in the window.
type Place struct {
	// writtenAt is when the request was written, zero until then.
	writtenAt time.Time
	dropped   bool
}

// window holds the requests that were written within the last second, and those that
// are about to be written.
type window struct {
	// pending counts the places whose requests have not been written.
	pending int
	// written is sorted by the time of the write.
	written []*Place
}

func (w *window) take() *Place {
	w.pending++
	return &Place{}
}

// write starts the time after which a place is free again.
func (w *window) write(p *Place, at time.Time) {
	if p.dropped || !p.writtenAt.IsZero() {
		return
	}
	w.pending--
	p.writtenAt = at
	// Concurrent writes are recorded nearly in order.
	i := len(w.written)
	for i > 0 && w.written[i-1].writtenAt.After(at) {
		i--
	}
	w.written = slices.Insert(w.written, i, p)
}

// drop frees a place whose request does not count.
func (w *window) drop(p *Place) {
	if p.dropped {
		return
	}
	p.dropped = true
	if p.writtenAt.IsZero() {
		w.pending--
		return
	}
	if i := slices.Index(w.written, p); i >= 0 {
		w.written = slices.Delete(w.written, i, i+1)
	}
}

// prune removes the places that are free at the given time.
func (w *window) prune(now time.Time, held time.Duration) {
	n := 0
	for n < len(w.written) && !w.written[n].writtenAt.Add(held).After(now) {
		n++
	}
	if n > 0 {
		w.written = slices.Delete(w.written, 0, n)
	}
}

// wait returns how long another request must wait for one of the places if n others
// are given places before it. Places that are pending count as written now, so that the
// result is never too long.
func (w *window) wait(now time.Time, places, n int) time.Duration {
	held := spacing(places)
	rounds := time.Duration(n / places)
	live := w.live(now, held)
	excess := w.pending + live + n%places + 1 - places
	switch {
	case excess <= 0:
		return rounds * held
	case excess <= live:
		return w.written[len(w.written)-live+excess-1].writtenAt.Add(held).Sub(now) + rounds*held
	}
	return (rounds + 1) * held
}

// live returns the number of written places that are not free yet.
func (w *window) live(now time.Time, held time.Duration) int {
	i := 0
	for i < len(w.written) && !w.written[i].writtenAt.Add(held).After(now) {
		i++
	}
	return len(w.written) - i
}

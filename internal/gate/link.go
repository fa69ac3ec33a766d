package gate

import (
	"context"
	"sync"
	"time"
)

const (
	// bulkBandwidthShare is the share of the bandwidth of the VM's link that
	// large responses may use. If they used all of it, responses queued behind
	// them on the link would be late.
	bulkBandwidthShare = 0.75
	// initialBulkBytes is the size assumed for a large response before the
	// first one.
	initialBulkBytes = 64 << 10
	// bulkSizeWeight is the weight of the newest size in the moving average.
	bulkSizeWeight = 0.1
	bitsPerMbit    = 1e6
)

// link paces the large responses that leave the VM. On a link of low bandwidth,
// large responses sent without pacing would delay every small response behind
// them.
type link struct {
	mu sync.Mutex
	// bytesPerSecond is 0 for a link without a limit.
	bytesPerSecond float64
	// freeAt is when all bytes passed to the link so far will have been sent.
	freeAt time.Time
	// expectedBytes is the estimated size of the responses that are not ready
	// yet; queuedBytes is the size of those that are ready and not yet passed
	// to the link.
	expectedBytes float64
	queuedBytes   float64
	// sending is held by the one response that is being sent. Responses sent
	// one at a time are complete earlier, on average, than if they shared the
	// link.
	sending   chan struct{}
	meanBytes float64
}

func newLink(mbitPerSecond float64) *link {
	return &link{
		bytesPerSecond: mbitPerSecond * bitsPerMbit / 8 * bulkBandwidthShare,
		meanBytes:      initialBulkBytes,
		sending:        make(chan struct{}, 1),
	}
}

// send calls f, which sends a response of n bytes and calls pause before each part, once no
// other response is being sent. What f leaves out, as its caller has left, is not queued any
// more.
func (l *link) send(ctx context.Context, n int, f func(pause func(n int) error) error) error {
	left := n
	defer func() { l.dropQueued(left) }()
	pause := func(n int) error {
		left -= n
		return l.pace(ctx, n)
	}
	if l.bytesPerSecond <= 0 {
		return f(pause)
	}
	select {
	case l.sending <- struct{}{}:
		defer func() { <-l.sending }()
		return f(pause)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// dropQueued takes n bytes that will not be sent off the queue.
func (l *link) dropQueued(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queuedBytes -= float64(n)
}

// predictedWait returns how long another large response is expected to take
// until it has been sent, its own transmission included.
func (l *link) predictedWait(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.predictedWaitLocked(now)
}

func (l *link) predictedWaitLocked(now time.Time) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	return max(0, l.freeAt.Sub(now)) +
		time.Duration((l.expectedBytes+l.queuedBytes+l.meanBytes)/l.bytesPerSecond*float64(time.Second))
}

// reserve accounts for a response that is being computed. It returns false if
// the response would take longer than limit to be sent.
func (l *link) reserve(now time.Time, limit time.Duration) (reserved float64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.predictedWaitLocked(now) > limit {
		return 0, false
	}
	l.expectedBytes += l.meanBytes
	return l.meanBytes, true
}

// replaceReservation replaces the reservation of a response by its actual size
// n in bytes, 0 if there is nothing to send.
func (l *link) replaceReservation(reserved float64, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expectedBytes -= reserved
	if n > 0 {
		l.meanBytes += bulkSizeWeight * (float64(n) - l.meanBytes)
		l.queuedBytes += float64(n)
	}
}

// pace waits until the next n bytes of a response may be sent, or ctx ends.
func (l *link) pace(ctx context.Context, n int) error {
	l.mu.Lock()
	now := time.Now()
	l.queuedBytes -= float64(n)
	wait := time.Duration(0)
	if l.bytesPerSecond > 0 {
		if l.freeAt.Before(now) {
			l.freeAt = now
		}
		wait = l.freeAt.Sub(now)
		l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	}
	l.mu.Unlock()
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

package gate

import (
	"context"
	"sync"
	"time"
)

const (
	// minBulkShare is the share of the bandwidth of the VM's link that large responses
	// may use beside others. If they used all of it, responses queued behind them on the
	// link would be late.
	minBulkShare = 0.75
	// maxBulkShare is that share while the gate sends hardly any other responses. The
	// rest is for the traffic between nodes, which the gate does not see.
	maxBulkShare = 0.9
	// otherWeight is how much of the bandwidth is left free for other responses, as a
	// multiple of what they used.
	otherWeight = 2
	// shareWindow is the window over which other responses are counted.
	shareWindow = time.Second
	// initialBulkBytes is the size assumed for a large response before the
	// first one.
	initialBulkBytes = 64 << 10
	// bulkSizeWeight is the weight of the newest size in the moving average.
	bulkSizeWeight = 0.1
	// maxBulkClasses is the number of classes at which all sizes are reset.
	maxBulkClasses = 256
	bitsPerMbit    = 1e6
)

// link paces the large responses that leave the VM. On a link of low bandwidth,
// large responses sent without pacing would delay every small response behind
// them.
type link struct {
	mu sync.Mutex
	// linkBytesPerSecond is the bandwidth of the VM's link, 0 without a limit, and
	// bytesPerSecond the part of it for large responses.
	linkBytesPerSecond, bytesPerSecond float64
	// otherBytes counts the bytes of other responses in the window that began at
	// windowStart.
	otherBytes  float64
	windowStart time.Time
	// freeAt is when all bytes passed to the link so far will have been sent.
	freeAt time.Time
	// expectedBytes is the estimated size of the responses that are not ready
	// yet; queuedBytes is the size of those that are ready and not yet passed
	// to the link.
	expectedBytes float64
	queuedBytes   float64
	// senders orders the responses that are ready. Responses sent one at a time are
	// complete earlier, on average, than if they shared the link.
	senders sendOrder
	// meanBytes is the moving average of the sizes by class.
	meanBytes map[string]float64
}

func newLink(mbitPerSecond float64) *link {
	bandwidth := mbitPerSecond * bitsPerMbit / 8
	return &link{
		linkBytesPerSecond: bandwidth, bytesPerSecond: bandwidth * minBulkShare, meanBytes: map[string]float64{},
	}
}

// addOther counts n bytes of a response that is not paced.
func (l *link) addOther(now time.Time, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	l.otherBytes += float64(n)
}

// rotate sets the share of large responses at the end of a window.
func (l *link) rotate(now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	elapsed := now.Sub(l.windowStart)
	if elapsed < shareWindow || l.linkBytesPerSecond <= 0 {
		return
	}
	other := l.otherBytes / elapsed.Seconds() / l.linkBytesPerSecond
	l.bytesPerSecond = l.linkBytesPerSecond * min(maxBulkShare, max(minBulkShare, maxBulkShare-otherWeight*other))
	l.otherBytes, l.windowStart = 0, now
}

// expected returns the expected size of a large response of a class.
func (l *link) expected(class string) float64 {
	if n, ok := l.meanBytes[class]; ok {
		return n
	}
	return initialBulkBytes
}

// send calls f, which sends a response of n bytes and calls pause before each part, once no
// other response is being sent. Responses that can be complete by their targets go first.
// What f leaves out, as its caller has left, is not queued any more.
func (l *link) send(ctx context.Context, n int, target time.Time, f func(pause func(n int) error) error) error {
	left := n
	defer func() { l.dropQueued(left) }()
	pause := func(n int) error {
		left -= n
		return l.pace(ctx, n)
	}
	if l.rate() <= 0 {
		return f(pause)
	}
	if !l.senders.await(ctx, time.Now(), target, time.Duration(float64(n)/l.rate()*float64(time.Second))) {
		return ctx.Err()
	}
	defer func() { l.senders.done(time.Now()) }()
	return f(pause)
}

func (l *link) rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytesPerSecond
}

// dropQueued takes n bytes that will not be sent off the queue.
func (l *link) dropQueued(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queuedBytes -= float64(n)
}

// predictedWait returns how long another large response is expected to take
// until it has been sent, its own transmission included.
func (l *link) predictedWait(now time.Time, class string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.predictedWaitLocked(now, class)
}

func (l *link) predictedWaitLocked(now time.Time, class string) time.Duration {
	if l.bytesPerSecond <= 0 {
		return 0
	}
	return max(0, l.freeAt.Sub(now)) +
		time.Duration((l.expectedBytes+l.queuedBytes+l.expected(class))/l.bytesPerSecond*float64(time.Second))
}

// reserve accounts for a response that is being computed. It returns false if
// the response would take longer than limit to be sent.
func (l *link) reserve(now time.Time, limit time.Duration, class string) (reserved float64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate(now)
	if l.predictedWaitLocked(now, class) > limit {
		return 0, false
	}
	reserved = l.expected(class)
	l.expectedBytes += reserved
	return reserved, true
}

// replaceReservation replaces the reservation of a response by its actual size
// n in bytes, 0 if there is nothing to send.
func (l *link) replaceReservation(reserved float64, n int, class string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expectedBytes -= reserved
	if n > 0 {
		mean, known := l.meanBytes[class]
		if !known {
			if len(l.meanBytes) >= maxBulkClasses {
				clear(l.meanBytes)
			}
			mean = float64(n)
		}
		l.meanBytes[class] = mean + bulkSizeWeight*(float64(n)-mean)
		l.queuedBytes += float64(n)
	}
}

// pace waits until the next n bytes of a response may be sent, or ctx ends.
func (l *link) pace(ctx context.Context, n int) error {
	wait := l.pass(time.Now(), n)
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

// pass takes n bytes off the queue and returns how long to wait before they may be sent.
func (l *link) pass(now time.Time, n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queuedBytes -= float64(n)
	if l.bytesPerSecond <= 0 {
		return 0
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	wait := l.freeAt.Sub(now)
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	return wait
}

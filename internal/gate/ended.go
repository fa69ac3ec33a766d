package gate

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/quarantine"
)

const (
	// endedWindow is how long before a server's end is known a request may have been
	// broken by it.
	endedWindow = 2 * time.Second
	// breakGatherTime is how long the gate waits after a broken connection before it
	// looks whether the server has ended: all its connections break then.
	breakGatherTime = 20 * time.Millisecond
	// endCheckTimeout bounds that look; the server is on the same VM.
	endCheckTimeout = 100 * time.Millisecond
	// maxBrokenRequests bounds the requests that are kept until the server's end is
	// known or it has answered.
	maxBrokenRequests = 256
)

var serversEnded = metrics.NewCounter("fulmarhinge_backend_ended_with_requests_total")

// brokenRequest is a request that the server has not answered.
type brokenRequest struct {
	id       string
	run      quarantine.Run
	sentAt   time.Time
	brokenAt time.Time
	// reset is true if its connection broke, and false if this side gave it up.
	reset bool
}

// brokenRequests holds the requests that an instance of the server has not answered.
// If the instance ends, one of them may be the cause.
type brokenRequests struct {
	mu       sync.Mutex
	instance fleet.Instance
	list     []brokenRequest
	// answeredAt is when the last request that was answered had been sent.
	answeredAt time.Time
	// checked is closed once it is known whether the server has ended; nil if nobody
	// is looking.
	checked chan struct{}
}

// add records a request that was not answered. If its connection broke, it returns a
// channel that is closed once it is known whether the server has ended, and whether the
// caller is to look for that.
func (b *brokenRequests) add(instance fleet.Instance, r brokenRequest) (checked chan struct{}, check bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.instance != instance {
		b.instance, b.list = instance, nil
	}
	b.list = append(b.list, r)
	if n := len(b.list); n > maxBrokenRequests {
		b.list = append(b.list[:0], b.list[n-maxBrokenRequests:]...)
	}
	if !r.reset {
		return nil, false
	}
	check = b.checked == nil
	if check {
		b.checked = make(chan struct{})
	}
	return b.checked, check
}

// endCheck ends the look whether the server has ended.
func (b *brokenRequests) endCheck() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.checked)
	b.checked = nil
}

// answered records that the server answered a request that was sent at this time.
func (b *brokenRequests) answered(sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if sentAt.After(b.answeredAt) {
		b.answeredAt = sentAt
	}
}

// take returns the requests under which an instance has ended: those whose connections
// broke or, if it fell silent, those that were given up since it last answered.
func (b *brokenRequests) take(instance fleet.Instance, now time.Time) []brokenRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.instance != instance {
		return nil
	}
	var reset, silent []brokenRequest
	for _, r := range b.list {
		switch {
		case now.Sub(r.brokenAt) > endedWindow:
		case r.reset:
			reset = append(reset, r)
		case r.sentAt.After(b.answeredAt):
			silent = append(silent, r)
		}
	}
	b.list = nil
	if len(reset) > 0 {
		return reset
	}
	return silent
}

// requestBroken records that the server has not answered a request. If its connection
// broke, it returns once it is known whether the server has ended.
func (r *request) requestBroken(ctx context.Context, s *Server, sentAt time.Time, reset bool) {
	g := r.gate
	checked, check := g.broken.add(s.Instance, brokenRequest{
		id: r.head.GetId(), run: quarantine.Run{Fingerprint: r.fingerprint(), Probe: r.probe}, sentAt: sentAt, brokenAt: time.Now(), reset: reset,
	})
	if check {
		go g.checkEnded(s.Instance)
	}
	if checked == nil {
		return
	}
	select {
	case <-checked:
	case <-ctx.Done():
	}
}

// checkEnded looks whether the server has ended, which a refused connection shows. A server
// that leaves may refuse connections while it still works.
func (g *Gate) checkEnded(instance fleet.Instance) {
	defer g.broken.endCheck()
	time.Sleep(breakGatherTime)
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	s := g.server.Load()
	if s == nil || s.Instance != instance || !s.Ready {
		return
	}
	if g.client.Refuses(ctx) {
		g.ExpectCold()
		g.serverEnded(instance)
		return
	}
	go g.checkRestarted()
}

// serverEnded handles the end of an instance of the server.
func (g *Gate) serverEnded(instance fleet.Instance) {
	requests := g.broken.take(instance, time.Now())
	if len(requests) == 0 {
		return
	}
	serversEnded.Inc()
	ids, running := make([]string, len(requests)), make([]quarantine.Run, len(requests))
	for i, r := range requests {
		ids[i], running[i] = r.id, r.run
	}
	number := xxhash.Sum64String(instance.ID + "/" + strconv.FormatInt(instance.StartedMs, 10))
	suspects := g.suspects.ServerEnded(clock.Now(), number, running)
	ends := 0
	for _, e := range suspects {
		ends = max(ends, len(e.Ends))
	}
	g.log.Warn("backend server ended while it ran requests", "server", instance.ID, "born", instance.StartedMs, "requests", ids,
		"suspects", len(suspects), "ends", ends)
	if len(suspects) > 0 {
		g.onSuspects(suspects)
	}
}

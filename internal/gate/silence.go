package gate

import (
	"context"
	"sync"
	"time"

	"fulmarhinge/internal/result"
)

// A server may accept connections and read nothing for seconds. Requests sent to it
// meanwhile wait in its socket buffers, and when their callers leave, each slot that
// becomes free would send the next one after them. Once a request is cut before the
// server has answered anything sent as late, no further request is sent until the server
// answers a health check.

const (
	// silentServiceTimes is the time, in expected service times of a request, that the
	// server may leave it unanswered.
	silentServiceTimes = 4
	// silenceCheckTimeout bounds one health check of a silent server, and is what callers
	// are told to wait.
	silenceCheckTimeout = time.Second
)

// silence tracks whether the server answers.
type silence struct {
	mu         sync.Mutex
	answeredAt time.Time
	silent     bool
}

// answered records that the server answered something.
func (s *silence) answered(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt, s.silent = now, false
}

// cut records that a request which was sent at the given time was cut without an answer.
// It reports whether that makes the server silent.
func (s *silence) cut(now, sentAt time.Time, expected time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent || s.answeredAt.After(sentAt) || now.Sub(sentAt) < silentServiceTimes*expected {
		return false
	}
	s.silent = true
	return true
}

// isSilent reports whether the server is silent.
func (s *silence) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// SetHealthPath sets the path of the server's health check; empty if it has none.
func (g *Gate) SetHealthPath(path string) { g.healthPath.Store(&path) }

// requestCut handles a request that was cut without an answer.
func (g *Gate) requestCut(sentAt time.Time, expected time.Duration) {
	if !g.silence.cut(time.Now(), sentAt, expected) {
		return
	}
	g.log.Warn("backend server does not answer; requests are refused until it answers a health check",
		"sent_ms_ago", time.Since(sentAt).Milliseconds(), "expected_ms", expected.Milliseconds())
	go g.awaitAnswer()
}

// awaitAnswer checks a silent server's health until it answers anything.
func (g *Gate) awaitAnswer() {
	start := time.Now()
	for g.silence.isSilent() && g.server.Load() != nil {
		ctx, cancel := context.WithTimeout(context.Background(), silenceCheckTimeout)
		var err error
		path := g.healthPath.Load()
		switch {
		case g.zone.evacuated.Load():
			// The server of an evacuated zone is sent nothing, health checks included.
			<-ctx.Done()
			err = ctx.Err()
		case path != nil && *path != "":
			err = g.checkHealth(ctx, *path)
		default:
			// Without a health check, one request after the timeout shows it.
			<-ctx.Done()
		}
		cancel()
		if err == nil {
			break
		}
	}
	g.silence.answered(time.Now())
	g.log.Info("backend server is sent requests again", "after_ms", time.Since(start).Milliseconds())
}

// isCut reports whether a request with the outcome was given up while the server had not
// answered it.
func isCut(c result.Code) bool { return c == result.CancelledAfter || c == result.DeadlineAfter }

package main

import (
	"context"
	"io"
	"log"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarhinge/internal/clock"
	"fulmarhinge/standin/pattern"
	"fulmarhinge/standin/runlog"
)

// Headers of the backend server's own protocol.
const (
	headerWorkMs = "X-Work-Ms"
	// headerAttempt is the load generator's id of one attempt of a request.
	headerAttempt = "X-Attempt"
	headerShed    = "Fulmarhinge-Shed"
	headerFence   = "Fulmarhinge-Fence"
)

// coldStartSlowdown is the factor by which requests take longer during a cold start.
const coldStartSlowdown = 10

// server is the HTTP server that runs requests.
type server struct {
	opts      options
	started   time.Time
	runs      *runlog.Writer
	nextRun   atomic.Uint64
	busySlots atomic.Int64
	slots     chan struct{}
	fence     *fence
	switches  *switches
	load      loadHistory
}

func newServer(o options, runs *runlog.Writer) *server {
	s := &server{
		opts:     o,
		started:  time.Now(),
		runs:     runs,
		slots:    make(chan struct{}, o.slots),
		fence:    newFence(),
		switches: newSwitches(o.work),
	}
	go s.load.sampleLoop(func() float64 {
		return float64(s.busySlots.Load()) / float64(o.slots)
	})
	return s
}

func (s *server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/switch", s.switches.serveSwitch)
	mux.HandleFunc("GET /health", s.switches.serveHealth)
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("/", s.serveRequest)
	return mux
}

// serveRequest reads the whole request body, then runs the request on a slot.
func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	s.switches.waitWhileFrozen()
	g, err := parseGrant(r.Header, received)
	if err != nil {
		s.refuse(w, r, g, runlog.BadInput)
		return
	}
	if s.switches.shedding() {
		s.refuse(w, r, g, runlog.Shed)
		return
	}
	ctx := r.Context()
	if !g.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, g.deadline)
		defer cancel()
	}
	digest := xxhash.New()
	if _, err := io.Copy(digest, r.Body); err != nil {
		s.refuse(w, r, g, runlog.BadInput)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-ctx.Done():
		s.refuse(w, r, g, runlog.Expired)
		return
	}
	s.switches.waitWhileFrozen()
	if ctx.Err() != nil {
		s.refuse(w, r, g, runlog.Expired)
		return
	}
	// The fence is checked last, so that the server does not wait for anything
	// between the check and the run.
	if s.opts.checksFence && !s.fence.accept(g, clock.Now()) {
		s.refuse(w, r, g, runlog.Stale)
		return
	}
	s.run(ctx, w, r, g, pattern.Digest(digest.Sum64()))
}

// refuse rejects a request that has not run.
func (s *server) refuse(w http.ResponseWriter, r *http.Request, g grant, reason runlog.Outcome) {
	rec := s.newRecord(r, g, runlog.Refused)
	rec.Outcome = reason
	s.append(rec)
	status := http.StatusServiceUnavailable
	switch reason {
	case runlog.Stale:
		status = http.StatusConflict
		w.Header().Set(headerFence, "stale")
	case runlog.Shed:
		w.Header().Set(headerShed, "1")
	case runlog.Expired:
		status = http.StatusGatewayTimeout
	case runlog.BadInput:
		status = http.StatusBadRequest
	}
	http.Error(w, string(reason), status)
}

// run executes the request and sends the answer.
func (s *server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, g grant, digest string) {
	s.busySlots.Add(1)
	defer s.busySlots.Add(-1)
	rec := s.newRecord(r, g, runlog.Start)
	rec.Run = s.nextRun.Add(1)
	s.append(rec)
	rec.Event = runlog.End
	rec.Outcome = s.work(ctx, g, s.workTime(r))
	if rec.Outcome == runlog.Deadline {
		rec.At = time.Now().UnixNano()
		s.append(rec)
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	}
	if rec.Outcome == runlog.Stale {
		rec.At = time.Now().UnixNano()
		s.append(rec)
		panic(http.ErrAbortHandler)
	}
	if rec.Outcome == runlog.Done {
		rec.Outcome = s.answer(w, r, g, digest, &rec)
	}
	if rec.Outcome != runlog.Done {
		rec.At = time.Now().UnixNano()
	}
	s.append(rec)
}

// freezeThreshold is by how much a run must exceed its duration for the server to
// conclude that it was frozen during the run.
const freezeThreshold = 500 * time.Millisecond

// work waits for d or until ctx ends and returns the outcome. If the server was
// frozen, work returns only after the freeze; a server that checks fences then
// discards a run whose lease has expired.
func (s *server) work(ctx context.Context, g grant, d time.Duration) runlog.Outcome {
	began := clock.Now()
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	s.switches.waitWhileFrozen()
	now := clock.Now()
	if s.opts.checksFence && g.unit != "" && now.Sub(began) > d+freezeThreshold && now >= g.leaseUntil {
		return runlog.Stale
	}
	switch ctx.Err() {
	case nil:
		return runlog.Done
	case context.DeadlineExceeded:
		return runlog.Deadline
	default:
		return runlog.Cancelled
	}
}

// answer sends the body. It takes the end time of the run before it sends the last
// byte, because the next owner may start as soon as a node has received that byte.
func (s *server) answer(w http.ResponseWriter, r *http.Request, g grant, digest string, rec *runlog.Record) runlog.Outcome {
	size, _ := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
	head := pattern.Head{
		ClientID:   r.URL.Query().Get("id"),
		RequestID:  r.Header.Get(headerRequestID),
		Key:        g.key,
		Server:     s.opts.server,
		BodyDigest: digest,
		Length:     size,
	}
	line := head.Line()
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(int64(len(line))+size, 10))
	rec.At = time.Now().UnixNano()
	if _, err := w.Write(line); err != nil {
		return runlog.Cancelled
	}
	body := pattern.NewReader(head.ClientID, size)
	chunk := make([]byte, 32<<10)
	for {
		n, err := body.Read(chunk)
		if err != nil {
			return runlog.Done
		}
		rec.At = time.Now().UnixNano()
		if _, err := w.Write(chunk[:n]); err != nil {
			return runlog.Cancelled
		}
	}
}

// workTime returns the duration of the request: the one in its header if set,
// else the configured one.
func (s *server) workTime(r *http.Request) time.Duration {
	d := s.switches.workTime()
	if ms, err := strconv.ParseInt(r.Header.Get(headerWorkMs), 10, 64); err == nil {
		d = time.Duration(ms) * time.Millisecond
	}
	if time.Since(s.started) < s.opts.coldStart {
		d *= coldStartSlowdown
	}
	return d
}

func (s *server) newRecord(r *http.Request, g grant, e runlog.Event) runlog.Record {
	rec := runlog.Record{
		Event:          e,
		At:             time.Now().UnixNano(),
		Server:         s.opts.server,
		RequestID:      r.Header.Get(headerRequestID),
		ClientID:       r.URL.Query().Get("id"),
		Attempt:        r.Header.Get(headerAttempt),
		Method:         r.Method,
		IdempotencyKey: r.Header.Get(headerIdempotencyKey),
		Customer:       r.Header.Get(headerCustomer),
	}
	g.fillRecord(&rec)
	return rec
}

func (s *server) append(rec runlog.Record) {
	if err := s.runs.Append(rec); err != nil {
		log.Fatalf("cannot write to the run log: %v", err)
	}
}

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

// Headers of the stand-in's own protocol.
const (
	headerWorkMs = "X-Work-Ms"
	// headerAttempt has the load generator's id of one sending of a request.
	headerAttempt = "X-Attempt"
	headerShed    = "Fulmarhinge-Shed"
	headerFence   = "Fulmarhinge-Fence"
)

// coldFactor is how much longer work takes during a cold start.
const coldFactor = 10

// server runs requests.
type server struct {
	opts     options
	started  time.Time
	runs     *runlog.Writer
	nextRun  atomic.Uint64
	busy     atomic.Int64
	slots    chan struct{}
	fence    *fence
	switches *switches
	load     loadReport
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
	go s.load.sampleForever(func() float64 {
		return float64(s.busy.Load()) / float64(o.slots)
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

// serveRequest reads the request whole, then runs it on a slot.
func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	s.switches.waitThaw()
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
	s.switches.waitThaw()
	if ctx.Err() != nil {
		s.refuse(w, r, g, runlog.Expired)
		return
	}
	// The grant is checked last, so that nothing can happen between the check
	// and the run.
	if s.opts.checksFence && !s.fence.accept(g, clock.Now()) {
		s.refuse(w, r, g, runlog.Stale)
		return
	}
	s.run(ctx, w, r, g, pattern.Digest(digest.Sum64()))
}

// refuse answers a request of which nothing ran.
func (s *server) refuse(w http.ResponseWriter, r *http.Request, g grant, why runlog.Outcome) {
	rec := s.record(r, g, runlog.Refused)
	rec.Outcome = why
	s.append(rec)
	status := http.StatusServiceUnavailable
	switch why {
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
	http.Error(w, string(why), status)
}

// run does the work and answers.
func (s *server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, g grant, digest string) {
	s.busy.Add(1)
	defer s.busy.Add(-1)
	rec := s.record(r, g, runlog.Start)
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

// frozenAfter is how much longer than asked a run takes before the server
// concludes that it was frozen meanwhile.
const frozenAfter = 500 * time.Millisecond

// work takes the time and says how it ended. A frozen server notices nothing
// until it thaws; one that checks fences then lets a run have no effect whose
// lease has ended.
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
	s.switches.waitThaw()
	now := clock.Now()
	if s.opts.checksFence && g.unit != "" && now.Sub(began) > d+frozenAfter && now >= g.leaseUntil {
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

// answer sends the body. The end of the run is taken before the last byte is
// sent, because the next owner may start as soon as a node has that byte.
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

// workTime is the request's own time if it names one.
func (s *server) workTime(r *http.Request) time.Duration {
	d := s.switches.workTime()
	if ms, err := strconv.ParseInt(r.Header.Get(headerWorkMs), 10, 64); err == nil {
		d = time.Duration(ms) * time.Millisecond
	}
	if time.Since(s.started) < s.opts.coldStart {
		d *= coldFactor
	}
	return d
}

func (s *server) record(r *http.Request, g grant, e runlog.Event) runlog.Record {
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
	g.describe(&rec)
	return rec
}

func (s *server) append(rec runlog.Record) {
	if err := s.runs.Append(rec); err != nil {
		log.Fatalf("cannot log a run: %v", err)
	}
}

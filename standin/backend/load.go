package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// loadDelay is the age of the load that GET /load reports.
const loadDelay = 2 * time.Second

// loadSample is the load at one moment.
type loadSample struct {
	at   time.Time
	load float64
}

// loadHistory records the share of busy slots, so that GET /load can report the
// share that was busy loadDelay ago.
type loadHistory struct {
	mu      sync.Mutex
	samples []loadSample
}

// record adds the current load and drops samples that are too old to be reported.
func (l *loadHistory) record(now time.Time, load float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, loadSample{now, load})
	for len(l.samples) > 1 && now.Sub(l.samples[1].at) >= loadDelay {
		l.samples = l.samples[1:]
	}
}

// sampleLoop samples the load of the server at a fixed interval. It never returns.
func (l *loadHistory) sampleLoop(load func() float64) {
	const interval = 100 * time.Millisecond
	for now := range time.Tick(interval) {
		l.record(now, load())
	}
}

func (l *loadHistory) delayed() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.samples) == 0 {
		return 0
	}
	return l.samples[0].load
}

// loadAnswer is the body of GET /load.
type loadAnswer struct {
	// Load is the share of busy slots.
	Load float64 `json:"load"`
}

func (s *server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.switches.waitWhileFrozen()
	a := loadAnswer{Load: s.load.delayed()}
	s.switches.mu.Lock()
	if s.switches.loadOverride != nil {
		a.Load = *s.switches.loadOverride
	}
	s.switches.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a)
}

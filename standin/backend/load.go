package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// loadLag is how old a reported load is.
const loadLag = 2 * time.Second

// loadSample is the load at one moment.
type loadSample struct {
	at   time.Time
	load float64
}

// loadReport answers GET /load with the share of slots that were busy loadLag
// ago.
type loadReport struct {
	mu      sync.Mutex
	samples []loadSample
}

// record notes the present load and forgets what is no longer reported.
func (l *loadReport) record(now time.Time, load float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, loadSample{now, load})
	for len(l.samples) > 1 && now.Sub(l.samples[1].at) >= loadLag {
		l.samples = l.samples[1:]
	}
}

// sampleForever records the load of the server.
func (l *loadReport) sampleForever(load func() float64) {
	const interval = 100 * time.Millisecond
	for now := range time.Tick(interval) {
		l.record(now, load())
	}
}

func (l *loadReport) lagged() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.samples) == 0 {
		return 0
	}
	return l.samples[0].load
}

// loadAnswer is the body of GET /load.
type loadAnswer struct {
	// Load is the share of slots that are busy.
	Load float64 `json:"load"`
}

func (s *server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.switches.waitThaw()
	a := loadAnswer{Load: s.load.lagged()}
	s.switches.mu.Lock()
	if s.switches.loadLies != nil {
		a.Load = *s.switches.loadLies
	}
	s.switches.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a)
}

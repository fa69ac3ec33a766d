package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// switchChange is the body of POST /admin/switch. Absent fields leave their
// switch unchanged.
type switchChange struct {
	// FreezeMs stops all processing for that long, as if the process was paused.
	FreezeMs *int64 `json:"freeze_ms"`
	// Shed refuses every request before it runs.
	Shed *bool `json:"shed"`
	// InvertHealth makes GET /health report the opposite of the real state.
	InvertHealth *bool `json:"health_lies"`
	// LoadOverride is the load that GET /load reports instead of the measured
	// one. A negative number removes the override.
	LoadOverride *float64 `json:"load_lies"`
	// Drain makes the server announce that it is leaving.
	Drain *bool `json:"drain"`
	// WorkMs is the new duration of a request.
	WorkMs *int64 `json:"work_ms"`
}

// switches holds the faults that a test has injected.
type switches struct {
	mu           sync.Mutex
	frozenUntil  time.Time
	shed         bool
	invertHealth bool
	loadOverride *float64
	drain        bool
	work         time.Duration
	// changed wakes announceLoop.
	changed chan struct{}
}

func newSwitches(work time.Duration) *switches {
	return &switches{work: work, changed: make(chan struct{}, 1)}
}

// apply applies the change and wakes announceLoop.
func (s *switches) apply(c switchChange, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.FreezeMs != nil {
		s.frozenUntil = now.Add(time.Duration(*c.FreezeMs) * time.Millisecond)
	}
	if c.Shed != nil {
		s.shed = *c.Shed
	}
	if c.InvertHealth != nil {
		s.invertHealth = *c.InvertHealth
	}
	if c.LoadOverride != nil {
		s.loadOverride = c.LoadOverride
		if *c.LoadOverride < 0 {
			s.loadOverride = nil
		}
	}
	if c.Drain != nil {
		s.drain = *c.Drain
	}
	if c.WorkMs != nil {
		s.work = time.Duration(*c.WorkMs) * time.Millisecond
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// waitWhileFrozen blocks while the server is frozen.
func (s *switches) waitWhileFrozen() {
	for {
		s.mu.Lock()
		left := time.Until(s.frozenUntil)
		s.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

func (s *switches) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drain
}

func (s *switches) shedding() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shed
}

func (s *switches) workTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.work
}

// serveSwitch handles POST /admin/switch, also while the server is frozen.
func (s *switches) serveSwitch(w http.ResponseWriter, r *http.Request) {
	var c switchChange
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.apply(c, time.Now())
	w.WriteHeader(http.StatusNoContent)
}

// serveHealth handles GET /health.
func (s *switches) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.waitWhileFrozen()
	s.mu.Lock()
	healthy := !s.shed && !s.drain
	if s.invertHealth {
		healthy = !healthy
	}
	s.mu.Unlock()
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

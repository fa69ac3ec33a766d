package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// switchChange is the body of POST /admin/switch; absent fields stay as they
// are.
type switchChange struct {
	// FreezeMs stops everything for that long, as if the process was paused.
	FreezeMs *int64 `json:"freeze_ms"`
	// Shed refuses every request before it runs.
	Shed *bool `json:"shed"`
	// HealthLies makes /health say the opposite of the truth.
	HealthLies *bool `json:"health_lies"`
	// LoadLies is the load that /load reports instead of the true one; a
	// negative number ends the lie.
	LoadLies *float64 `json:"load_lies"`
	// Drain announces that the server is leaving.
	Drain *bool `json:"drain"`
	// WorkMs replaces the time that a request takes.
	WorkMs *int64 `json:"work_ms"`
}

// switches are the faults that a test can turn on.
type switches struct {
	mu          sync.Mutex
	frozenUntil time.Time
	shed        bool
	healthLies  bool
	loadLies    *float64
	drain       bool
	work        time.Duration
	// changed wakes the announcer.
	changed chan struct{}
}

func newSwitches(work time.Duration) *switches {
	return &switches{work: work, changed: make(chan struct{}, 1)}
}

// apply makes the change and wakes the announcer.
func (s *switches) apply(c switchChange, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.FreezeMs != nil {
		s.frozenUntil = now.Add(time.Duration(*c.FreezeMs) * time.Millisecond)
	}
	if c.Shed != nil {
		s.shed = *c.Shed
	}
	if c.HealthLies != nil {
		s.healthLies = *c.HealthLies
	}
	if c.LoadLies != nil {
		s.loadLies = c.LoadLies
		if *c.LoadLies < 0 {
			s.loadLies = nil
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

// waitThaw returns once the server is not frozen.
func (s *switches) waitThaw() {
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

// serveSwitch answers POST /admin/switch, also while the server is frozen.
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

// serveHealth answers GET /health.
func (s *switches) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.waitThaw()
	s.mu.Lock()
	healthy := !s.shed && !s.drain
	if s.healthLies {
		healthy = !healthy
	}
	s.mu.Unlock()
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

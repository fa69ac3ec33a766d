package sidecar

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"time"

	"fulmarhinge/internal/settings"
)

// Settings holds the settings of a node whose backend server enforces its own lease.
type Settings struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Service string `json:"service"`
	// BackendAddress is the IP:port of the backend server on this VM.
	BackendAddress string    `json:"backend_address"`
	Listen         Listen    `json:"listen"`
	Platform       Platform  `json:"platform"`
	Resources      Resources `json:"resources"`
	Bounds         Bounds    `json:"bounds"`
	Log            Log       `json:"log,omitzero"`
}

// Log holds the log settings.
type Log struct {
	// Level is debug, info, warn or error; info if empty.
	Level string `json:"level,omitempty"`
	// ServedOneIn is the sampling rate of requests served on the first attempt: one
	// in ServedOneIn is logged, or none if it is 0.
	ServedOneIn int64 `json:"served_one_in,omitempty"`
}

// LevelName returns the level, or the default if none is set.
func (l Log) LevelName() string {
	if l.Level == "" {
		return "info"
	}
	return l.Level
}

// Listen holds the IP:port of each listener.
type Listen struct {
	Callers string `json:"callers"`
	Reports string `json:"reports"`
	Ready   string `json:"ready"`
	Peers   string `json:"peers"`
	// PeersAdvertised is the IP:port that peers dial; Peers if empty.
	PeersAdvertised string `json:"peers_advertised,omitempty"`
	// PeersFrom is the source IP of connections to peers; chosen by the system if
	// empty.
	PeersFrom string `json:"peers_from,omitempty"`
	Metrics   string `json:"metrics"`
}

// peerAddress returns the address that peers dial.
func (l Listen) peerAddress() string {
	if l.PeersAdvertised != "" {
		return l.PeersAdvertised
	}
	return l.Peers
}

// Platform holds the address of the platform's store and the limits that the store sets
// for the requests of all nodes together.
type Platform struct {
	Address      string  `json:"address"`
	WritesPerSec float64 `json:"writes_per_second"`
	ReadsPerSec  float64 `json:"reads_per_second"`
	// NewFleet is true while the fleet starts for the first time: a missing fleet
	// document then means that there never was one.
	NewFleet bool `json:"new_fleet,omitempty"`
}

// Resources holds the resource limits of the process.
type Resources struct {
	MemoryMB int64   `json:"memory_mb"`
	CPUShare float64 `json:"cpu_share"`
	LinkMbps float64 `json:"link_mbps"`
	// CallerConnections is the most connections of callers at a time; 0 stands for the
	// default, 8 per MB of memory.
	CallerConnections int `json:"caller_connections,omitempty"`
}

// Bounds holds the operators' requirements for the whole system; times are in
// seconds.
type Bounds struct {
	// DrainSeconds is how long a leaving backend server may still be sent requests.
	DrainSeconds float64 `json:"drain_seconds"`
	// GraceSeconds is the time in which a node must end after it has been told to stop.
	GraceSeconds       float64 `json:"grace_seconds"`
	ConfigApplySeconds float64 `json:"config_apply_seconds"`
	// MaxHoldSeconds is the longest hold of rows that a backend server accepts.
	MaxHoldSeconds float64 `json:"max_hold_seconds"`
	// RetryRatio, RetryExtra and RetryWindow are the fleet's retry budget; see
	// ingress.RetryShare.
	RetryRatio          float64 `json:"retry_ratio"`
	RetryExtra          float64 `json:"retry_extra"`
	RetryWindowSeconds  float64 `json:"retry_window_seconds"`
	ReportPeriodSeconds float64 `json:"report_period_seconds"`
	// A cold backend server receives at most SlowStartRatio times the rate that its
	// service tolerates, plus SlowStartExtra, in any second. Both are 0 if there is no
	// such bound.
	SlowStartRatio float64 `json:"slow_start_ratio,omitempty"`
	SlowStartExtra float64 `json:"slow_start_extra,omitempty"`
	// EvacuationSeconds is the time in which the evacuation of a zone takes effect; 0 if
	// zones are not evacuated.
	EvacuationSeconds float64 `json:"evacuation_seconds,omitempty"`
}

// secondsToDuration converts a setting in seconds.
func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

// LoadSettings reads and validates a settings file.
func LoadSettings(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseSettings(b)
}

// ParseSettings decodes and validates settings; a validation error lists all problems.
func ParseSettings(b []byte) (*Settings, error) {
	s := &Settings{}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := dec.Decode(&struct{}{}); !errors.Is(err, io.EOF) {
		return nil, errors.New("settings: expected one JSON object")
	}
	if problems := s.validate(); len(problems) > 0 {
		return nil, &settings.Error{Problems: problems}
	}
	return s, nil
}

func (s *Settings) validate() []settings.Problem {
	var problems []settings.Problem
	add := func(path, format string, args ...any) {
		problems = append(problems, settings.Problem{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	for _, f := range []struct{ path, value string }{
		{"name", s.Name}, {"zone", s.Zone}, {"service", s.Service},
	} {
		if f.value == "" {
			add(f.path, "empty; expected a name")
		}
	}
	for _, f := range []struct{ path, value string }{
		{"backend_address", s.BackendAddress}, {"listen.callers", s.Listen.Callers}, {"listen.reports", s.Listen.Reports},
		{"listen.ready", s.Listen.Ready}, {"listen.peers", s.Listen.Peers}, {"listen.metrics", s.Listen.Metrics},
		{"platform.address", s.Platform.Address},
	} {
		if !isIPPort(f.value) {
			add(f.path, "got %q; expected IP:port", f.value)
		}
	}
	if a := s.Listen.PeersFrom; a != "" && net.ParseIP(a) == nil {
		add("listen.peers_from", "got %q; expected an IP or an empty string", a)
	}
	if a := s.Listen.PeersAdvertised; a != "" && !isIPPort(a) {
		add("listen.peers_advertised", "got %q; expected IP:port or an empty string", a)
	}
	for _, f := range []struct {
		path  string
		value float64
	}{
		{"platform.writes_per_second", s.Platform.WritesPerSec}, {"platform.reads_per_second", s.Platform.ReadsPerSec},
		{"resources.memory_mb", float64(s.Resources.MemoryMB)}, {"bounds.grace_seconds", s.Bounds.GraceSeconds},
		{"bounds.drain_seconds", s.Bounds.DrainSeconds}, {"bounds.max_hold_seconds", s.Bounds.MaxHoldSeconds},
		{"bounds.retry_window_seconds", s.Bounds.RetryWindowSeconds}, {"bounds.report_period_seconds", s.Bounds.ReportPeriodSeconds},
	} {
		if f.value <= 0 {
			add(f.path, "got %v; expected more than 0", f.value)
		}
	}
	for _, f := range []struct {
		path  string
		value float64
	}{
		{"bounds.retry_ratio", s.Bounds.RetryRatio}, {"bounds.retry_extra", s.Bounds.RetryExtra},
		{"bounds.slow_start_ratio", s.Bounds.SlowStartRatio}, {"bounds.slow_start_extra", s.Bounds.SlowStartExtra},
		{"bounds.evacuation_seconds", s.Bounds.EvacuationSeconds},
	} {
		if f.value < 0 {
			add(f.path, "got %v; expected 0 or more", f.value)
		}
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.LevelName()) {
		add("log.level", "got %q; expected debug, info, warn or error", s.Log.Level)
	}
	if n := s.Resources.CallerConnections; n < 0 {
		add("resources.caller_connections", "got %d; expected 0 or more", n)
	}
	if s.Log.ServedOneIn < 0 {
		add("log.served_one_in", "got %d; expected 0 or more", s.Log.ServedOneIn)
	}
	return problems
}

// isIPPort reports whether the text is IP:port.
func isIPPort(text string) bool {
	host, _, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil
}

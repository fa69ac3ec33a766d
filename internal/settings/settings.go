// Package settings reads the settings file of one node. The file is JSON and
// is checked strictly: a field that is unknown, missing, of the wrong type or
// out of its range stops the start, and every fault is reported at once with
// the path of its field and what was expected there.
package settings

import (
	"os"

	"fulmarhinge/internal/contract"
)

// Settings is all that a node is told about itself. Nothing of it is stored by
// the platform, and nothing changes while the node runs.
type Settings struct {
	// Fleet keeps nodes of different fleets apart; peers of another are refused.
	Fleet string `json:"fleet" check:"name"`
	// Name is unique in the fleet and is kept when the VM is replaced.
	Name string `json:"name" check:"name"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone" check:"name"`
	// Region is the region of the availability zone.
	Region   string   `json:"region" check:"name"`
	Caller   Caller   `json:"caller"`
	Peer     Peer     `json:"peer"`
	Operator Operator `json:"operator"`
	Backend  Backend  `json:"backend"`
	Platform Platform `json:"platform"`
	Lease    Lease    `json:"lease"`
	Limits   Limits   `json:"limits"`
	Log      Log      `json:"log"`
}

// Caller is the listener for callers' requests.
type Caller struct {
	// Listen is the address to bind.
	Listen string `json:"listen" check:"listen"`
	// Advertise is the address that callers and hints use; Listen if empty.
	Advertise string `json:"advertise" check:"advertise" default:""`
}

// Peer is the listener for the other nodes of the fleet.
type Peer struct {
	// Listen is the address to bind.
	Listen string `json:"listen" check:"listen"`
	// Advertise is the address that other nodes dial; Listen if empty.
	Advertise string `json:"advertise" check:"advertise" default:""`
	// DialFrom is the local IP of connections to other nodes; the system
	// chooses if it is empty.
	DialFrom string `json:"dial_from" check:"ip" default:""`
}

// Operator is the listener for operators. It is not authenticated, so it must
// be on loopback unless AllowRemote is set.
type Operator struct {
	// Listen is the address to bind.
	Listen string `json:"listen" check:"listen"`
	// Advertise is the address that the command line dials; Listen if empty.
	Advertise string `json:"advertise" check:"advertise" default:""`
	// AllowRemote permits an address that is not loopback.
	AllowRemote bool `json:"allow_remote" default:"false"`
}

// Backend is the listener for announcements of the backend server beside the
// node. It is not authenticated either.
type Backend struct {
	// Listen is the address to bind.
	Listen string `json:"listen" check:"listen"`
	// AllowRemote permits an address that is not loopback.
	AllowRemote bool `json:"allow_remote" default:"false"`
}

// Platform says how to reach the platform's object API.
type Platform struct {
	// URLs are tried in turn.
	URLs []string `json:"urls" check:"url"`
	// Timeout bounds one call, watches excepted.
	Timeout contract.Duration `json:"timeout" default:"1s" min:"10ms" max:"1m"`
}

// Lease holds the timing of the node's lease. Each renewal states the promise
// that it asks for, so nodes with different values work together safely.
type Lease struct {
	// Promise is how long a witness's answer to a renewal holds.
	Promise contract.Duration `json:"promise" default:"1.7s" min:"100ms" max:"1m"`
	// Renew is the time between two renewals.
	Renew contract.Duration `json:"renew" default:"700ms" min:"10ms" max:"30s"`
	// Tick is the period of the control loop.
	Tick contract.Duration `json:"tick" default:"50ms" min:"1ms" max:"5s"`
	// Witnesses is how many peers hold promises for the node; odd.
	Witnesses int `json:"witnesses" default:"5" min:"3" max:"9"`
	// DriftPercent is by how much the clocks of two VMs may differ in speed.
	DriftPercent int `json:"drift_percent" default:"1" min:"0" max:"20"`
}

// Limits bounds what one node holds in memory and how long it waits.
type Limits struct {
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int `json:"max_header_bytes" default:"65536" min:"1024" max:"1048576"`
	// MaxBodyBytes bounds the body of a request; bodies are never held whole.
	MaxBodyBytes int64 `json:"max_body_bytes" default:"8589934592" min:"0"`
	// BodyIdleTimeout ends a body of which no byte came for this long.
	BodyIdleTimeout contract.Duration `json:"body_idle_timeout" default:"30s" min:"10ms" max:"1h"`
	// IdempotencyEntries bounds the table of idempotency keys.
	IdempotencyEntries int `json:"idempotency_entries" default:"100000" min:"1" max:"10000000"`
	// IdempotencyAge is how long an idempotency key is remembered.
	IdempotencyAge contract.Duration `json:"idempotency_age" default:"10m" min:"1s" max:"24h"`
	// StopTimeout bounds a planned stop's wait for its units to be handed over.
	// Requests in flight are waited for until their deadlines.
	StopTimeout contract.Duration `json:"stop_timeout" default:"30s" min:"1s" max:"1h"`
}

// Log says what is logged and how.
type Log struct {
	// Level is the least level that is written.
	Level string `json:"level" default:"info" check:"level"`
	// JSON selects one JSON object a line in place of text.
	JSON bool `json:"json" default:"false"`
}

// Load reads and checks a settings file. Its error is an *Error if the content
// is at fault, and one of the file system's otherwise.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(b)
}

// Parse checks the content of a settings file. Its error is an *Error that
// lists every fault found.
func Parse(b []byte) (*Settings, error) {
	s := &Settings{}
	var found problems
	decode(&found, b, s)
	if len(found) == 0 {
		s.fillAdvertised()
		crossCheck(&found, s)
	}
	if len(found) > 0 {
		return nil, &Error{Problems: found}
	}
	return s, nil
}

// fillAdvertised gives each address that is not set apart the one listened on.
func (s *Settings) fillAdvertised() {
	fill := func(advertise *string, listen string) {
		if *advertise == "" {
			*advertise = listen
		}
	}
	fill(&s.Caller.Advertise, s.Caller.Listen)
	fill(&s.Peer.Advertise, s.Peer.Listen)
	fill(&s.Operator.Advertise, s.Operator.Listen)
}

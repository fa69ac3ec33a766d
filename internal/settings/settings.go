// Package settings reads the settings file of one node. The file is JSON and is
// validated strictly: a field that is unknown, missing, of the wrong type or out of
// range is an error that prevents the start. All errors are reported together, each
// with the path of its field and the values expected there.
package settings

import (
	"os"

	"fulmarhinge/internal/contract"
)

// Settings is the local configuration of one node. It is not stored on the
// platform and does not change while the node runs.
type Settings struct {
	// Fleet is the name of the node's fleet; peers of other fleets are refused.
	Fleet string `json:"fleet" check:"name"`
	// Name is the node's name. It is unique in the fleet and kept when the VM is replaced.
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

// Caller configures the listener for requests of callers.
type Caller struct {
	// Listen is the address to bind.
	Listen string `json:"listen" check:"listen"`
	// Advertise is the address that callers dial and that owner hints contain;
	// the default is Listen.
	Advertise string `json:"advertise" check:"advertise" default:""`
}

// Peer configures the listener for the other nodes of the fleet.
type Peer struct {
	// Listen is the address to bind.
	Listen string `json:"listen" check:"listen"`
	// Advertise is the address that other nodes dial; the default is Listen.
	Advertise string `json:"advertise" check:"advertise" default:""`
	// DialFrom is the local IP of connections to other nodes; if it is empty,
	// the operating system chooses.
	DialFrom string `json:"dial_from" check:"ip" default:""`
}

// Operator configures the listener for operators. It does not authenticate its
// clients, so it must be on loopback unless AllowRemote is set.
type Operator struct {
	// Listen is the address to bind.
	Listen string `json:"listen" check:"listen"`
	// Advertise is the address that the command line dials; the default is Listen.
	Advertise string `json:"advertise" check:"advertise" default:""`
	// AllowRemote permits an address that is not loopback.
	AllowRemote bool `json:"allow_remote" default:"false"`
}

// Backend configures the listener for announcements of the backend server on the
// node's VM. It does not authenticate its clients either.
type Backend struct {
	// Listen is the address to bind.
	Listen string `json:"listen" check:"listen"`
	// AllowRemote permits an address that is not loopback.
	AllowRemote bool `json:"allow_remote" default:"false"`
}

// Platform configures the access to the platform's object API.
type Platform struct {
	// URLs are the addresses of the object API, tried in turn.
	URLs []string `json:"urls" check:"url"`
	// Timeout bounds one call, except for watches.
	Timeout contract.Duration `json:"timeout" default:"1s" min:"10ms" max:"1m"`
}

// Lease holds the timing of the node's lease. Each renewal contains the length of
// the promise that it requests, so nodes with different values interoperate safely.
type Lease struct {
	// Promise is how long a witness's answer to a renewal is valid.
	Promise contract.Duration `json:"promise" default:"1.7s" min:"100ms" max:"1m"`
	// RenewInterval is the time between two renewals.
	RenewInterval contract.Duration `json:"renew" default:"700ms" min:"10ms" max:"30s"`
	// TickInterval is the period of the control loop.
	TickInterval contract.Duration `json:"tick" default:"50ms" min:"1ms" max:"5s"`
	// Witnesses is the number of peers that hold promises for the node. It is odd.
	Witnesses int `json:"witnesses" default:"5" min:"3" max:"9"`
	// DriftPercent bounds the difference in speed between the clocks of two VMs.
	DriftPercent int `json:"drift_percent" default:"1" min:"0" max:"20"`
}

// Limits bounds what one node keeps in memory and how long it waits.
type Limits struct {
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int `json:"max_header_bytes" default:"65536" min:"1024" max:"1048576"`
	// MaxBodyBytes bounds the body of a request. A body is streamed, never
	// buffered as a whole.
	MaxBodyBytes int64 `json:"max_body_bytes" default:"8589934592" min:"0"`
	// BodyIdleTimeout is the time without a byte after which the transfer of a
	// body is aborted.
	BodyIdleTimeout contract.Duration `json:"body_idle_timeout" default:"30s" min:"10ms" max:"1h"`
	// IdempotencyEntries bounds the table of idempotency keys.
	IdempotencyEntries int `json:"idempotency_entries" default:"100000" min:"1" max:"10000000"`
	// IdempotencyAge is how long an idempotency key is kept.
	IdempotencyAge contract.Duration `json:"idempotency_age" default:"10m" min:"1s" max:"24h"`
	// StopTimeout bounds how long a planned stop waits for the hand-over of the
	// node's units. In-flight requests are waited for until their deadlines.
	StopTimeout contract.Duration `json:"stop_timeout" default:"30s" min:"1s" max:"1h"`
}

// Log configures the log.
type Log struct {
	// Level is the lowest level that is written.
	Level string `json:"level" default:"info" check:"level"`
	// JSON selects one JSON object per line instead of text.
	JSON bool `json:"json" default:"false"`
}

// Load reads and validates a settings file. The error is an *Error if the content
// is invalid; otherwise it is the error of reading the file.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(b)
}

// Parse decodes and validates the content of a settings file. The error is an
// *Error that lists all problems found.
func Parse(b []byte) (*Settings, error) {
	s := &Settings{}
	var problems problemList
	decode(&problems, b, s)
	if len(problems) == 0 {
		s.defaultAdvertise()
		crossCheck(&problems, s)
	}
	if len(problems) > 0 {
		return nil, &Error{Problems: problems}
	}
	return s, nil
}

// defaultAdvertise sets each advertised address that is empty to the listen address.
func (s *Settings) defaultAdvertise() {
	setIfEmpty := func(advertise *string, listen string) {
		if *advertise == "" {
			*advertise = listen
		}
	}
	setIfEmpty(&s.Caller.Advertise, s.Caller.Listen)
	setIfEmpty(&s.Peer.Advertise, s.Peer.Listen)
	setIfEmpty(&s.Operator.Advertise, s.Operator.Listen)
}

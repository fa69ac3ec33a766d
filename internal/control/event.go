// Package control is the decision core of a node: a deterministic state
// machine that handles events and returns the actions to carry out. It reads
// no clock, does no I/O and starts no goroutines; each event carries its time.
package control

import (
	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/timeline"
	"fulmarhinge/internal/view"
	"fulmarhinge/internal/wire"
)

// Event is an input of the state machine. Each of the types below implements
// it.
type Event interface{ event() }

// Outcome is the known result of a write to the platform.
type Outcome int

// The outcomes of a write.
const (
	// Applied: the write was applied and created the version in the event.
	Applied Outcome = iota + 1
	// Conflict: the object had another version; nothing changed.
	Conflict
	// NotApplied: the write was refused or never sent.
	NotApplied
	// OutcomeUnknown: the answer was lost; the write may take effect, even
	// later, for as long as the object keeps the expected version.
	OutcomeUnknown
)

type (
	// Tick makes the machine do the work that is due by time.
	Tick struct{}
	// Message is a control message from a peer.
	Message struct{ Body *wire.Control }
	// Observed carries objects seen on the platform's watch.
	Observed struct{ Objects []platform.Object }
	// Listed is the answer to a list request.
	Listed struct {
		Prefix  string
		Objects []platform.Object
		Failed  bool
	}
	// ReadDone is the answer to a read. If Failed is set, the object's state
	// is unknown; otherwise version 0 means that the object does not exist.
	ReadDone struct {
		Object platform.Object
		Failed bool
	}
	// WriteDone is the answer to a write.
	WriteDone struct {
		ID      uint64
		Outcome Outcome
		Version uint64
	}
	// BackendChanged carries the announcement of the local backend server, nil
	// if it no longer announces itself.
	BackendChanged struct{ Info *cluster.BackendInfo }
	// DrainRequested starts a planned stop.
	DrainRequested struct{}
	// EvictRequested is an operator's request to evict a member.
	EvictRequested struct {
		ID    uint64
		Name  string
		Force bool
	}
	// UnitIdle reports that the gate has no request in flight for a unit that
	// was published as stopping under this epoch.
	UnitIdle struct {
		Unit  cluster.Unit
		Epoch uint64
		// History is sent with the release; nil if the gate does not know it.
		History *wire.History
	}
	// InFlight carries the number of requests in flight in this node.
	InFlight struct{ Total int }
	// LoadSampled carries the rates that the gate measured since the last
	// sample.
	LoadSampled struct{ Rates map[cluster.Unit]float64 }
)

func (Tick) event()           {}
func (Message) event()        {}
func (Observed) event()       {}
func (Listed) event()         {}
func (ReadDone) event()       {}
func (WriteDone) event()      {}
func (BackendChanged) event() {}
func (DrainRequested) event() {}
func (EvictRequested) event() {}
func (UnitIdle) event()       {}
func (InFlight) event()       {}
func (LoadSampled) event()    {}

// Outgoing is a message to send. It may be lost, delayed or duplicated.
type Outgoing struct {
	To   cluster.MemberRef
	Addr string
	Body *wire.Control
}

// Write is a conditional update to carry out.
type Write struct {
	ID              uint64
	Key             string
	ExpectedVersion uint64
	Value           []byte
}

// Reply answers an operator's request. Err is empty on success.
type Reply struct {
	ID  uint64
	Err string
}

// Ready holds the actions that follow from a step. View and LeaseUntil must be
// published before any other action is carried out.
type Ready struct {
	// Self is the node's current identity, zero until it has joined.
	Self       cluster.MemberRef
	View       *view.View
	LeaseUntil clock.Mono
	Messages   []Outgoing
	Writes     []Write
	Reads      []string
	Lists      []string
	Events     []timeline.Event
	Replies    []Reply
	// Watch is true while this node watches the platform on behalf of its
	// zone.
	Watch bool
	// Stopping lists the units to report as idle once they have no request in
	// flight.
	Stopping []UnitIdle
	// Done is true once a planned stop is complete.
	Done bool
}

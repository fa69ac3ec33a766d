// Package control is the node's decision core: a deterministic state machine
// that takes events and yields what is to be done. It reads no clock, does no
// I/O and starts no goroutine; time comes with each event.
package control

import (
	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/timeline"
	"fulmarhinge/internal/view"
	"fulmarhinge/internal/wire"
)

// Event is something that happened. Each of the types below is one.
type Event interface{ event() }

// Outcome says what is known of a write to the platform.
type Outcome int

// The outcomes of a write.
const (
	// Applied: the write is the object's version that the event carries.
	Applied Outcome = iota + 1
	// Conflict: another version was present; nothing changed.
	Conflict
	// NotApplied: the write was refused or never sent.
	NotApplied
	// OutcomeUnknown: the answer was lost; the write may take effect, even
	// later on, for as long as the object's version stays the expected one.
	OutcomeUnknown
)

type (
	// Tick says that time has passed.
	Tick struct{}
	// Message is a control message from a peer.
	Message struct{ Body *wire.Control }
	// Observed carries objects seen on the platform's watch.
	Observed struct{ Objects []platform.Object }
	// Listed is the answer to a list.
	Listed struct {
		Prefix  string
		Objects []platform.Object
		Failed  bool
	}
	// ReadDone is the answer to a read. Failed means that nothing is known;
	// otherwise a version of 0 means that the object does not exist.
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
	// BackendChanged says what the backend server beside the node announces;
	// nil if it has fallen silent.
	BackendChanged struct{ Info *cluster.BackendInfo }
	// DrainRequested starts a planned stop.
	DrainRequested struct{}
	// EvictRequested is an operator's order to evict a member.
	EvictRequested struct {
		ID    uint64
		Name  string
		Force bool
	}
	// UnitIdle says that the gate has no request in flight for a unit that
	// was published as stopping under this epoch.
	UnitIdle struct {
		Unit  cluster.Unit
		Epoch uint64
		// History goes with the release; nil if the gate can't tell.
		History *wire.History
	}
	// InFlight is the number of requests inside this node.
	InFlight struct{ Total int }
	// LoadSampled is what the gate measured since the last sample.
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

// Outgoing is a message to send; it may be lost, late or doubled.
type Outgoing struct {
	To   cluster.MemberRef
	Addr string
	Body *wire.Control
}

// Write is a conditional update to carry out.
type Write struct {
	ID       uint64
	Key      string
	Expected uint64
	Value    []byte
}

// Reply answers an operator's request. Err is empty on success.
type Reply struct {
	ID  uint64
	Err string
}

// Ready is what is to be done after a step. View and Lease are to be
// published before anything else is acted on.
type Ready struct {
	// Self is the node's present identity, zero until it has joined.
	Self     cluster.MemberRef
	View     *view.View
	Lease    clock.Mono
	Messages []Outgoing
	Writes   []Write
	Reads    []string
	Lists    []string
	Events   []timeline.Event
	Replies  []Reply
	// Watch is true while this node watches the platform for its zone.
	Watch bool
	// Stopping lists the units to report idle once nothing is in flight.
	Stopping []UnitIdle
	// Done is true once a planned stop is complete.
	Done bool
}

// Package fleet decides who owns which keys, and until when. It is a
// deterministic state machine: it reads no clock, does no I/O and starts no
// goroutine; time comes with each event.
//
// All that must last is one object of the platform, the fleet document, which
// only conditional updates change. One node leads: it writes the document and
// renews the leases of the nodes. A node grants rows to the backend server
// beside it, never for longer than its lease.
package fleet

import (
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/wire"
)

// Timing holds the waits that nodes of one fleet share.
type Timing struct {
	// Lease is how long a renewal holds, counted from when it was asked for.
	Lease time.Duration
	// MaxHold is the longest hold that a backend server takes.
	MaxHold time.Duration
	// Fresh is how old the leader's last proof of its term may be while it
	// renews leases.
	Fresh time.Duration
	// Outage is how long a leader that a majority still follows may go without
	// a proof from the platform.
	Outage time.Duration
}

// DefaultTiming is for backend servers that report about once a second.
func DefaultTiming() Timing {
	return Timing{
		Lease:   3500 * time.Millisecond,
		MaxHold: 10 * time.Second,
		Fresh:   2 * time.Second,
		Outage:  30 * time.Second,
	}
}

// Waits of a node.
const (
	// statusEvery is the time between two reports to the leader: a lease
	// survives the loss of several in a row.
	statusEvery = 350 * time.Millisecond
	// loadsEvery is how many statuses pass from one with the load to the next.
	loadsEvery = 3
	// leaderSilence is how long the leader may be silent before its followers
	// read the platform themselves.
	leaderSilence = 900 * time.Millisecond
	// readEvery is the time between two such reads.
	readEvery = 500 * time.Millisecond
	// claimAfter is the silence after which a follower claims the leadership.
	claimAfter = 1300 * time.Millisecond
	// claimStagger keeps followers from claiming at once.
	claimStagger = 150 * time.Millisecond
	// unprovenWait is how long a leader that says that the platform does not
	// answer it is left alone by followers that it answers.
	unprovenWait = 300 * time.Millisecond
	// writeRetry is the wait after a write that failed.
	writeRetry = 250 * time.Millisecond
	// claimRanks bounds the stagger in a large fleet.
	claimRanks = 8
	// reminders is how many followers send a silent leader the document.
	reminders = 2
	// driftPercent bounds how much slower than others a clock may run.
	driftPercent = 2
)

// Params are the fixed facts about a node.
type Params struct {
	Self cluster.MemberRef
	// Addr is the IP:port of the node's peer listener.
	Addr string
	Zone string
	// Weight is what the node's VM can carry, against other nodes: duties go to
	// the ones that can carry more.
	Weight float64
	// Operator is the IP:port of the node's endpoint for operators.
	Operator string
	// Nonce makes the change ids of this process unlike any other's.
	Nonce  string
	Timing Timing
}

// Machine is the state of one node. One goroutine owns it.
type Machine struct {
	p   Params
	now clock.Mono

	doc     *Document
	version uint64
	// verified is true once the document came from the platform itself.
	verified bool
	// keyed holds the services that are divided by ordered keys.
	keyed         map[string]bool
	configVersion uint64

	lease leaseState
	local localServer
	lead  *leadership
	// resuming is set while this node, as the leader's next process, asks
	// whether it may lead on.
	resuming *leadership

	reading  bool
	nextRead clock.Mono
	// readAt is when the last read that succeeded was sent.
	readAt clock.Mono
	// pending is the document of the write under way, if there is one.
	pending *Document
	// unsettled holds writes whose answers were lost: any of them may take effect
	// for as long as the document has the version unsettledAt, which they expect.
	unsettled   []*Document
	unsettledAt uint64
	// predecessorEnded is true if the claim under way follows a leader that can
	// renew no lease any more.
	predecessorEnded bool
	stopping         bool
	changes          uint64
	// encodedDoc is the stored form of encodedOf.
	encodedDoc []byte
	encodedOf  *Document

	// past holds the last documents by version, for changes from them.
	past []pastDocument

	ready Ready
	dirty bool
}

// pastDocument is a document that others may still have.
type pastDocument struct {
	version uint64
	doc     *Document
}

// keptDocuments is how many documents are kept to send changes from.
const keptDocuments = 12

// leaseState is the node's own lease.
type leaseState struct {
	until clock.Mono
	seq   uint64
	// sent holds when the renewals without an answer were sent.
	sent       map[uint64]clock.Mono
	nextStatus clock.Mono
	// nextReminder is when a silent leader may be sent the document again.
	nextReminder clock.Mono
	// heard is when the leader last answered.
	heard clock.Mono
	// echo is the stamp of the last answer, echoFrom the incarnation of the
	// leader and echoTerm the term that it came from.
	echo     int64
	echoFrom uint64
	echoTerm uint64
	// promise is the leader's promise to write nothing.
	promise promise
	// unproven is true if the leader says that the platform does not answer it.
	unproven   bool
	unprovenAt clock.Mono
	// adoptedIn is the version of the document under which the leader lets this
	// incarnation act for the earlier one that the document lists; 0 if none.
	adoptedIn uint64
}

// New returns a machine that has seen nothing yet.
func New(now clock.Mono, p Params) *Machine {
	m := &Machine{p: p, now: now, keyed: map[string]bool{}, dirty: true}
	m.lease.sent = map[uint64]clock.Mono{}
	m.lease.heard = now
	m.local = newLocalServer(now.Add(p.Timing.Lease))
	return m
}

// Event is something that happened.
type Event interface{ event() }

type (
	// Tick says that time has passed.
	Tick struct{}
	// Message is a control message of a peer.
	Message struct {
		From cluster.MemberRef
		Body *wire.Control
	}
	// DocumentRead is the answer to a read of the document. Object.Version 0
	// without an error means that there is none.
	DocumentRead struct {
		Object platform.Object
		SentAt clock.Mono
		Err    error
	}
	// DocumentWritten is the answer to a write. A conflict and a lost answer
	// are errors: the document is read again.
	DocumentWritten struct {
		Version uint64
		SentAt  clock.Mono
		Err     error
	}
	// ConfigChanged says which services are divided by ordered keys.
	ConfigChanged struct {
		Version uint64
		Keyed   map[string]bool
	}
	// ServerDown says that the backend server's address refuses connections,
	// so that its process has ended.
	ServerDown struct{ Life Life }
	// LoadSampled is what the gate measured since the last sample.
	LoadSampled struct {
		Spans []*wire.SpanLoad
		// Work is the mean service time; 0 if nothing was served.
		Work time.Duration
	}
	// StopRequested begins a planned stop.
	StopRequested struct{}
)

func (Tick) event()            {}
func (Message) event()         {}
func (DocumentRead) event()    {}
func (DocumentWritten) event() {}
func (ConfigChanged) event()   {}
func (ServerDown) event()      {}
func (LoadSampled) event()     {}
func (StopRequested) event()   {}

// Write is a conditional update of the document.
type Write struct {
	Expected uint64
	Value    []byte
}

// Outgoing is a message to send; it may be lost, late or doubled.
type Outgoing struct {
	Addr string
	Body *wire.Control
}

// Note is one thing that changed what the node believes.
type Note struct {
	Text string
	Args []any
}

// ConfigDiffers says that a member has another version of the configuration.
type ConfigDiffers struct {
	Addr    string
	Version uint64
}

// Ready is what is to be done after a step.
type Ready struct {
	// View is the document if it has changed.
	View     *Document
	Version  uint64
	Messages []Outgoing
	Read     bool
	Write    *Write
	Notes    []Note
	// Configs lists members whose configuration is another than this node's.
	Configs []ConfigDiffers
	// Held is what the gate may use of the backend server, if it has changed.
	Held *Held
}

// Step takes one event that happened at now. Time never goes back.
func (m *Machine) Step(now clock.Mono, ev Event) {
	m.now = max(m.now, now)
	switch e := ev.(type) {
	case Tick:
		m.tick()
	case Message:
		m.message(e)
	case DocumentRead:
		m.documentRead(e)
	case DocumentWritten:
		m.documentWritten(e)
	case ConfigChanged:
		m.configVersion = e.Version
		m.keyed = e.Keyed
	case ServerDown:
		m.serverDown(e.Life)
	case LoadSampled:
		m.local.loads = e.Spans
		m.local.learn(e.Work)
	case StopRequested:
		m.stopping = true
		m.lease.nextStatus = m.now
	}
}

// Ready returns what is to be done and forgets it.
func (m *Machine) Ready() Ready {
	r := m.ready
	m.ready = Ready{}
	if m.dirty && m.doc != nil {
		r.View = m.doc
		r.Version = m.version
		m.dirty = false
	}
	return r
}

// Leads reports whether this node believes that it leads.
func (m *Machine) Leads() bool { return m.lead != nil }

// LeaseUntil returns until when the node may grant.
func (m *Machine) LeaseUntil() clock.Mono { return m.lease.until }

func (m *Machine) tick() {
	m.watchServer()
	m.sendStatus()
	m.follow()
	if m.lead != nil {
		m.leadTick()
	}
}

func (m *Machine) note(text string, args ...any) {
	m.ready.Notes = append(m.ready.Notes, Note{Text: text, Args: args})
}

// follow reads the platform while the leader is silent, and claims the
// leadership when the silence lasts.
func (m *Machine) follow() {
	if m.lead != nil {
		return
	}
	if m.doc == nil || !m.verified || m.lease.unproven || m.now.Sub(m.lease.heard) > leaderSilence {
		m.read(readEvery)
	}
	m.remind()
	if m.mayClaim() {
		m.claim()
	}
}

// remind sends the document and the configuration to a silent leader: it may
// have restarted and be unable to read them from the platform.
func (m *Machine) remind() {
	if m.doc == nil || m.now.Sub(m.lease.heard) < nudgeAfter || m.lease.nextReminder > m.now || m.claimRank() >= reminders {
		return
	}
	m.lease.nextReminder = m.now.Add(nudgeEvery)
	if leader := m.doc.Members[m.doc.Leader.Name]; leader != nil && leader.Name != m.p.Self.Name {
		m.send(leader.Addr, m.documentMessage())
		m.ready.Configs = append(m.ready.Configs, ConfigDiffers{Addr: leader.Addr})
	}
}

// read asks for the document unless a read is under way or was made recently.
func (m *Machine) read(every time.Duration) {
	if m.reading || m.nextRead > m.now {
		return
	}
	m.reading = true
	m.nextRead = m.now.Add(every)
	m.ready.Read = true
}

// documentRead takes the platform's answer. A document that lists this
// incarnation proves that nobody had taken its rows when the read was served.
func (m *Machine) documentRead(e DocumentRead) {
	m.reading = false
	if m.lead != nil {
		m.lead.unanswered = e.Err != nil
	}
	if e.Err != nil {
		return
	}
	m.readAt = e.SentAt
	if e.Object.Version == 0 {
		m.found()
		return
	}
	if e.Object.Version > m.version {
		doc, err := Decode(e.Object.Value)
		if err != nil {
			m.note("fleet document cannot be used", "version", e.Object.Version, "error", err)
			return
		}
		m.adopt(doc, e.Object.Version)
	}
	m.verified = true
	if e.Object.Version < m.version {
		return
	}
	if m.lead != nil {
		m.lead.proofAt = max(m.lead.proofAt, e.SentAt)
		return
	}
	m.resuming = nil
	if self := m.doc.Members[m.p.Self.Name]; self != nil && self.MemberRef == m.p.Self && !self.Evicted {
		m.extend(e.SentAt)
	}
}

// extend renews the lease from when the renewal was asked for.
func (m *Machine) extend(from clock.Mono) {
	until := from.Add(m.p.Timing.Lease)
	if m.lease.until < m.now && until > m.now {
		m.note("lease held", "left", until.Sub(m.now))
	}
	m.lease.until = max(m.lease.until, until)
}

// adopt takes a newer document.
func (m *Machine) adopt(doc *Document, version uint64) {
	if version <= m.version {
		return
	}
	if m.doc == nil || doc.Term > m.doc.Term {
		m.note("leader known", "term", doc.Term, "leader", doc.Leader.String(), "version", version)
		if doc.Leader != m.p.Self {
			m.lease.heard = max(m.lease.heard, m.now)
			m.lease.unproven = false
		}
	}
	m.doc = doc
	m.version = version
	m.dirty = true
	m.past = append(m.past, pastDocument{version, doc})
	if len(m.past) > keptDocuments {
		m.past = m.past[1:]
	}
	if m.lead != nil && (doc.Leader != m.p.Self || doc.Resigned) {
		m.stepDown()
	}
	m.local.prune(doc, m.p.Self.Name)
}

func (m *Machine) send(addr string, c *wire.Control) {
	c.FromName = m.p.Self.Name
	c.FromIncarnation = m.p.Self.Incarnation
	m.ready.Messages = append(m.ready.Messages, Outgoing{Addr: addr, Body: c})
}

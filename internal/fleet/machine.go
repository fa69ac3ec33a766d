// Package fleet decides which node owns which keys, and until when. It is a
// deterministic state machine: it reads no clock, does no I/O and starts no
// goroutine. The caller passes the time with each event.
//
// The only persistent state is one object in the platform's store, the fleet
// document, which changes by conditional updates only. One node is the leader:
// it writes the document and renews the nodes' leases. A node grants rows to
// its local backend server, never for longer than its own lease.
package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/quarantine"
	"fulmarhinge/internal/wire"
)

// Timing holds the durations that all nodes of a fleet must agree on.
type Timing struct {
	// Lease is the duration of a lease, counted from when its renewal was
	// requested.
	Lease time.Duration
	// MaxHold is the longest hold that a backend server accepts. A hold is the
	// time for which it may serve the rows granted to it.
	MaxHold time.Duration
	// MaxProofAge is how old the leader's last proof of its term may be while
	// it renews leases.
	MaxProofAge time.Duration
	// MaxOutage is how long a leader that a majority follows may renew leases
	// without a proof from the platform.
	MaxOutage time.Duration
}

// DefaultTiming returns the timing for backend servers that report about once a
// second.
func DefaultTiming() Timing {
	return Timing{
		Lease:       3500 * time.Millisecond,
		MaxHold:     10 * time.Second,
		MaxProofAge: 2 * time.Second,
		MaxOutage:   30 * time.Second,
	}
}

// Intervals, timeouts and limits of every node.
const (
	// statusInterval is the time between two statuses sent to the leader. It is
	// a small part of the lease, so that a lease survives the loss of several
	// statuses in a row.
	statusInterval = 350 * time.Millisecond
	// statusesPerLoadReport is the number of statuses of which one carries the
	// measured load.
	statusesPerLoadReport = 3
	// leaderSilenceTimeout is how long the leader may be silent before the
	// members that may claim first read the document from the platform
	// themselves.
	leaderSilenceTimeout = 900 * time.Millisecond
	// ownReadTimeout is the same for all other members. It leaves time to renew
	// the lease by a read.
	ownReadTimeout = 2200 * time.Millisecond
	// readInterval is the least time between two such reads.
	readInterval = 500 * time.Millisecond
	// claimTimeout is how long the leader may be silent before a follower
	// claims the leadership.
	claimTimeout = 1300 * time.Millisecond
	// claimStagger is the extra delay per claim rank, which keeps followers
	// from claiming at the same time.
	claimStagger = 150 * time.Millisecond
	// unprovenLeaderTimeout is how long followers wait before they replace a
	// leader that answers them but reports that the platform has not confirmed
	// its term recently.
	unprovenLeaderTimeout = 300 * time.Millisecond
	// writeRetryDelay is the delay before the next write after a failed one.
	writeRetryDelay = 250 * time.Millisecond
	// claimCandidates is the number of followers that may claim first, and
	// lateClaimStagger the extra delay per rank of the others. Only they call
	// the platform while another leader is likely to be found soon.
	claimCandidates  = 8
	lateClaimStagger = 20 * time.Millisecond
	// configStandbys is the number of followers that watch the configuration in
	// the platform beside the leader.
	configStandbys = 2
	// maxLeaderResenders is how many followers send the document to a silent
	// leader.
	maxLeaderResenders = 2
	// maxClockDriftPercent bounds how much slower than another clock a clock
	// may run.
	maxClockDriftPercent = 2
)

// Params are the parameters of a node that stay the same while its process
// runs.
type Params struct {
	Self cluster.MemberRef
	// Addr is the IP:port of the node's peer listener.
	Addr string
	Zone string
	// Weight is the capacity of the node's VM relative to other nodes. The
	// leadership moves to nodes of higher capacity.
	Weight float64
	// LinkMbps is the bandwidth of the VM's link in Mbit/s; 0 means no limit.
	LinkMbps float64
	// OperatorAddr is the IP:port of the node's endpoint for operators.
	OperatorAddr string
	// Nonce makes the change ids of this process unique.
	Nonce  string
	Timing Timing
	// Rows bounds the rows in the answer to a report.
	Rows RowLimit
	// NewFleet is true while the fleet starts for the first time: a missing
	// document means that there never was one.
	NewFleet bool
}

// Machine is the state of one node. It is not safe for concurrent use: one
// goroutine owns it.
type Machine struct {
	params Params
	now    clock.Mono

	doc     *Document
	version uint64
	// era is the highest known era of the store, and eraKnownAt when it became
	// known.
	era        uint64
	eraKnownAt clock.Mono
	// verified is true once the document has been read from or written to the
	// platform by this node, and not only received from a peer.
	verified bool
	// keyedServices holds the services that are divided by ordered keys.
	keyedServices map[string]bool
	configVersion uint64
	configReads   configReads
	// suspectsDigest is the digest of what this node knows of requests under which
	// backend servers have ended.
	suspectsDigest uint64
	// suspects holds those that are to be stored; suspectsKnown is false while that may
	// not be all of them.
	suspects      []quarantine.Entry
	suspectsKnown bool
	// suspectsDifferAt is since when the document holds others; 0 if it does not.
	suspectsDifferAt clock.Mono
	// suspectsHurriedAt is when a plan was last made at once for a new end.
	suspectsHurriedAt clock.Mono
	// suspectEnds counts the ends that this node has learned, those in suspectsTaken are
	// planned to be stored and suspectEndsStored of them have been dealt with.
	suspectEnds, suspectEndsStored uint64
	suspectsTaken                  takenSuspects
	// configStandby is true if this node watches the configuration although it
	// is not the leader.
	configStandby bool

	lease      leaseState
	local      localServer
	leadership *leadership
	// resuming is set while this node, as the leader's restarted process, asks
	// the followers whether it may continue the term.
	resuming *leadership

	readInFlight bool
	nextRead     clock.Mono
	// lastReadAt is when the last successful read was sent.
	lastReadAt clock.Mono
	// pendingWrite is the document of the write in flight, nil if there is
	// none. The write is for the document of pendingWriteEra and expects the version
	// pendingWriteExpected.
	pendingWrite         *Document
	pendingWriteEra      uint64
	pendingWriteExpected uint64
	// undecided holds writes whose answers were lost. Any of them may still
	// take effect while the document has the version undecidedVersion, which
	// they expect.
	undecided        []*Document
	undecidedVersion uint64
	// predecessorEnded is true if the claim in flight follows a leader that can
	// no longer renew a lease.
	predecessorEnded bool
	stopping         bool
	// malformedSenders holds the peers whose malformed messages were logged.
	malformedSenders map[string]bool
	changeSeq        uint64
	// encodedDoc caches the stored form of encodedFrom.
	encodedDoc  []byte
	encodedFrom *Document

	// recentDocuments holds the last documents by version, to send changes
	// relative to them.
	recentDocuments []versionedDocument

	ready      Ready
	docChanged bool
}

// versionedDocument is a document that peers may still have.
type versionedDocument struct {
	version uint64
	doc     *Document
}

// maxRecentDocuments is how many documents are kept to compute changes from.
const maxRecentDocuments = 12

// leaseState is the state of the node's own lease.
type leaseState struct {
	until clock.Mono
	seq   uint64
	// sentAt holds when each unanswered status was sent, by sequence number.
	sentAt     map[uint64]clock.Mono
	nextStatus clock.Mono
	// nextLeaderResend is when a silent leader may next be sent the document.
	nextLeaderResend clock.Mono
	// leaderLastSeenAt is when the leader last answered, a newer document was
	// received from a peer, or a leader of a new term became known. It is also
	// set when this node starts or loses the leadership.
	leaderLastSeenAt clock.Mono
	// lastAnswerAt is when a leader last answered a status of this node, or this
	// node last was the leader.
	lastAnswerAt clock.Mono
	// echo is the stamp of the last answer, which the next status returns to
	// the leader. echoFrom and echoTerm are the incarnation and the term of the
	// leader that sent it.
	echo     int64
	echoFrom uint64
	echoTerm uint64
	// promise is the leader's promise not to write the document.
	promise promise
	// leaderUnproven is true if the leader reports that the platform has not
	// confirmed its term recently, and leaderUnprovenSince is when it first
	// reported so.
	leaderUnproven      bool
	leaderUnprovenSince clock.Mono
	// restartAcceptedVersion is the version of the document under which the
	// leader lets this incarnation act for the earlier one that the document
	// lists; 0 if none.
	restartAcceptedVersion uint64
}

// New returns the machine of a node that has not received any event.
func New(now clock.Mono, p Params) *Machine {
	m := &Machine{params: p, now: now, keyedServices: map[string]bool{}, docChanged: true}
	m.lease.sentAt = map[uint64]clock.Mono{}
	// A late answer to a status of an earlier process must not be taken for one to this.
	m.lease.seq = xxhash.Sum64String(p.Nonce) >> 16
	m.lease.leaderLastSeenAt = now
	m.configReads.nextAt = now.Add(configReadInterval)
	m.local = newLocalServer(now.Add(p.Timing.Lease))
	return m
}

// Event is an input of the machine.
type Event interface{ event() }

type (
	// Tick reports that time has passed.
	Tick struct{}
	// Message is a control message of a peer.
	Message struct {
		From cluster.MemberRef
		Body *wire.Control
	}
	// DocumentRead is the answer to a read of the document in an era of the
	// store. If that era has no document, Object is the one of an earlier era
	// that the store's copy contains, with version 0 if there is none either.
	DocumentRead struct {
		Object platform.Object
		Era    uint64
		SentAt clock.Mono
		Err    error
	}
	// DocumentWritten is the answer to a write. A conflict and a lost answer
	// are errors, after which the document is read again.
	DocumentWritten struct {
		Version uint64
		SentAt  clock.Mono
		Err     error
	}
	// ConfigChanged lists the services that are divided by ordered keys.
	ConfigChanged struct {
		Version       uint64
		KeyedServices map[string]bool
	}
	// SuspectsChanged reports the digest of what this node knows of requests under
	// which backend servers have ended, and those that are to be stored. Complete is
	// true once this node also knows what the first document that it had contains. Ends
	// counts the ends that this process has learned.
	SuspectsChanged struct {
		Digest   uint64
		Stored   []quarantine.Entry
		Complete bool
		Ends     uint64
	}
	// ServerDown reports that the backend server's address refuses connections,
	// so its process has ended.
	ServerDown struct{ Instance Instance }
	// LoadSampled is the load that the gate measured since the previous sample.
	LoadSampled struct {
		Spans []*wire.SpanLoad
		// MeanServiceTime is the mean service time; 0 if nothing was served.
		MeanServiceTime time.Duration
	}
	// StopRequested starts a planned stop.
	StopRequested struct{}
)

func (Tick) event()            {}
func (Message) event()         {}
func (DocumentRead) event()    {}
func (DocumentWritten) event() {}
func (ConfigChanged) event()   {}
func (SuspectsChanged) event() {}
func (ServerDown) event()      {}
func (LoadSampled) event()     {}
func (StopRequested) event()   {}

// Write is a conditional update of the document of an era. If Expected is 0, the
// era must not have a document yet.
type Write struct {
	Era      uint64
	Expected uint64
	Value    []byte
}

// Outgoing is a message to send. It may be lost, delayed or duplicated.
type Outgoing struct {
	Addr string
	Body *wire.Control
}

// Note is an entry for the log and the event timeline.
type Note struct {
	Text string
	Args []any
}

// ConfigDiffers reports that a member has a different version of the
// configuration.
type ConfigDiffers struct {
	Addr    string
	Version uint64
}

// Ready holds the actions that the caller must carry out after a step.
type Ready struct {
	// Document is the document, nil if it has not changed.
	Document *Document
	Version  uint64
	Messages []Outgoing
	Read     bool
	// ReadConfig requests a read of the configuration.
	ReadConfig bool
	Write      *Write
	Notes      []Note
	// Configs lists the members whose configuration version differs from this
	// node's.
	Configs []ConfigDiffers
	// Suspects lists the addresses of members that know other suspects than this node.
	Suspects []string
	// Held is the set of rows that the gate may use, nil if it has not changed.
	Held *Held
}

// Step applies one event that happened at now. A time before that of an earlier
// event is replaced by the earlier event's time.
func (m *Machine) Step(now clock.Mono, ev Event) {
	m.now = max(m.now, now)
	switch e := ev.(type) {
	case Tick:
		m.tick()
	case Message:
		m.handleMessage(e)
	case DocumentRead:
		m.handleDocumentRead(e)
	case DocumentWritten:
		m.handleDocumentWritten(e)
	case ConfigChanged:
		if e.Version >= m.configVersion {
			m.configVersion, m.keyedServices = e.Version, e.KeyedServices
		}
	case EvacuationsListed:
		m.handleEvacuationsListed(e)
	case SuspectsChanged:
		m.handleSuspectsChanged(e)
	case ServerDown:
		m.handleServerDown(e.Instance)
	case ServerNotice:
		m.handleServerNotice(e)
	case LoadSampled:
		m.local.loads = e.Spans
		m.local.observeServiceTime(e.MeanServiceTime)
	case StopRequested:
		m.stopping = true
		m.lease.nextStatus = m.now
	}
}

// Ready returns the pending actions and clears them.
func (m *Machine) Ready() Ready {
	r := m.ready
	m.ready = Ready{}
	if m.docChanged && m.doc != nil {
		r.Document = m.doc
		r.Version = m.version
		m.docChanged = false
	}
	return r
}

// Leads reports whether this node considers itself the leader.
func (m *Machine) Leads() bool { return m.leadership != nil }

// LeaseUntil returns the end of the node's lease.
func (m *Machine) LeaseUntil() clock.Mono { return m.lease.until }

func (m *Machine) tick() {
	m.checkServerSilence()
	m.sendStatus()
	m.checkLeader()
	m.requestConfigRead()
	if m.leadership != nil {
		m.tickLeader()
	}
}

func (m *Machine) note(text string, args ...any) {
	m.ready.Notes = append(m.ready.Notes, Note{Text: text, Args: args})
}

// extendLease extends the lease, counted from the time at which the renewal was
// requested.
func (m *Machine) extendLease(from clock.Mono) {
	until := from.Add(m.params.Timing.Lease)
	if m.lease.until < m.now && until > m.now {
		m.note("lease held", "left", until.Sub(m.now))
	}
	m.lease.until = max(m.lease.until, until)
}

// installDocument replaces the document if the given one is newer.
func (m *Machine) installDocument(doc *Document, version uint64) {
	if version <= m.version {
		return
	}
	if m.doc == nil || doc.Term > m.doc.Term {
		m.note("leader of a new term is known", "term", doc.Term, "leader", doc.Leader.String(), "version", platform.FormatVersion(version))
		if doc.Leader != m.params.Self {
			m.lease.leaderLastSeenAt = max(m.lease.leaderLastSeenAt, m.now)
			m.lease.leaderUnproven = false
		}
	}
	newEra := m.doc == nil || platform.EraOf(version) > platform.EraOf(m.version)
	m.noteEvacuations(m.doc, doc)
	m.doc = doc
	m.version = version
	m.configStandby = m.claimRank() < configStandbys
	m.docChanged = true
	m.observeEra(platform.EraOf(version))
	m.recentDocuments = append(m.recentDocuments, versionedDocument{version, doc})
	if len(m.recentDocuments) > maxRecentDocuments {
		m.recentDocuments = m.recentDocuments[1:]
	}
	m.updateLeadership()
	if doc.Leader == m.params.Self {
		m.broadcast()
	}
	m.local.prune(doc, m.params.Self.Name)
	m.adoptDeparture()
	if newEra && doc.Recovered {
		m.releaseUngranted()
	}
}

func (m *Machine) send(addr string, c *wire.Control) {
	c.FromName = m.params.Self.Name
	c.FromIncarnation = m.params.Self.Incarnation
	m.ready.Messages = append(m.ready.Messages, Outgoing{Addr: addr, Body: c})
}

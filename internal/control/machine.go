package control

import (
	"fmt"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/lease"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/timeline"
	"fulmarhinge/internal/view"
	"fulmarhinge/internal/wire"
)

// Params are a node's fixed properties and timing parameters.
type Params struct {
	// Self holds the node's name, addresses, zone, region and boot id.
	Self cluster.Member
	// Nonce makes the change ids of this process unique.
	Nonce string
	Lease lease.Params
	// WitnessCount is the size of a full witness set.
	WitnessCount int
	// StopTimeout bounds a planned stop whose units can't be handed over.
	StopTimeout time.Duration
}

// phase is the node's progress in joining the fleet.
type phase int

const (
	// phaseLoading: not all initial lists have been received.
	phaseLoading phase = iota
	// phaseJoining: the member object of this incarnation is not yet written.
	phaseJoining
	// phaseJoined: the platform records this incarnation as alive.
	phaseJoined
	// phaseLeft: this incarnation has stopped cleanly.
	phaseLeft
)

// storedObject is the newest known version of a platform object.
type storedObject struct {
	version uint64
	value   []byte
}

// Machine is the control state of one node. It is not safe for concurrent use;
// a single goroutine owns it.
type Machine struct {
	params Params
	now    clock.Mono
	phase  phase
	self   cluster.MemberRef

	objects       map[string]storedObject
	digest        uint64
	members       map[string]*cluster.Member
	lastMessageAt map[string]clock.Mono
	groups        map[string]*cluster.Group
	goneAt        map[cluster.MemberRef]clock.Mono
	derived       derivedState
	// memberChanges and placementChanges count the changes of members and of
	// placement.
	memberChanges    uint64
	placementChanges uint64
	config           *config.Config
	// assembler caches the decoded parts of the revision in force.
	assembler  *config.Assembler
	head       config.Head
	headSeenAt clock.Mono
	// knownRevision is the newest revision that the head or any peer has
	// named, knownSince the time since when a revision newer than the one in
	// force has been known.
	knownRevision uint64
	knownSince    clock.Mono
	configStale   bool
	// headSource is the peer that sent the head, or fromPlatform.
	headSource     string
	maxRequestTime map[string]time.Duration

	holder  *lease.Holder
	witness *lease.Witness
	own     ownState
	platformWatch
	gossip
	evictions     map[string]*eviction
	units         unitState
	control       map[string]*serviceControl
	pendingWrites map[uint64]pendingWrite
	writeIDByKey  map[string]uint64
	nextID        uint64

	listRetryAt      map[string]clock.Mono
	listed           map[string]bool
	readBlockedUntil map[string]clock.Mono
	nextRenew        clock.Mono
	ready            Ready
	viewDirty        bool
	tables           map[string]*view.Table
	staleTables      map[string]bool
}

// pendingWrite is a write that has not been answered yet.
type pendingWrite struct {
	key      string
	expected uint64
	value    []byte
	changeID string
	done     func(Outcome)
}

// New returns a machine without any observed state.
func New(p Params) *Machine {
	m := &Machine{
		params:           p,
		objects:          map[string]storedObject{},
		members:          map[string]*cluster.Member{},
		lastMessageAt:    map[string]clock.Mono{},
		assembler:        config.NewAssembler(),
		groups:           map[string]*cluster.Group{},
		goneAt:           map[cluster.MemberRef]clock.Mono{},
		maxRequestTime:   map[string]time.Duration{},
		evictions:        map[string]*eviction{},
		control:          map[string]*serviceControl{},
		pendingWrites:    map[uint64]pendingWrite{},
		writeIDByKey:     map[string]uint64{},
		listRetryAt:      map[string]clock.Mono{},
		listed:           map[string]bool{},
		readBlockedUntil: map[string]clock.Mono{},
		tables:           map[string]*view.Table{},
		staleTables:      map[string]bool{},
		viewDirty:        true,
	}
	m.gossip.init()
	m.resetIncarnation()
	return m
}

// resetIncarnation discards all state that belongs to one incarnation.
func (m *Machine) resetIncarnation() {
	m.holder = lease.NewHolder(m.params.Lease)
	m.witness = lease.NewWitness(m.params.Lease)
	m.units.init()
	m.own = ownState{backend: m.own.backend, draining: m.own.draining, drainStarted: m.own.drainStarted, rejoinAt: m.own.rejoinAt, rejoinAttempts: m.own.rejoinAttempts}
	m.evictions = map[string]*eviction{}
	m.membersChanged()
	m.viewDirty = true
}

// Step handles one event that happened at time now. The machine's time never
// goes back: an earlier now is replaced by the time of the previous step.
func (m *Machine) Step(now clock.Mono, ev Event) {
	m.now = max(m.now, now)
	switch e := ev.(type) {
	case Tick:
		m.tick()
	case Message:
		m.handleMessage(e.Body)
	case Observed:
		m.observeAll(e.Objects, fromPlatform)
	case Listed:
		m.onListed(e)
	case ReadDone:
		m.onReadDone(e)
	case WriteDone:
		m.onWriteDone(e)
	case BackendChanged:
		m.own.backend = e.Info
		m.reconcileSelf()
	case DrainRequested:
		m.beginDrain()
	case EvictRequested:
		m.onEvictRequested(e)
	case UnitIdle:
		m.onUnitIdle(e)
	case InFlight:
		m.own.inFlight = e.Total
	case LoadSampled:
		m.onLoadSampled(e)
	}
}

// tick does all work that is due by time.
func (m *Machine) tick() {
	m.expireReadBlocks()
	m.requestMissingLists()
	m.reconcileSelf()
	m.renewIfDue()
	m.checkOwnLease()
	m.evictExpiredHolders()
	m.advanceEvictions()
	m.advanceUnits()
	m.assembleConfig()
	m.controlServices()
	m.watchPlatform()
	m.finishDrain()
}

// Ready returns the pending actions and clears them.
func (m *Machine) Ready() Ready {
	m.flushGossip()
	r := m.ready
	m.ready = Ready{}
	r.LeaseUntil = m.leaseUntil()
	r.Self = m.self
	r.Watch = m.watching
	r.Done = m.phase == phaseLeft
	r.Stopping = m.stoppingUnits()
	if m.viewDirty {
		r.View = m.buildView()
		m.viewDirty = false
	}
	return r
}

// leaseUntil returns the time until which this node may dispatch. A node that
// leaves gives up its lease before it writes its new state: the write may take
// effect long before its answer arrives, and from then on other nodes take
// over its units without waiting.
func (m *Machine) leaseUntil() clock.Mono {
	if m.phase != phaseJoined || m.own.leaving {
		return 0
	}
	return m.holder.Until()
}

// leased reports whether the node holds a lease at the time of the current
// step.
func (m *Machine) leased() bool { return m.leaseUntil() > m.now }

func (m *Machine) send(to cluster.MemberRef, addr string, c *wire.Control) {
	c.FromName = m.self.Name
	c.FromIncarnation = m.self.Incarnation
	c.ToIncarnation = to.Incarnation
	m.ready.Messages = append(m.ready.Messages, Outgoing{To: to, Addr: addr, Body: c})
}

// sendToMember sends a message to another member by name, if that member is
// known and alive.
func (m *Machine) sendToMember(name string, c *wire.Control) {
	p := m.members[name]
	if p == nil || p.State.Gone() || name == m.self.Name {
		return
	}
	m.send(p.MemberRef, p.PeerAddr, c)
}

func (m *Machine) recordEvent(e timeline.Event) { m.ready.Events = append(m.ready.Events, e) }

func (m *Machine) changeID() string {
	m.nextID++
	return fmt.Sprintf("%s-%s-%d", m.params.Self.Name, m.params.Nonce, m.nextID)
}

// write starts a conditional update. done is called with its outcome.
func (m *Machine) write(key string, expected uint64, value []byte, changeID string, done func(Outcome)) {
	m.nextID++
	id := m.nextID
	m.pendingWrites[id] = pendingWrite{key: key, expected: expected, value: value, changeID: changeID, done: done}
	m.writeIDByKey[key] = id
	m.ready.Writes = append(m.ready.Writes, Write{ID: id, Key: key, ExpectedVersion: expected, Value: value})
}

// onWriteDone handles the answer to a write. The result of an applied write is
// observed like any other object.
func (m *Machine) onWriteDone(e WriteDone) {
	w, ok := m.pendingWrites[e.ID]
	if !ok {
		return
	}
	delete(m.pendingWrites, e.ID)
	delete(m.writeIDByKey, w.key)
	if e.Outcome == Applied {
		m.observeAll([]platform.Object{{Key: w.key, Version: e.Version, Value: w.value}}, fromPlatform)
	} else if e.Outcome != NotApplied {
		m.read(w.key)
	}
	w.done(e.Outcome)
}

// readInterval is the minimum pause between two reads of one object.
const readInterval = 200 * time.Millisecond

// readTimeout is the time after which an unanswered read is abandoned.
const readTimeout = 5 * time.Second

// read requests an object unless a read of it is under way or has just ended.
func (m *Machine) read(key string) {
	if m.readBlockedUntil[key] > m.now {
		return
	}
	m.readBlockedUntil[key] = m.now.Add(readTimeout)
	m.ready.Reads = append(m.ready.Reads, key)
}

// readNow is like read, but does not wait for the pause after an earlier read.
func (m *Machine) readNow(key string) {
	if m.readBlockedUntil[key] <= m.now.Add(readInterval) {
		delete(m.readBlockedUntil, key)
	}
	m.read(key)
}

// expireReadBlocks removes read timeouts and pauses that are over.
func (m *Machine) expireReadBlocks() {
	for k, until := range m.readBlockedUntil {
		if until <= m.now {
			delete(m.readBlockedUntil, k)
		}
	}
}

func (m *Machine) onReadDone(e ReadDone) {
	m.readBlockedUntil[e.Object.Key] = m.now.Add(readInterval)
	if !e.Failed && e.Object.Version > 0 {
		m.observeAll([]platform.Object{e.Object}, fromPlatform)
	}
	m.onEvictionRead(e)
	m.onSelfRead(e)
}

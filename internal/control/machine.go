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

// Params are the fixed facts about a node and its timing rules.
type Params struct {
	// Self holds the name, addresses, zone, region and boot id.
	Self cluster.Member
	// Nonce makes the change ids of this process unlike any other's.
	Nonce string
	Lease lease.Params
	// Witnesses is the size that a full witness set has.
	Witnesses int
	// StopTimeout bounds a planned stop that can't hand its units over.
	StopTimeout time.Duration
}

// phase is how far the node has come in joining the fleet.
type phase int

const (
	// phaseLoading: the first lists are not all there.
	phaseLoading phase = iota
	// phaseJoining: the member object of this incarnation is not written.
	phaseJoining
	// phaseJoined: the platform holds this incarnation as alive.
	phaseJoined
	// phaseLeft: this incarnation has stopped cleanly.
	phaseLeft
)

// storedObject is the newest known version of a platform object.
type storedObject struct {
	version uint64
	value   []byte
}

// Machine is the state of one node's control. It is not safe for concurrent
// use: one goroutine owns it.
type Machine struct {
	params Params
	now    clock.Mono
	phase  phase
	self   cluster.MemberRef

	objects   map[string]storedObject
	digest    uint64
	members   map[string]*cluster.Member
	lastHeard map[string]clock.Mono
	groups    map[string]*cluster.Group
	goneAt    map[cluster.MemberRef]clock.Mono
	derived   derivedState
	// memberChanges and placeRev count the changes of members and of placement.
	memberChanges    uint64
	placementChanges uint64
	config           *config.Config
	// assembler keeps the decoded parts of the revision in force.
	assembler  *config.Assembler
	head       config.Head
	headSeenAt clock.Mono
	// knownRevision is the newest revision that anybody has named, knownAt since when.
	knownRevision uint64
	knownSince    clock.Mono
	configStale   bool
	// headSource is the peer that the head came from.
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

// pendingWrite is a write whose answer has not come.
type pendingWrite struct {
	key      string
	expected uint64
	value    []byte
	changeID string
	done     func(Outcome)
}

// New returns a machine that has seen nothing yet.
func New(p Params) *Machine {
	m := &Machine{
		params:           p,
		objects:          map[string]storedObject{},
		members:          map[string]*cluster.Member{},
		lastHeard:        map[string]clock.Mono{},
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

// resetIncarnation forgets everything that belongs to one incarnation.
func (m *Machine) resetIncarnation() {
	m.holder = lease.NewHolder(m.params.Lease)
	m.witness = lease.NewWitness(m.params.Lease)
	m.units.init()
	m.own = ownState{backend: m.own.backend, draining: m.own.draining, drainStarted: m.own.drainStarted, rejoinAt: m.own.rejoinAt, rejoinAttempts: m.own.rejoinAttempts}
	m.evictions = map[string]*eviction{}
	m.membersChanged()
	m.viewDirty = true
}

// Step takes one event that happened at now. Time never goes back.
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

// tick does everything that is due by time.
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

// Ready returns what is to be done and forgets it.
func (m *Machine) Ready() Ready {
	m.flushGossip()
	r := m.ready
	m.ready = Ready{}
	r.Lease = m.leaseUntil()
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

// leaseUntil returns until when this node may dispatch. A node that leaves ends
// its lease before it writes that it left: the write may take effect long
// before its answer arrives, and from then on others take its units at once.
func (m *Machine) leaseUntil() clock.Mono {
	if m.phase != phaseJoined || m.own.leaving {
		return 0
	}
	return m.holder.Until()
}

// leased reports whether the lease holds at the time of the present step.
func (m *Machine) leased() bool { return m.leaseUntil() > m.now }

func (m *Machine) send(to cluster.MemberRef, addr string, c *wire.Control) {
	c.FromName = m.self.Name
	c.FromIncarnation = m.self.Incarnation
	c.ToIncarnation = to.Incarnation
	m.ready.Messages = append(m.ready.Messages, Outgoing{To: to, Addr: addr, Body: c})
}

// sendToMember sends to a member by name, if it is known and alive.
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

// write starts a conditional update. done is called with what is known of it.
func (m *Machine) write(key string, expected uint64, value []byte, changeID string, done func(Outcome)) {
	m.nextID++
	id := m.nextID
	m.pendingWrites[id] = pendingWrite{key: key, expected: expected, value: value, changeID: changeID, done: done}
	m.writeIDByKey[key] = id
	m.ready.Writes = append(m.ready.Writes, Write{ID: id, Key: key, Expected: expected, Value: value})
}

// onWriteDone takes a write's answer. A write that was applied is an
// observation like any other.
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

// readInterval is the least pause between two reads of one object.
const readInterval = 200 * time.Millisecond

// readTimeout is when a read without an answer is no longer waited for.
const readTimeout = 5 * time.Second

// read asks for an object unless a read of it is under way or has just ended.
func (m *Machine) read(key string) {
	if m.readBlockedUntil[key] > m.now {
		return
	}
	m.readBlockedUntil[key] = m.now.Add(readTimeout)
	m.ready.Reads = append(m.ready.Reads, key)
}

// readNow is like read without the pause.
func (m *Machine) readNow(key string) {
	if m.readBlockedUntil[key] <= m.now.Add(readInterval) {
		delete(m.readBlockedUntil, key)
	}
	m.read(key)
}

// expireReadBlocks drops the pauses that are over.
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

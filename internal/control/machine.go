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

// stored is the newest known version of a platform object.
type stored struct {
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

	objects map[string]stored
	digest  uint64
	members map[string]*cluster.Member
	heardAt map[string]clock.Mono
	groups  map[string]*cluster.Group
	gone    map[cluster.MemberRef]clock.Mono
	derived derived
	// memberRev and placeRev count the changes of members and of placement.
	memberRev uint64
	placeRev  uint64
	config    *config.Config
	// assembler keeps the decoded parts of the revision in force.
	assembler *config.Assembler
	head      config.Head
	headAt    clock.Mono
	// known is the newest revision that anybody has named, knownAt since when.
	known   uint64
	knownAt clock.Mono
	wasLate bool
	// headFrom is the peer that the head came from.
	headFrom string
	maxTime  map[string]time.Duration

	holder  *lease.Holder
	witness *lease.Witness
	own     ownState
	membership
	gossip
	evictions map[string]*eviction
	units     unitState
	control   map[string]*serviceControl
	writes    map[uint64]pendingWrite
	writing   map[string]uint64
	nextID    uint64

	lists     map[string]clock.Mono
	listed    map[string]bool
	reading   map[string]clock.Mono
	nextRenew clock.Mono
	ready     Ready
	dirty     bool
	tables    map[string]*view.Table
	staleTab  map[string]bool
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
		params:    p,
		objects:   map[string]stored{},
		members:   map[string]*cluster.Member{},
		heardAt:   map[string]clock.Mono{},
		assembler: config.NewAssembler(),
		groups:    map[string]*cluster.Group{},
		gone:      map[cluster.MemberRef]clock.Mono{},
		maxTime:   map[string]time.Duration{},
		evictions: map[string]*eviction{},
		control:   map[string]*serviceControl{},
		writes:    map[uint64]pendingWrite{},
		writing:   map[string]uint64{},
		lists:     map[string]clock.Mono{},
		listed:    map[string]bool{},
		reading:   map[string]clock.Mono{},
		tables:    map[string]*view.Table{},
		staleTab:  map[string]bool{},
		dirty:     true,
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
	m.own = ownState{backend: m.own.backend, drain: m.own.drain, drainAt: m.own.drainAt, rejoinAt: m.own.rejoinAt, rejoins: m.own.rejoins}
	m.evictions = map[string]*eviction{}
	m.membersChanged()
	m.dirty = true
}

// Step takes one event that happened at now. Time never goes back.
func (m *Machine) Step(now clock.Mono, ev Event) {
	m.now = max(m.now, now)
	switch e := ev.(type) {
	case Tick:
		m.tick()
	case Message:
		m.message(e.Body)
	case Observed:
		m.observeAll(e.Objects, noPeer)
	case Listed:
		m.listedDone(e)
	case ReadDone:
		m.readDone(e)
	case WriteDone:
		m.writeDone(e)
	case BackendChanged:
		m.own.backend = e.Info
		m.reconcileSelf()
	case DrainRequested:
		m.beginDrain()
	case EvictRequested:
		m.orderEviction(e)
	case UnitIdle:
		m.unitIdle(e)
	case InFlight:
		m.own.inFlight = e.Total
	case LoadSampled:
		m.sampleLoad(e)
	}
}

// tick does everything that is due by time.
func (m *Machine) tick() {
	m.forgetReads()
	m.loadMissing()
	m.reconcileSelf()
	m.renewIfDue()
	m.checkOwnLease()
	m.watchHolders()
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
	if m.dirty {
		r.View = m.buildView()
		m.dirty = false
	}
	return r
}

// leaseUntil returns until when this node may dispatch. A node that leaves ends
// its lease before it writes that it left: the write may take effect long
// before its answer arrives, and from then on others take its units at once.
func (m *Machine) leaseUntil() clock.Mono {
	if m.phase != phaseJoined || m.own.left {
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

// sendTo sends to a member by name, if it is known and alive.
func (m *Machine) sendTo(name string, c *wire.Control) {
	p := m.members[name]
	if p == nil || p.State.Gone() || name == m.self.Name {
		return
	}
	m.send(p.MemberRef, p.PeerAddr, c)
}

func (m *Machine) event(e timeline.Event) { m.ready.Events = append(m.ready.Events, e) }

func (m *Machine) changeID() string {
	m.nextID++
	return fmt.Sprintf("%s-%s-%d", m.params.Self.Name, m.params.Nonce, m.nextID)
}

// write starts a conditional update. done is called with what is known of it.
func (m *Machine) write(key string, expected uint64, value []byte, changeID string, done func(Outcome)) {
	m.nextID++
	id := m.nextID
	m.writes[id] = pendingWrite{key: key, expected: expected, value: value, changeID: changeID, done: done}
	m.writing[key] = id
	m.ready.Writes = append(m.ready.Writes, Write{ID: id, Key: key, Expected: expected, Value: value})
}

// writeDone takes a write's answer. A write that was applied is an
// observation like any other.
func (m *Machine) writeDone(e WriteDone) {
	w, ok := m.writes[e.ID]
	if !ok {
		return
	}
	delete(m.writes, e.ID)
	delete(m.writing, w.key)
	if e.Outcome == Applied {
		m.observeAll([]platform.Object{{Key: w.key, Version: e.Version, Value: w.value}}, noPeer)
	} else if e.Outcome != NotApplied {
		m.read(w.key)
	}
	w.done(e.Outcome)
}

// readAgainAfter is the least pause between two reads of one object.
const readAgainAfter = 200 * time.Millisecond

// readAbandonedAfter is when a read without an answer is no longer waited for.
const readAbandonedAfter = 5 * time.Second

// read asks for an object unless a read of it is under way or has just ended.
func (m *Machine) read(key string) {
	if m.reading[key] > m.now {
		return
	}
	m.reading[key] = m.now.Add(readAbandonedAfter)
	m.ready.Reads = append(m.ready.Reads, key)
}

// readNow is like read without the pause.
func (m *Machine) readNow(key string) {
	if m.reading[key] <= m.now.Add(readAgainAfter) {
		delete(m.reading, key)
	}
	m.read(key)
}

// forgetReads drops the pauses that are over.
func (m *Machine) forgetReads() {
	for k, until := range m.reading {
		if until <= m.now {
			delete(m.reading, k)
		}
	}
}

func (m *Machine) readDone(e ReadDone) {
	m.reading[e.Object.Key] = m.now.Add(readAgainAfter)
	if !e.Failed && e.Object.Version > 0 {
		m.observeAll([]platform.Object{e.Object}, noPeer)
	}
	m.evictionRead(e)
	m.selfRead(e)
}

package control

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/lease"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/view"
	"fulmarhinge/internal/wire"
)

// The fleet simulates several nodes in one deterministic order of events with
// injected faults, and checks after each step which nodes may dispatch.

const (
	simStep      = 10 * time.Millisecond
	tickInterval = 50 * time.Millisecond
	// maxDrift is the maximum clock drift that the lease parameters allow for.
	maxDrift = 0.005
	// maxRunTime bounds the run time of one request at a backend server.
	maxRunTime = 300 * time.Millisecond
)

var testLease = lease.Params{PromiseDuration: 1700 * time.Millisecond, RenewInterval: 700 * time.Millisecond, DriftPercent: 1}

// runningRequest is a request in flight at a node's backend server.
type runningRequest struct {
	unit  cluster.Unit
	owner cluster.MemberRef
	epoch uint64
	end   time.Duration
}

type simNode struct {
	name   string
	zone   string
	params Params
	m      *Machine
	// clockRate is the rate of the node's clock relative to the simulated
	// time.
	clockRate   float64
	alive       bool
	pausedUntil time.Duration
	view        *view.View
	lease       clock.Mono
	done        bool
	backend     string
	stopping    []UnitIdle
	runs        []runningRequest
	nextTick    time.Duration
	// hidesKey reports whether the object of a key is hidden from the node.
	hidesKey func(key string) bool
}

type delivery struct {
	at      time.Duration
	seq     int
	to      *simNode
	machine *Machine
	event   Event
}

type fleet struct {
	rng        *rand.Rand
	now        time.Duration
	nodes      []*simNode
	store      map[string]platform.Object
	queue      []delivery
	seq        int
	cutLinks   map[[2]string]bool
	storeDown  bool
	storeDelay time.Duration
	// writeAnswersToLose is the number of next writes whose answers are lost.
	writeAnswersToLose int
	duplicateMessages  bool
	highestEpoch       map[cluster.Unit]uint64
	failure            string
	// requestsOutliveEviction is set for backend servers that check no fence:
	// requests of an evicted owner keep running there.
	requestsOutliveEviction bool
	// replies counts the answers to each operator request.
	replies    map[uint64]int
	lateWrites []lateWrite
	// lastServable is the last time at which some node could dispatch to each
	// unit.
	lastServable map[cluster.Unit]time.Duration
}

func newFleet(seed int64, n int, backend string, objects []platform.Object) *fleet {
	f := &fleet{
		rng:          rand.New(rand.NewSource(seed)),
		store:        map[string]platform.Object{},
		cutLinks:     map[[2]string]bool{},
		highestEpoch: map[cluster.Unit]uint64{},
		lastServable: map[cluster.Unit]time.Duration{},
		replies:      map[uint64]int{},
	}
	for _, o := range objects {
		f.store[o.Key] = o
	}
	for i := range n {
		s := &simNode{
			name:      fmt.Sprintf("n%d", i+1),
			zone:      fmt.Sprintf("z%d", i%3+1),
			clockRate: 1 + maxDrift*(2*f.rng.Float64()-1),
			backend:   backend,
		}
		f.nodes = append(f.nodes, s)
		f.start(s)
	}
	return f
}

// start starts a new process on the node's VM.
func (f *fleet) start(s *simNode) {
	f.seq++
	s.params = Params{
		Self: cluster.Member{
			MemberRef: cluster.MemberRef{Name: s.name},
			PeerAddr:  s.name, Zone: s.zone, Region: "r", BootID: s.name,
		},
		Nonce:        fmt.Sprintf("p%d", f.seq),
		Lease:        testLease,
		WitnessCount: 5,
		StopTimeout:  30 * time.Second,
	}
	s.m = New(s.params)
	s.alive, s.done, s.view, s.lease, s.stopping = true, false, nil, 0, nil
	s.m.Step(f.local(s), BackendChanged{Info: &cluster.BackendInfo{Service: s.backend, Slots: 10, Ready: true}})
}

// local returns the time of the node's own clock, which drifts from the
// others.
func (f *fleet) local(s *simNode) clock.Mono {
	return clock.Mono(float64(f.now+time.Hour) * s.clockRate)
}

func (f *fleet) node(name string) *simNode {
	i := slices.IndexFunc(f.nodes, func(s *simNode) bool { return s.name == name })
	if i < 0 {
		return nil
	}
	return f.nodes[i]
}

// advance runs the fleet for d and checks ownership after each step.
func (f *fleet) advance(d time.Duration) {
	end := f.now + d
	for f.now < end && f.failure == "" {
		f.now += simStep
		f.applyLateWrites()
		f.deliver()
		for _, s := range f.nodes {
			f.stepNode(s)
		}
		f.checkOwnership()
	}
}

func (f *fleet) running(s *simNode) bool { return s.alive && s.pausedUntil <= f.now }

func (f *fleet) deliver() {
	var notDue, due []delivery
	for _, d := range f.queue {
		if d.at <= f.now && d.to.pausedUntil <= f.now {
			due = append(due, d)
		} else {
			notDue = append(notDue, d)
		}
	}
	f.queue = notDue
	slices.SortFunc(due, func(a, b delivery) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq)) })
	for _, d := range due {
		if d.to.alive && d.to.m == d.machine && !d.to.hides(d.event) {
			d.to.m.Step(f.local(d.to), d.event)
			f.handleReady(d.to)
		}
	}
}

// hides reports whether an event carries an object that is hidden from the
// node.
func (s *simNode) hides(ev Event) bool {
	if s.hidesKey == nil {
		return false
	}
	switch e := ev.(type) {
	case Observed:
		return s.hidesKey(e.Objects[0].Key)
	case ReadDone:
		return s.hidesKey(e.Object.Key)
	case Message:
		for _, o := range e.Body.GetObjects().GetObjects() {
			if s.hidesKey(o.Key) {
				return true
			}
		}
	}
	return false
}

func (f *fleet) stepNode(s *simNode) {
	f.finishRuns(s)
	if !f.running(s) {
		return
	}
	f.dispatch(s)
	if s.nextTick > f.now {
		return
	}
	s.nextTick = f.now + tickInterval
	s.m.Step(f.local(s), InFlight{Total: len(s.runs)})
	for _, u := range s.stopping {
		if !s.busy(u.Unit) {
			s.m.Step(f.local(s), u)
		}
	}
	s.m.Step(f.local(s), Tick{})
	f.handleReady(s)
}

func (s *simNode) busy(u cluster.Unit) bool {
	return slices.ContainsFunc(s.runs, func(r runningRequest) bool { return r.unit == u })
}

func (f *fleet) finishRuns(s *simNode) {
	s.runs = slices.DeleteFunc(s.runs, func(r runningRequest) bool { return r.end <= f.now })
}

// mayDispatch reports whether the node's gate would admit a request now.
func (f *fleet) mayDispatch(s *simNode, u cluster.Unit) bool {
	if !f.running(s) || s.view == nil || s.lease <= f.local(s) {
		return false
	}
	return s.view.Owned[u].State == view.Serving
}

// dispatch starts requests on a random subset of the units that the gate
// admits.
func (f *fleet) dispatch(s *simNode) {
	if s.view == nil {
		return
	}
	for _, u := range sortedUnits(s.view.Owned) {
		if !f.mayDispatch(s, u) {
			continue
		}
		f.lastServable[u] = f.now
		f.checkEpoch(s, u)
		if f.rng.Intn(20) == 0 {
			end := f.now + time.Duration(f.rng.Int63n(int64(maxRunTime)))
			s.runs = append(s.runs, runningRequest{unit: u, owner: s.view.Self, epoch: s.view.Owned[u].Epoch, end: end})
		}
	}
}

func (f *fleet) checkEpoch(s *simNode, u cluster.Unit) {
	e := s.view.Owned[u].Epoch
	if e < f.highestEpoch[u] {
		f.fail("%s dispatches %s at epoch %d after %d", s.name, u, e, f.highestEpoch[u])
	}
	f.highestEpoch[u] = max(f.highestEpoch[u], e)
}

func (f *fleet) fail(format string, args ...any) {
	if f.failure == "" {
		f.failure = fmt.Sprintf("at %s: ", f.now) + fmt.Sprintf(format, args...)
	}
}

// checkOwnership checks the two ownership rules: at most one node may dispatch
// a unit, and no request of another owner may still run while it does. For a
// service that checks fences, the backend server refuses the requests that a
// lost owner admitted.
func (f *fleet) checkOwnership() {
	dispatcher := map[cluster.Unit]*simNode{}
	for _, s := range f.nodes {
		if s.view == nil {
			continue
		}
		for u := range s.view.Owned {
			if !f.mayDispatch(s, u) {
				continue
			}
			if other := dispatcher[u]; other != nil {
				f.fail("%s and %s may both dispatch %s", other.name, s.name, u)
			}
			dispatcher[u] = s
		}
	}
	for u, s := range dispatcher {
		f.checkRuns(u, s)
	}
}

func (f *fleet) checkRuns(u cluster.Unit, server *simNode) {
	for _, s := range f.nodes {
		if s == server {
			continue
		}
		for _, r := range s.runs {
			if r.unit == u && (f.requestsOutliveEviction || !f.recordedGone(r.owner)) {
				f.fail("%s dispatches %s while %s still runs a request of epoch %d", server.name, u, s.name, r.epoch)
			}
		}
	}
}

func (f *fleet) recordedGone(ref cluster.MemberRef) bool {
	o := f.store[cluster.MemberKey(ref.Name)]
	var mem cluster.Member
	mustDecode(o.Value, &mem)
	return mem.Incarnation > ref.Incarnation || mem.State.Gone()
}

// handleReady carries out the actions of a machine's Ready.
func (f *fleet) handleReady(s *simNode) {
	r := s.m.Ready()
	if r.View != nil {
		s.view = r.View
	}
	s.lease = r.LeaseUntil
	s.stopping = r.Stopping
	for _, o := range r.Messages {
		f.sendMessage(s, o)
	}
	for _, w := range r.Writes {
		f.doWrite(s, w)
	}
	for _, k := range r.Reads {
		f.postAnswer(s, f.readEvent(k))
	}
	for _, p := range r.Lists {
		f.postAnswer(s, f.listEvent(p))
	}
	for _, p := range r.Replies {
		f.replies[p.ID]++
	}
	if r.Done {
		s.alive, s.done = false, true
	}
}

func (f *fleet) sendMessage(s *simNode, o Outgoing) {
	to := f.node(o.To.Name)
	if to == nil || f.cutLinks[[2]string{s.name, to.name}] {
		return
	}
	body := proto.Clone(o.Body).(*wire.Control)
	f.post(to, f.delay(2), Message{Body: body})
	if f.duplicateMessages && f.rng.Intn(4) == 0 {
		f.post(to, f.delay(400), Message{Body: body})
	}
}

// delay returns a random time of up to n steps.
func (f *fleet) delay(maxSteps int) time.Duration {
	return time.Duration(1+f.rng.Intn(maxSteps)) * simStep
}

func (f *fleet) post(to *simNode, after time.Duration, ev Event) {
	f.seq++
	f.queue = append(f.queue, delivery{at: f.now + after, seq: f.seq, to: to, machine: to.m, event: ev})
}

func (f *fleet) postAnswer(s *simNode, ev Event) { f.post(s, f.delay(1)+f.storeDelay, ev) }

func (f *fleet) readEvent(key string) Event {
	if f.storeDown {
		return ReadDone{Object: platform.Object{Key: key}, Failed: true}
	}
	o := f.store[key]
	o.Key = key
	return ReadDone{Object: o}
}

func (f *fleet) listEvent(prefix string) Event {
	if f.storeDown {
		return Listed{Prefix: prefix, Failed: true}
	}
	e := Listed{Prefix: prefix}
	for k, o := range f.store {
		if strings.HasPrefix(k, prefix) {
			e.Objects = append(e.Objects, o)
		}
	}
	return e
}

// doWrite applies a write immediately. If its answer is to be lost, the platform
// may also apply it later or never; a late write still needs the expected
// version.
func (f *fleet) doWrite(s *simNode, w Write) {
	if f.storeDown {
		f.postAnswer(s, WriteDone{ID: w.ID, Outcome: NotApplied})
		return
	}
	if f.writeAnswersToLose > 0 {
		f.writeAnswersToLose--
		f.loseWrite(s, w)
		return
	}
	v, ok := f.put(w)
	if ok {
		f.postAnswer(s, WriteDone{ID: w.ID, Outcome: Applied, Version: v})
		return
	}
	f.postAnswer(s, WriteDone{ID: w.ID, Outcome: Conflict})
}

// lateWrite is a write that the platform applies after its answer was lost.
type lateWrite struct {
	at    time.Duration
	write Write
}

// applyLateWrites applies the due writes whose answers were lost.
func (f *fleet) applyLateWrites() {
	f.lateWrites = slices.DeleteFunc(f.lateWrites, func(l lateWrite) bool {
		if l.at > f.now {
			return false
		}
		f.put(l.write)
		return true
	})
}

func (f *fleet) loseWrite(s *simNode, w Write) {
	f.postAnswer(s, WriteDone{ID: w.ID, Outcome: OutcomeUnknown})
	switch f.rng.Intn(3) {
	case 0:
		f.put(w)
	case 1:
		f.lateWrites = append(f.lateWrites, lateWrite{at: f.now + f.delay(100), write: w})
	}
}

func (f *fleet) put(w Write) (uint64, bool) {
	o := f.store[w.Key]
	if o.Version != w.ExpectedVersion {
		return 0, false
	}
	o = platform.Object{Key: w.Key, Version: o.Version + 1, Value: w.Value}
	f.store[w.Key] = o
	f.notify(o)
	return o.Version, true
}

// notify delivers an object on the platform's watch, which misses some
// changes.
func (f *fleet) notify(o platform.Object) {
	for _, s := range f.nodes {
		if s.alive && s.m != nil && s.m.watching && f.rng.Intn(10) > 0 {
			f.postAnswer(s, Observed{Objects: []platform.Object{o}})
		}
	}
}

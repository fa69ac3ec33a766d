// Package view is the immutable picture of the fleet that the control
// goroutine publishes for the traffic goroutines.
package view

import (
	"sync/atomic"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/wire"
)

// UnitState says what the node may do with a unit that placement gives it.
type UnitState int

// The states of an owned unit.
const (
	// Pending: the unit is assigned here, but an earlier owner may still
	// serve it. Requests wait.
	Pending UnitState = iota + 1
	// Serving: requests may be dispatched while the lease is valid.
	Serving
	// Stopping: the unit is assigned elsewhere; in-flight requests finish and
	// new ones are refused as not run.
	Stopping
)

// Owned is this node's standing for a unit.
type Owned struct {
	State UnitState
	// Epoch fences the requests that are dispatched.
	Epoch uint64
	// PendingSince is when the unit became Pending here.
	PendingSince clock.Mono
	// Continues is true if this process served the unit right before under an
	// earlier epoch or, for a pin, through its shard.
	Continues bool
	// History is what the last owner that served the unit passed on with its
	// release; nil if it ended without.
	History *wire.History
}

// Table is the placement of one service that is divided by key.
type Table struct {
	// Shards is indexed by shard number; an owner that is zero means that
	// nobody owns the shard yet.
	Shards []cluster.Assignment
	Pins   map[string]cluster.Pin
}

// View is one published picture. It is never changed after publication.
type View struct {
	Self cluster.MemberRef
	// Config is nil until the first revision was assembled.
	Config *config.Config
	// Members holds the members that are not gone, by name.
	Members map[string]*cluster.Member
	Tables  map[string]*Table
	Owned   map[cluster.Unit]Owned
	// Draining is true once a planned stop of this node has begun: the entry
	// refuses new callers, the gate accepts no new work that is not owned.
	Draining bool
	// Admitting is false if the node knows of a configuration it can't apply.
	Admitting bool
	// Reason says why the node does not admit, in one sentence.
	Reason string
}

// Locate returns the unit that a key of a service belongs to, and its
// assignment. It reports false if the service has no placement yet.
func (v *View) Locate(service, key string) (cluster.Unit, cluster.Assignment, bool) {
	t := v.Tables[service]
	if t == nil || len(t.Shards) == 0 {
		return cluster.Unit{}, cluster.Assignment{}, false
	}
	if p, ok := t.Pins[key]; ok {
		return cluster.Unit{Service: service, Shard: p.Shard, Key: key}, p.Assignment, true
	}
	s := cluster.ShardOf(key, len(t.Shards))
	return cluster.Unit{Service: service, Shard: s}, t.Shards[s], true
}

// Source gives the traffic goroutines the newest view and the lease. Both are
// read without locks.
type Source struct {
	view  atomic.Pointer[View]
	lease atomic.Int64
	// changed is closed and replaced at each publication.
	changed atomic.Pointer[chan struct{}]
	// serving holds since when each unit has been served, and is replaced as a
	// whole at each publication.
	serving atomic.Pointer[map[cluster.Unit]servingStart]
}

// servingStart is when a unit was first published as Serving under an epoch.
type servingStart struct {
	epoch uint64
	at    time.Time
	// ended is when the unit was first published as not owned any more; zero
	// while it is.
	ended time.Time
}

// startKept is how long the start of a released unit is remembered: a pin cut
// from a shard may be released after the shard.
const startKept = time.Minute

// Current returns the newest view; nil before the first.
func (s *Source) Current() *View { return s.view.Load() }

// Publish makes v the newest view and wakes those who wait for a change.
func (s *Source) Publish(v *View) {
	s.recordServing(v)
	s.view.Store(v)
	if old := s.changed.Swap(nil); old != nil {
		close(*old)
	}
}

// recordServing notes when units become Serving. It runs before the view is
// stored, so a reader that finds a unit Serving finds its start as well.
func (s *Source) recordServing(v *View) {
	now := time.Now()
	starts := make(map[cluster.Unit]servingStart, len(v.Owned))
	var old map[cluster.Unit]servingStart
	if p := s.serving.Load(); p != nil {
		old = *p
	}
	for u, o := range v.Owned {
		before, known := old[u]
		switch {
		case known && before.ended.IsZero() && before.epoch == o.Epoch && o.State != Pending:
			starts[u] = before
		case o.State == Serving:
			starts[u] = servingStart{epoch: o.Epoch, at: now}
			if at, ok := continued(old, u); ok && o.Continues {
				starts[u] = servingStart{epoch: o.Epoch, at: at}
			}
		}
	}
	keepEnded(starts, old, now)
	s.serving.Store(&starts)
}

// keepEnded takes over the starts of units that were released not long ago.
func keepEnded(starts, old map[cluster.Unit]servingStart, now time.Time) {
	for u, start := range old {
		if _, owned := starts[u]; owned {
			continue
		}
		if start.ended.IsZero() {
			start.ended = now
		}
		if now.Sub(start.ended) < startKept {
			starts[u] = start
		}
	}
}

// continued returns since when this process has served all of a unit without a
// break: the latest start among its shard and the pins of that shard, since
// the unit's keys may have been served through any of them.
func continued(old map[cluster.Unit]servingStart, u cluster.Unit) (time.Time, bool) {
	shard := cluster.Unit{Service: u.Service, Shard: u.Shard}
	start, ok := old[shard]
	if !ok || !start.ended.IsZero() {
		return time.Time{}, false
	}
	at := start.at
	for o, s := range old {
		if o.Service == u.Service && o.Shard == u.Shard && s.at.After(at) {
			at = s.at
		}
	}
	return at, true
}

// ServingSince returns the wall time at which this node began to serve the
// unit under the epoch, or false if it has not, or has released it.
func (s *Source) ServingSince(u cluster.Unit, epoch uint64) (time.Time, bool) {
	p := s.serving.Load()
	if p == nil {
		return time.Time{}, false
	}
	start, ok := (*p)[u]
	return start.at, ok && start.epoch == epoch && start.ended.IsZero()
}

// ServedSince is like ServingSince, also for a unit that was released not long
// ago.
func (s *Source) ServedSince(u cluster.Unit, epoch uint64) (time.Time, bool) {
	p := s.serving.Load()
	if p == nil {
		return time.Time{}, false
	}
	start, ok := (*p)[u]
	return start.at, ok && start.epoch == epoch
}

// Changed returns a channel that is closed at the next publication. Take it
// before reading Current, so that no publication is missed.
func (s *Source) Changed() <-chan struct{} {
	for {
		if ch := s.changed.Load(); ch != nil {
			return *ch
		}
		ch := make(chan struct{})
		if s.changed.CompareAndSwap(nil, &ch) {
			return ch
		}
	}
}

// SetLease records until when the node's lease holds.
func (s *Source) SetLease(until clock.Mono) { s.lease.Store(int64(until)) }

// LeaseUntil returns until when the node's lease holds.
func (s *Source) LeaseUntil() clock.Mono { return clock.Mono(s.lease.Load()) }

// LeaseValid reports whether the lease holds at the present moment.
func (s *Source) LeaseValid() bool { return clock.Now() < s.LeaseUntil() }

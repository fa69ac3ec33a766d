// Package view defines the immutable snapshot of the fleet that the control
// goroutine publishes to the goroutines that handle requests.
package view

import (
	"sync/atomic"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/wire"
)

// UnitState is the state of a unit on the node that placement assigns it to.
type UnitState int

// The states of an owned unit.
const (
	// Pending means that the unit is assigned to this node, but an earlier owner
	// may still serve it. Requests wait.
	Pending UnitState = iota + 1
	// Serving means that requests may be dispatched while the lease is valid.
	Serving
	// Stopping means that the unit is assigned to another node: in-flight
	// requests finish and new ones are refused as not run.
	Stopping
)

// Ownership is the state of one unit on this node.
type Ownership struct {
	State UnitState
	// Epoch is the fencing epoch of dispatched requests.
	Epoch uint64
	// PendingSince is when the unit became Pending on this node.
	PendingSince clock.Mono
	// ServedBefore is true if this process served the unit immediately before,
	// under an earlier epoch or, for a pin, as part of its shard.
	ServedBefore bool
	// History is what the last serving owner sent with its release of the unit;
	// nil if it did not release the unit.
	History *wire.History
}

// Table is the placement of one sharded service.
type Table struct {
	// Shards is indexed by shard number. A zero owner means that no node owns
	// the shard yet.
	Shards []cluster.Assignment
	// Pins holds the pinned keys of the service, by key.
	Pins map[string]cluster.Pin
}

// View is one snapshot of the fleet. It is immutable once it is published.
type View struct {
	Self cluster.MemberRef
	// Config is nil until the first revision has been assembled.
	Config *config.Config
	// Members holds the members that have not left or been evicted, by name.
	Members map[string]*cluster.Member
	Tables  map[string]*Table
	Owned   map[cluster.Unit]Ownership
	// Draining is true once a planned stop of this node has begun. The caller
	// listener then refuses new callers, and the gate accepts no new requests for
	// units that this node does not own.
	Draining bool
	// Admitting is false if the node refuses new requests because it may not have
	// the newest configuration in force.
	Admitting bool
	// Reason is one sentence on why the node admits no requests.
	Reason string
}

// Locate returns the unit that a key of a service belongs to, and the unit's
// assignment. It returns false if the service has no placement yet.
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

// Source provides the newest view and the node's lease to the goroutines that
// handle requests. Both are read without locks.
type Source struct {
	view  atomic.Pointer[View]
	lease atomic.Int64
	// changed is the channel that is closed at the next publication; nil if no
	// goroutine has asked for it since the last one.
	changed atomic.Pointer[chan struct{}]
	// serving holds the time since which each unit has been served. The map is
	// immutable and replaced at each publication.
	serving atomic.Pointer[map[cluster.Unit]servingStart]
}

// servingStart is when a unit was first published as Serving under an epoch.
type servingStart struct {
	epoch uint64
	since time.Time
	// releasedAt is when the unit was first missing from a published view; zero
	// while this node owns it.
	releasedAt time.Time
}

// servingStartRetention is how long the start of a released unit is kept. It is
// needed because a pin that was split from a shard may be released after the
// shard.
const servingStartRetention = time.Minute

// Current returns the newest view; nil before the first publication.
func (s *Source) Current() *View { return s.view.Load() }

// Publish makes v the newest view and closes the channel returned by Changed.
func (s *Source) Publish(v *View) {
	s.recordServing(v)
	s.view.Store(v)
	if changed := s.changed.Swap(nil); changed != nil {
		close(*changed)
	}
}

// recordServing records when units become Serving. It runs before the view is
// stored, so that a reader that sees a unit as Serving also finds its start.
func (s *Source) recordServing(v *View) {
	now := time.Now()
	starts := make(map[cluster.Unit]servingStart, len(v.Owned))
	var previous map[cluster.Unit]servingStart
	if p := s.serving.Load(); p != nil {
		previous = *p
	}
	for u, o := range v.Owned {
		previousStart, known := previous[u]
		switch {
		case known && previousStart.releasedAt.IsZero() && previousStart.epoch == o.Epoch && o.State != Pending:
			starts[u] = previousStart
		case o.State == Serving:
			starts[u] = servingStart{epoch: o.Epoch, since: now}
			if since, ok := servedWithoutBreakSince(previous, u); ok && o.ServedBefore {
				starts[u] = servingStart{epoch: o.Epoch, since: since}
			}
		}
	}
	carryOverReleased(starts, previous, now)
	s.serving.Store(&starts)
}

// carryOverReleased copies the starts of units that were released less than
// servingStartRetention ago.
func carryOverReleased(starts, previous map[cluster.Unit]servingStart, now time.Time) {
	for u, start := range previous {
		if _, owned := starts[u]; owned {
			continue
		}
		if start.releasedAt.IsZero() {
			start.releasedAt = now
		}
		if now.Sub(start.releasedAt) < servingStartRetention {
			starts[u] = start
		}
	}
}

// servedWithoutBreakSince returns the time since which this process has served
// all keys of a unit without a break. It is the latest start of the shard and
// the pins of the shard, because the keys may have been served through any of
// them. It returns false if this process does not own the shard.
func servedWithoutBreakSince(starts map[cluster.Unit]servingStart, u cluster.Unit) (time.Time, bool) {
	shard := cluster.Unit{Service: u.Service, Shard: u.Shard}
	start, ok := starts[shard]
	if !ok || !start.releasedAt.IsZero() {
		return time.Time{}, false
	}
	since := start.since
	for other, s := range starts {
		if other.Service == u.Service && other.Shard == u.Shard && s.since.After(since) {
			since = s.since
		}
	}
	return since, true
}

// ServingSince returns the wall time at which this node began to serve the unit
// under the epoch. It returns false if the node has not served it under that
// epoch or has released it.
func (s *Source) ServingSince(u cluster.Unit, epoch uint64) (time.Time, bool) {
	p := s.serving.Load()
	if p == nil {
		return time.Time{}, false
	}
	start, ok := (*p)[u]
	return start.since, ok && start.epoch == epoch && start.releasedAt.IsZero()
}

// ServedSince is like ServingSince, but also returns true for a unit that was
// released less than servingStartRetention ago.
func (s *Source) ServedSince(u cluster.Unit, epoch uint64) (time.Time, bool) {
	p := s.serving.Load()
	if p == nil {
		return time.Time{}, false
	}
	start, ok := (*p)[u]
	return start.since, ok && start.epoch == epoch
}

// Changed returns a channel that is closed at the next publication. Call it
// before Current, so that no publication is missed.
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

// SetLease sets the end of the node's lease.
func (s *Source) SetLease(until clock.Mono) { s.lease.Store(int64(until)) }

// LeaseUntil returns the end of the node's lease.
func (s *Source) LeaseUntil() clock.Mono { return clock.Mono(s.lease.Load()) }

// LeaseValid reports whether the node's lease is valid now.
func (s *Source) LeaseValid() bool { return clock.Now() < s.LeaseUntil() }

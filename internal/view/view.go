// Package view is the immutable picture of the fleet that the control
// goroutine publishes for the traffic goroutines.
package view

import (
	"sync/atomic"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
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
}

// Current returns the newest view; nil before the first.
func (s *Source) Current() *View { return s.view.Load() }

// Publish makes v the newest view and wakes those who wait for a change.
func (s *Source) Publish(v *View) {
	s.view.Store(v)
	if old := s.changed.Swap(nil); old != nil {
		close(*old)
	}
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

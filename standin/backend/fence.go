package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/standin/runlog"
)

// Headers that a node adds to each request.
const (
	headerUnit           = "Fulmarhinge-Unit"
	headerEpoch          = "Fulmarhinge-Epoch"
	headerLeaseUntil     = "Fulmarhinge-Lease-Until"
	headerRequestID      = "Fulmarhinge-Request-Id"
	headerCustomer       = "Fulmarhinge-Customer"
	headerKey            = "Fulmarhinge-Key"
	headerDeadlineMs     = "Fulmarhinge-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
)

// grant is a node's claim, in the fence headers, that it may send a request.
type grant struct {
	unit       string
	key        string
	epoch      uint64
	leaseUntil clock.Mono
	// deadline is zero if the node sent no deadline.
	deadline time.Time
}

// parseGrant reads the fence headers. Fields of absent headers are zero.
func parseGrant(h http.Header, now time.Time) (grant, error) {
	g := grant{unit: h.Get(headerUnit), key: h.Get(headerKey)}
	epoch, err := parseUint(h.Get(headerEpoch))
	if err != nil {
		return g, err
	}
	lease, err := parseUint(h.Get(headerLeaseUntil))
	if err != nil {
		return g, err
	}
	left, err := parseUint(h.Get(headerDeadlineMs))
	if err != nil {
		return g, err
	}
	g.epoch = epoch
	g.leaseUntil = clock.Mono(lease)
	if h.Get(headerDeadlineMs) != "" {
		g.deadline = now.Add(time.Duration(left) * time.Millisecond)
	}
	return g, nil
}

func parseUint(s string) (uint64, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.ParseUint(s, 10, 64)
}

// fillRecord sets the fields of the record that come from the grant.
func (g grant) fillRecord(r *runlog.Record) {
	r.Unit = g.unit
	r.Key = g.key
	r.Epoch = g.epoch
	r.LeaseUntil = int64(g.leaseUntil)
	if !g.deadline.IsZero() {
		r.DeadlineAt = g.deadline.UnixNano()
	}
}

// fence rejects stale grants. It tracks the highest epoch by unit and by key,
// because a key may move between its shard and a pin.
type fence struct {
	mu           sync.Mutex
	highestEpoch map[string]uint64
}

func newFence() *fence { return &fence{highestEpoch: make(map[string]uint64)} }

// accept reports whether the grant is current. If so, it records the epoch.
func (f *fence) accept(g grant, now clock.Mono) bool {
	if g.unit == "" {
		// A service that is not divided by key has no units and no fence.
		return true
	}
	if now >= g.leaseUntil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	unit, key := "unit:"+g.unit, "key:"+g.key
	if g.epoch < f.highestEpoch[unit] || g.epoch < f.highestEpoch[key] {
		return false
	}
	f.highestEpoch[unit] = g.epoch
	f.highestEpoch[key] = g.epoch
	return true
}

// Package cluster defines the types that the other packages share: members,
// units of ownership, epochs and the platform objects that contain them. Its
// functions only name, hash and encode these types.
package cluster

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MemberRef identifies one incarnation of a node. A restarted process keeps its
// name and gets a higher incarnation number, so promises made to an earlier
// incarnation never apply to a later one.
type MemberRef struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// String returns "name#incarnation".
func (r MemberRef) String() string {
	return r.Name + "#" + strconv.FormatUint(r.Incarnation, 10)
}

// IsZero reports whether the reference identifies no member.
func (r MemberRef) IsZero() bool { return r.Name == "" }

// MemberState is the life-cycle state that the platform records for a member.
type MemberState string

// The states of a member.
const (
	// StateActive means that the member may be given units.
	StateActive MemberState = "active"
	// StateDraining means that a planned stop is in progress: the member keeps
	// each unit until it is handed over and is given no new units.
	StateDraining MemberState = "draining"
	// StateLeft means that the member stopped cleanly and owns nothing.
	StateLeft MemberState = "left"
	// StateEvicted means that a majority of the witnesses voted to evict the
	// member, or that an operator forced the eviction.
	StateEvicted MemberState = "evicted"
)

// Gone reports whether a member in this state can never serve again.
func (s MemberState) Gone() bool { return s == StateLeft || s == StateEvicted }

// Witness is a peer that makes lease promises to a member.
type Witness struct {
	MemberRef
	// PeerAddr is the IP:port of the witness's peer listener.
	PeerAddr string `json:"peer_addr"`
}

// BackendInfo is what a member records about its backend server.
type BackendInfo struct {
	Service string `json:"service"`
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int `json:"slots"`
	// Ready is false while the backend server sends no status or is leaving.
	Ready bool `json:"ready"`
}

// Member is the platform object of one node, stored under MemberKey(Name).
type Member struct {
	MemberRef
	State        MemberState  `json:"state"`
	PeerAddr     string       `json:"peer_addr"`
	CallerAddr   string       `json:"caller_addr"`
	OperatorAddr string       `json:"operator_addr"`
	Zone         string       `json:"zone"`
	Region       string       `json:"region"`
	BootID       string       `json:"boot_id"`
	Backend      *BackendInfo `json:"backend,omitempty"`
	Witnesses    []Witness    `json:"witnesses"`
	// ChangeID identifies the write that made this version, so that a writer
	// that did not receive the answer can recognise its own change.
	ChangeID string `json:"change_id"`
}

// Unit is the unit of ownership: a shard of a service, or a single hot key that
// is pinned separately from its shard. Key is empty for a shard.
type Unit struct {
	Service string `json:"service"`
	Shard   int    `json:"shard"`
	Key     string `json:"key,omitempty"`
}

// String returns "service/shard" or "service/shard/key".
func (u Unit) String() string {
	s := u.Service + "/" + strconv.Itoa(u.Shard)
	if u.Key != "" {
		s += "/" + u.Key
	}
	return s
}

// Predecessor is an earlier owner. The current owner serves only after the
// predecessor has released the unit, or is gone and none of its requests can
// still run.
type Predecessor struct {
	MemberRef
	Epoch uint64 `json:"epoch"`
}

// Assignment is the owner of a unit and the epoch of that ownership. The epochs
// of a key only increase, whether the key is served through its shard or through
// a pin.
type Assignment struct {
	Owner        MemberRef     `json:"owner"`
	Epoch        uint64        `json:"epoch"`
	Predecessors []Predecessor `json:"predecessors,omitempty"`
}

// Pin is the assignment of one hot key.
type Pin struct {
	Key   string `json:"key"`
	Shard int    `json:"shard"`
	// SplitEpoch is the shard's epoch at which the key was split off as a pin of
	// the shard's owner. It is 0 if the pin has ever had a different owner.
	SplitEpoch uint64 `json:"split_epoch,omitempty"`
	Assignment
}

// Group is the platform object with the placement of up to MaxShardsPerGroup
// shards of a service, stored under GroupKey.
type Group struct {
	Service string `json:"service"`
	// First is the number of the first shard of the group.
	First    int          `json:"first"`
	Shards   []Assignment `json:"shards"`
	Pins     []Pin        `json:"pins,omitempty"`
	ChangeID string       `json:"change_id"`
}

// MaxShardsPerGroup is the maximum number of shards in one placement object.
const MaxShardsPerGroup = 256

// Key prefixes of the platform objects.
const (
	MemberPrefix    = "members/"
	PlacementPrefix = "placement/"
	ConfigPrefix    = "config/"
	// ConfigHeadKey is the key of the object that is updated to accept a
	// configuration.
	ConfigHeadKey = "config/head"
)

// MemberKey returns the platform key of a member's object.
func MemberKey(name string) string { return MemberPrefix + name }

// GroupKey returns the platform key of a placement group.
func GroupKey(service string, group int) string {
	return fmt.Sprintf("%s%s/%04d", PlacementPrefix, service, group)
}

// ShardOf returns the shard of a key in a service of n shards.
func ShardOf(key string, n int) int {
	return int(xxhash.Sum64String(key) % uint64(n))
}

// RendezvousScore returns the rendezvous hashing score of a member name for a
// subject. The member with the highest score is preferred.
func RendezvousScore(subject, name string) uint64 {
	return xxhash.Sum64String(subject + "\x00" + name)
}

// Encode returns the stored form of a platform object. It panics if v can't be
// encoded.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("cluster: object cannot be encoded: " + err.Error())
	}
	return b
}

// IsMemberKey reports whether a platform key names a member object.
func IsMemberKey(key string) bool { return strings.HasPrefix(key, MemberPrefix) }

// IsGroupKey reports whether a platform key names a placement group.
func IsGroupKey(key string) bool { return strings.HasPrefix(key, PlacementPrefix) }

package control

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/timeline"
)

// listRetryDelay is the wait before an unanswered or failed list is retried.
const listRetryDelay = time.Second

// followedPrefixes are the prefixes of the objects that a node follows. All
// must be listed before it joins.
var followedPrefixes = []string{cluster.MemberPrefix, cluster.PlacementPrefix, cluster.ConfigPrefix}

// requestMissingLists requests the initial lists that have not been received
// yet.
func (m *Machine) requestMissingLists() {
	for _, p := range followedPrefixes {
		if m.listed[p] || m.listRetryAt[p] > m.now {
			continue
		}
		m.listRetryAt[p] = m.now.Add(listRetryDelay)
		m.ready.Lists = append(m.ready.Lists, p)
	}
}

// onListed applies a list in key order, in which the configuration head
// precedes its parts.
func (m *Machine) onListed(e Listed) {
	if e.Failed {
		return
	}
	m.listed[e.Prefix] = true
	slices.SortFunc(e.Objects, func(a, b platform.Object) int { return strings.Compare(a.Key, b.Key) })
	m.observeAll(e.Objects, fromPlatform)
	if m.phase == phaseLoading && m.allListed() {
		m.phase = phaseJoining
		m.reconcileSelf()
	}
}

func (m *Machine) allListed() bool {
	for _, p := range followedPrefixes {
		if !m.listed[p] {
			return false
		}
	}
	return true
}

// fromPlatform is the source of objects received from the platform itself.
const fromPlatform = ""

// observeAll applies objects from the platform or a peer. Only versions higher
// than the known one are applied, so late and duplicate objects have no
// effect.
func (m *Machine) observeAll(objects []platform.Object, from string) {
	for _, o := range objects {
		m.observe(o, from)
	}
}

func (m *Machine) observe(o platform.Object, from string) {
	if o.Version <= m.objects[o.Key].version || m.isUnreferencedPart(o.Key) {
		return
	}
	if err := m.applyObject(o, from); err != nil {
		m.recordEvent(timeline.Event{Kind: timeline.KindMember, Text: fmt.Sprintf("object %s version %d is malformed: %v", o.Key, o.Version, err)})
		return
	}
	m.setObject(o)
	if inDigest(o.Key) && !m.isHeadNotInForce(o.Key) {
		m.queueGossip(o.Key, from)
	}
}

// isHeadNotInForce reports whether the key is the configuration head and its
// revision is not yet in force here.
func (m *Machine) isHeadNotInForce(key string) bool {
	return key == cluster.ConfigHeadKey && m.revision() != m.head.Revision
}

// applyObject decodes an object and passes it to its handler. If it can't be
// decoded, nothing changes.
func (m *Machine) applyObject(o platform.Object, from string) error {
	switch {
	case cluster.IsMemberKey(o.Key):
		var mem cluster.Member
		if err := json.Unmarshal(o.Value, &mem); err != nil {
			return err
		}
		m.setObject(o)
		m.onMember(&mem)
	case cluster.IsGroupKey(o.Key):
		var g cluster.Group
		if err := json.Unmarshal(o.Value, &g); err != nil {
			return err
		}
		m.setObject(o)
		m.onGroup(o.Key, &g)
	case o.Key == cluster.ConfigHeadKey:
		head, err := config.DecodeHead(o.Value)
		if err != nil {
			return err
		}
		m.setObject(o)
		m.onHead(head, from)
	}
	return nil
}

// setObject stores the newest version of an object and updates the digest.
func (m *Machine) setObject(o platform.Object) {
	old, had := m.objects[o.Key]
	if had && old.version == o.Version {
		return
	}
	if inDigest(o.Key) {
		if had {
			m.digest ^= keyDigest(o.Key, old.version)
		}
		m.digest ^= keyDigest(o.Key, o.Version)
	}
	m.objects[o.Key] = storedObject{version: o.Version, value: o.Value}
}

// inDigest reports whether a key is part of the digest that peers compare. The
// parts of a configuration are left out, as its head determines them.
func inDigest(key string) bool {
	return !strings.HasPrefix(key, cluster.ConfigPrefix) || key == cluster.ConfigHeadKey
}

func keyDigest(key string, version uint64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s@%d", key, version))
}

// onMember handles a newer member object.
func (m *Machine) onMember(mem *cluster.Member) {
	old := m.members[mem.Name]
	m.members[mem.Name] = mem
	m.membersChanged()
	m.viewDirty = true
	if old != nil && old.MemberRef != mem.MemberRef {
		m.onMemberGone(old.MemberRef)
	}
	if mem.State.Gone() {
		m.onMemberGone(mem.MemberRef)
	} else if m.isWitnessOf(mem) {
		m.witness.Watch(m.now, mem.MemberRef)
	}
	if mem.Name == m.params.Self.Name {
		m.onOwnMember(mem)
	}
}

// onMemberGone records that an incarnation can never serve again.
func (m *Machine) onMemberGone(ref cluster.MemberRef) {
	if _, known := m.goneAt[ref]; known {
		return
	}
	m.goneAt[ref] = m.now
	m.pruneGone(ref)
	m.delayWitnessChange(ref)
	m.witness.Forget(ref)
	if e := m.evictions[ref.Name]; e != nil {
		m.endEviction(e)
	}
	m.recordEvent(timeline.Event{Kind: timeline.KindMember, Member: &ref, Text: "member is gone"})
}

// maxGonePerName is the number of gone incarnations remembered for each name.
// One that has been pruned counts as gone from the time it is next looked up.
const maxGonePerName = 4

// pruneGone bounds the number of gone incarnations remembered for a name.
func (m *Machine) pruneGone(ref cluster.MemberRef) {
	if ref.Incarnation > maxGonePerName {
		delete(m.goneAt, cluster.MemberRef{Name: ref.Name, Incarnation: ref.Incarnation - maxGonePerName})
	}
}

// isGone reports whether an incarnation can never serve again. Unknown
// members count as alive.
func (m *Machine) isGone(ref cluster.MemberRef) bool {
	mem := m.members[ref.Name]
	if mem == nil {
		return false
	}
	if mem.Incarnation != ref.Incarnation {
		return mem.Incarnation > ref.Incarnation
	}
	return mem.State.Gone()
}

// isWitnessOf reports whether the member names this incarnation as a witness.
func (m *Machine) isWitnessOf(mem *cluster.Member) bool {
	if m.self.IsZero() {
		return false
	}
	for _, w := range mem.Witnesses {
		if w.MemberRef == m.self {
			return true
		}
	}
	return false
}

// FollowedPrefixes returns the prefixes of all objects that a node follows.
func FollowedPrefixes() []string { return slices.Clone(followedPrefixes) }

package control

import (
	"slices"
	"strings"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/wire"
)

// Parameters of gossip between nodes.
const (
	// maxPushBytes is the maximum size of an object that is sent without being
	// requested. A larger one is announced by version and fetched, so that each
	// node receives it only once.
	maxPushBytes = 700
	// fetchTimeout is the wait before an object is fetched from another peer.
	fetchTimeout = 150 * time.Millisecond
	// maxBatchBytes bounds the total size of the values in one message.
	maxBatchBytes = 256 << 10
	// mismatchRounds is the number of consecutive digest mismatches that start
	// a comparison of versions; a single mismatch is usually a change in
	// flight.
	mismatchRounds = 2
	// compareInterval is the minimum time between two comparisons of versions
	// with one peer.
	compareInterval = 2 * time.Second
)

// gossip distributes objects along the links between lease holders and
// witnesses. A change is sent immediately. The digests in the renewals detect
// objects that were missed, which are then sent again.
type gossip struct {
	// outbox holds the keys to be sent to each neighbour.
	outbox            map[string]map[string]bool
	fetchBlockedUntil map[string]clock.Mono
	mismatches        map[string]int
	nextCompare       map[string]clock.Mono
}

func (g *gossip) init() {
	g.outbox = map[string]map[string]bool{}
	g.fetchBlockedUntil = map[string]clock.Mono{}
	g.mismatches = map[string]int{}
	g.nextCompare = map[string]clock.Mono{}
}

// queueGossip queues an object for all neighbours except the one that sent it.
func (m *Machine) queueGossip(key, from string) {
	if m.phase != phaseJoined {
		return
	}
	for _, n := range m.neighbours() {
		if n == from {
			continue
		}
		if m.outbox[n] == nil {
			m.outbox[n] = map[string]bool{}
		}
		m.outbox[n][key] = true
	}
}

// flushGossip sends the queued objects, batched by neighbour.
func (m *Machine) flushGossip() {
	for _, n := range sortedNames(m.outbox) {
		m.announce(n, sortedNames(m.outbox[n]))
	}
	m.outbox = map[string]map[string]bool{}
}

// announce sends small objects in full and only the versions of large ones.
func (m *Machine) announce(to string, keys []string) {
	var small []*wire.Object
	var large []*wire.KeyVersion
	for _, k := range keys {
		o := m.objects[k]
		if len(o.value) <= maxPushBytes {
			small = append(small, &wire.Object{Key: k, Version: o.version, Value: o.value})
		} else {
			large = append(large, &wire.KeyVersion{Key: k, Version: o.version})
		}
	}
	if len(small) > 0 {
		m.sendToMember(to, &wire.Control{Body: &wire.Control_Objects{Objects: &wire.Objects{Objects: small}}})
	}
	if len(large) > 0 {
		m.sendToMember(to, &wire.Control{Body: &wire.Control_Versions{Versions: &wire.Versions{Have: large}}})
	}
}

// handleObjectMessage handles the messages that carry or request objects.
func (m *Machine) handleObjectMessage(from cluster.MemberRef, c *wire.Control) {
	switch b := c.GetBody().(type) {
	case *wire.Control_Objects:
		for _, o := range b.Objects.GetObjects() {
			delete(m.fetchBlockedUntil, o.GetKey())
			m.observe(platform.Object{Key: o.GetKey(), Version: o.GetVersion(), Value: o.GetValue()}, from.Name)
		}
	case *wire.Control_Versions:
		m.onVersions(from.Name, b.Versions)
	case *wire.Control_Fetch:
		m.sendObjects(from.Name, b.Fetch.GetKeys())
	}
}

// onVersions fetches the objects of which the sender has a newer version and,
// if a reply is wanted, sends those of which it has an older one.
func (m *Machine) onVersions(from string, v *wire.Versions) {
	peerVersions := make(map[string]uint64, len(v.GetHave()))
	var want []string
	for _, h := range v.GetHave() {
		peerVersions[h.GetKey()] = h.GetVersion()
		if h.GetVersion() > m.objects[h.GetKey()].version {
			want = append(want, h.GetKey())
		}
	}
	m.fetch(from, want)
	if !v.GetWantReply() {
		return
	}
	var newer []string
	for k, o := range m.objects {
		if inDigest(k) && o.version > peerVersions[k] {
			newer = append(newer, k)
		}
	}
	slices.Sort(newer)
	m.sendObjects(from, newer)
}

// fetch requests objects from a peer, except those with a fetch under way.
func (m *Machine) fetch(from string, keys []string) {
	var toFetch []string
	for _, k := range keys {
		if m.fetchBlockedUntil[k] > m.now {
			continue
		}
		m.fetchBlockedUntil[k] = m.now.Add(fetchTimeout)
		toFetch = append(toFetch, k)
	}
	if len(toFetch) > 0 {
		m.sendToMember(from, &wire.Control{Body: &wire.Control_Fetch{Fetch: &wire.Fetch{Keys: toFetch}}})
	}
}

// sendObjects sends objects in messages of bounded size.
func (m *Machine) sendObjects(to string, keys []string) {
	var batch []*wire.Object
	size := 0
	flush := func() {
		if len(batch) > 0 {
			m.sendToMember(to, &wire.Control{Body: &wire.Control_Objects{Objects: &wire.Objects{Objects: batch}}})
		}
		batch, size = nil, 0
	}
	for _, k := range keys {
		o, ok := m.objects[k]
		if !ok {
			continue
		}
		if size+len(o.value) > maxBatchBytes {
			flush()
		}
		batch = append(batch, &wire.Object{Key: k, Version: o.version, Value: o.value})
		size += len(o.value)
	}
	flush()
}

// compareDigest starts a comparison of versions with a peer after several
// consecutive digest mismatches.
func (m *Machine) compareDigest(peer string, digest uint64) {
	if digest == m.digest {
		delete(m.mismatches, peer)
		return
	}
	m.mismatches[peer]++
	if m.mismatches[peer] < mismatchRounds || m.nextCompare[peer] > m.now {
		return
	}
	m.mismatches[peer] = 0
	m.nextCompare[peer] = m.now.Add(compareInterval)
	versions := make([]*wire.KeyVersion, 0, len(m.objects))
	for k, o := range m.objects {
		if inDigest(k) {
			versions = append(versions, &wire.KeyVersion{Key: k, Version: o.version})
		}
	}
	slices.SortFunc(versions, func(a, b *wire.KeyVersion) int { return strings.Compare(a.Key, b.Key) })
	m.sendToMember(peer, &wire.Control{Body: &wire.Control_Versions{Versions: &wire.Versions{Have: versions, WantReply: true}}})
}

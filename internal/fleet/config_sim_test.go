package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/wire"
)

// simConfig is the operator's configuration in a simulated fleet, whose nodes exchange
// it as those of package sidecar do.
type simConfig struct {
	version uint64
	// size is the size in bytes of a message with the configuration.
	size int
	// lose reports whether a copy that is sent to a node is lost.
	lose func(to string) bool
}

// simConfigKey is the key of the object that holds the configuration.
const simConfigKey = "config"

// simSpreadTime is how long a copy may take before it is sent again, beside the time
// that copies to all members take over half of the link.
const simSpreadTime = 400 * time.Millisecond

// changeConfig writes the next version to the store.
func (s *sim) changeConfig() {
	s.config.version++
	for _, n := range s.nodes {
		if n.up && n.machine.WatchesConfig() {
			n.readConfig()
		}
	}
}

// readConfig reads the configuration from the store.
func (n *simNode) readConfig() {
	s, processRun := n.sim, n.processRun
	s.configCalls++
	s.after(s.randomDuration(2, 16), func() {
		if version := s.config.version; n.processRun == processRun && n.storeReachable() {
			n.whenNotFrozen(func() {
				if n.applyConfig(version) {
					n.spreadConfig()
				}
			})
		}
	})
}

// watchConfig reads the configuration when the node begins to watch it.
func (n *simNode) watchConfig() {
	watched := n.watchedConfig
	n.watchedConfig = n.machine.WatchesConfig()
	if n.watchedConfig && !watched {
		n.readConfig()
	}
}

// applyConfig activates a version of the configuration and reports whether it is newer.
func (n *simNode) applyConfig(version uint64) bool {
	if version <= n.configVersion {
		return false
	}
	n.configVersion, n.configAt = version, n.sim.now
	clear(n.configSentAt)
	n.sim.log("%s has configuration %d", n.name, version)
	n.step(ConfigChanged{Version: version, KeyedServices: map[string]bool{"svc": true}})
	return true
}

// spreadConfig sends a configuration that was read from the store on: the leader to all
// members, another node to the leader if it is one of those that do so.
func (n *simNode) spreadConfig() {
	doc, _ := n.machine.Document()
	if doc == nil {
		return
	}
	if !n.machine.Leads() {
		if doc.Leader.Name != n.name && n.machine.ForwardsConfig() {
			n.sendConfig(doc.Leader.Name)
		}
		return
	}
	for _, name := range doc.names() {
		if name != n.name && !doc.Members[name].Evicted {
			n.sendConfig(name)
		}
	}
}

func (n *simNode) sendConfig(to string) {
	s, doc := n.sim, n.machine.doc
	interval := simSpreadTime
	if s.linkMbps > 0 {
		interval += time.Duration(float64(s.config.size*len(doc.Members)*8) / (s.linkMbps * 1e6 / 2) * float64(time.Second))
	}
	if at, sent := n.configSentAt[to]; sent && s.now.Sub(at) < interval {
		return
	}
	n.configSentAt[to] = s.now
	if s.config.lose != nil && s.config.lose(to) {
		return
	}
	n.send(Outgoing{Addr: to, Body: &wire.Control{Body: &wire.Control_Objects{Objects: &wire.Objects{Objects: []*wire.Object{
		{Key: simConfigKey, Version: n.configVersion, Value: make([]byte, s.config.size)},
	}}}}})
}

// handleConfig handles a message if it carries the configuration, and reports whether it does.
func (n *simNode) handleConfig(m *wire.Control) bool {
	if o := m.GetObjects().GetObjects(); len(o) == 1 && o[0].GetKey() == simConfigKey {
		if n.applyConfig(o[0].GetVersion()) && n.machine.Leads() {
			n.spreadConfig()
		}
		return true
	}
	return false
}

// syncConfigs handles the members whose version differs from this node's.
func (n *simNode) syncConfigs(differ []ConfigDiffers) {
	for _, d := range differ {
		if d.Version < n.configVersion && n.sim.now.Sub(n.configAt) >= simSpreadTime {
			n.sendConfig(d.Addr)
		}
	}
}

// withoutNewest lists the running nodes that do not have the newest configuration.
func (s *sim) withoutNewest() []string {
	var out []string
	for _, n := range s.nodes {
		if n.up && n.configVersion < s.config.version {
			out = append(out, n.name)
		}
	}
	return out
}

// killWatchers kills the nodes that watch the configuration, the leader among them, and
// the next ones in the order of claims, and returns how many run.
func (s *sim) killWatchers(count int) int {
	l := s.leader()
	l.kill()
	ranked := slices.Clone(s.nodes)
	slices.SortFunc(ranked, func(a, b *simNode) int { return a.machine.claimRank() - b.machine.claimRank() })
	running := 0
	for _, n := range ranked {
		switch {
		case n == l:
		case count > 1:
			n.kill()
			count--
		default:
			running++
		}
	}
	return running
}

// TestConfigurationIsInForceInTime guards against changes of the configuration that nodes
// which run and reach the store do not have 2 s later.
func TestConfigurationIsInForceInTime(t *testing.T) {
	const bound = 2 * time.Second
	const maxDelay = 500 * time.Millisecond
	tests := []struct {
		name     string
		nodes    int
		linkMbps float64
		size     int
		disturb  func(s *sim)
	}{
		{"usual", 12, 100, 4 << 10, func(*sim) {}},
		{"the leader and its standbys are lost", 10, 100, 4 << 10, func(s *sim) { s.killWatchers(3) }},
		{"most nodes are lost", 10, 100, 4 << 10, func(s *sim) { s.killWatchers(6) }},
		{"half of a larger fleet is lost", 80, 20, 4 << 10, func(s *sim) { s.killWatchers(40) }},
		{"the store turns away the leader and the next three", 10, 100, 4 << 10, func(s *sim) {
			l := s.leader()
			for _, n := range s.nodes {
				n.storeUnreachable = n == l || n.machine.claimRank() < 3
			}
		}},
		{"first copies are lost on small links", 40, 11, 32 << 10, func(s *sim) {
			lost := map[string]bool{}
			s.config.lose = func(to string) bool {
				first := !lost[to]
				lost[to] = true
				return first
			}
		}},
		{"copies of the next leader are lost", 20, 100, 4 << 10, func(s *sim) {
			s.killWatchers(4)
			s.config.lose = func(string) bool { return true }
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := int64(1); seed <= 6; seed++ {
				// The change comes at once, or a while after the disturbance.
				delay := time.Duration(seed-1) * maxDelay / 5
				s := newSimOverLinks(seed, test.nodes, test.linkMbps)
				s.reliable = true
				s.config.size = test.size
				s.runUntil(s.now.Add(12*time.Second + s.randomDuration(0, 700)))
				test.disturb(s)
				s.runUntil(s.now.Add(delay))
				s.changeConfig()
				ackedAt := s.now
				s.runUntil(ackedAt.Add(bound))
				if behind := s.withoutNewest(); len(behind) > 0 {
					s.runUntil(ackedAt.Add(10 * time.Second))
					t.Errorf("seed %d: %d nodes lack the change %v after it: %v; last one %v after it", seed, len(behind), bound, behind, s.lastApplied(ackedAt))
				}
			}
		})
	}
}

// lastApplied returns how long after the change the last running node had it.
func (s *sim) lastApplied(ackedAt clock.Mono) string {
	last := time.Duration(0)
	for _, n := range s.nodes {
		if n.up && n.configVersion < s.config.version {
			return fmt.Sprintf("more than %v", s.now.Sub(ackedAt))
		}
		if n.up {
			last = max(last, n.configAt.Sub(ackedAt))
		}
	}
	return last.String()
}

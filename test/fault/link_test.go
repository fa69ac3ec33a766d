package fault

import (
	"testing"
	"time"

	"fulmarhinge/test/fault/harness"
)

// Only the link between one entry and one owner is cut, both ways. All callers
// use that entry, so the owner's keys can be served through a third node alone.
func TestCutLinkBetweenEntryAndOwner(t *testing.T) {
	const cut = 5 * time.Second
	s := start(t, nil)
	entry, owner := s.fleet.Nodes[4], s.fleet.Nodes[0]
	for _, n := range s.fleet.Nodes {
		if n != entry {
			s.fleet.Avoid(n)
		}
	}
	s.run(time.Second)
	fault := time.Now()
	s.must(s.fleet.Cut(entry.IP, owner.IP, true))
	s.run(cut)
	healed := time.Now()
	s.must(s.fleet.HealAll())
	s.run(time.Second)
	v := s.finish()
	s.gaps(v, "keys behind the cut link", s.ownedBy(v, fault, owner), fault, servedAgain)
	// One link is no reason to evict a node: it still serves through the entry.
	served := map[string]bool{}
	for _, a := range v.attempts {
		if a.Class == harness.Answered && a.Owner == owner.CallerAddr && a.Sent.After(fault.Add(servedAgain)) && a.Sent.Before(healed) {
			served[a.Key] = true
		}
	}
	for _, key := range s.ownedBy(v, healed, owner) {
		if !served[key] {
			t.Errorf("the owner has not served %s through the entry in the last %v of the cut", key, cut-servedAgain)
		}
	}
}

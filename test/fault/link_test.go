package fault

import (
	"testing"
	"time"

	"fulmarhinge/test/fault/harness"
)

// TestCutLinkBetweenEntryAndOwner cuts only the link between one entry and one
// owner, in both directions. All callers use that entry, so the owner's keys can
// be served only through a third node.
func TestCutLinkBetweenEntryAndOwner(t *testing.T) {
	const cutDuration = 5 * time.Second
	s := startUnderLoad(t, nil)
	entry, owner := s.fleet.Nodes[4], s.fleet.Nodes[0]
	for _, n := range s.fleet.Nodes {
		if n != entry {
			s.fleet.Avoid(n)
		}
	}
	s.runFor(time.Second)
	fault := time.Now()
	s.must(s.fleet.Cut(entry.IP, owner.IP, true))
	s.runFor(cutDuration)
	healed := time.Now()
	s.must(s.fleet.HealAll())
	s.runFor(time.Second)
	result := s.finish()
	s.checkGaps(result, "keys behind the cut link", s.ownedBy(result, fault, owner), fault, takeoverBound)
	// A single lost link must not evict the owner: it still serves requests that
	// arrive through the entry.
	served := map[string]bool{}
	for _, a := range result.attempts {
		if a.Class == harness.Answered && a.Owner == owner.CallerAddr && a.Sent.After(fault.Add(takeoverBound)) && a.Sent.Before(healed) {
			served[a.Key] = true
		}
	}
	for _, key := range s.ownedBy(result, healed, owner) {
		if !served[key] {
			t.Errorf("the owner has not served key %s through the entry in the last %v of the cut",
				key, cutDuration-takeoverBound)
		}
	}
}

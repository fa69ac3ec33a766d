package lease

import (
	"slices"
	"strings"

	"fulmarhinge/internal/cluster"
)

// ChooseWitnesses returns the witnesses that a member should name: an odd
// number, up to maxCount, of active peers in its region. If there are enough
// availability zones, each holds only a minority of the witnesses, so that a
// majority survives the loss of a zone. Current witnesses that are still usable
// are kept, so that the set changes only when it must. excluded reports the
// peers that must not be chosen because they have refused or stopped answering.
func ChooseWitnesses(
	self cluster.Member, peers []*cluster.Member, maxCount int, excluded func(cluster.MemberRef) bool,
) []cluster.Witness {
	usable := usablePeers(self, peers, excluded)
	zones := map[string]int{}
	for _, p := range usable {
		zones[p.Zone]++
	}
	size := oddAtMost(min(maxCount, len(usable)))
	if size == 0 {
		return nil
	}
	sortByPreference(self, usable)
	var chosen []cluster.Witness
	// Try a minority in each zone first, then an even spread over the zones,
	// then any distribution.
	for _, maxPerZone := range []int{max(1, (size-1)/2), (size + len(zones) - 1) / len(zones), size} {
		if chosen = chooseWithZoneLimit(usable, size, maxPerZone); len(chosen) == size {
			break
		}
	}
	slices.SortFunc(chosen, func(a, b cluster.Witness) int { return strings.Compare(a.Name, b.Name) })
	return chosen
}

func usablePeers(self cluster.Member, peers []*cluster.Member, excluded func(cluster.MemberRef) bool) []*cluster.Member {
	var out []*cluster.Member
	for _, p := range peers {
		if p.Name == self.Name || p.Region != self.Region || p.State != cluster.StateActive {
			continue
		}
		if !excluded(p.MemberRef) {
			out = append(out, p)
		}
	}
	return out
}

// oddAtMost returns the largest odd number up to n, or n if it is not positive.
// A set of even size needs one more answer than the next smaller odd one and
// tolerates no more failures.
func oddAtMost(n int) int {
	if n > 0 && n%2 == 0 {
		return n - 1
	}
	return n
}

// sortByPreference puts current witnesses first and orders the rest by
// rendezvous score, which spreads the witness load evenly.
func sortByPreference(self cluster.Member, peers []*cluster.Member) {
	current := map[cluster.MemberRef]bool{}
	for _, w := range self.Witnesses {
		current[w.MemberRef] = true
	}
	slices.SortFunc(peers, func(a, b *cluster.Member) int {
		if current[a.MemberRef] != current[b.MemberRef] {
			if current[a.MemberRef] {
				return -1
			}
			return 1
		}
		if cluster.RendezvousScore(self.Name, a.Name) > cluster.RendezvousScore(self.Name, b.Name) {
			return -1
		}
		return 1
	})
}

func chooseWithZoneLimit(peers []*cluster.Member, size, maxPerZone int) []cluster.Witness {
	var out []cluster.Witness
	perZone := map[string]int{}
	for _, p := range peers {
		if len(out) == size {
			break
		}
		if perZone[p.Zone] >= maxPerZone {
			continue
		}
		perZone[p.Zone]++
		out = append(out, cluster.Witness{MemberRef: p.MemberRef, PeerAddr: p.PeerAddr})
	}
	return out
}

package lease

import (
	"slices"
	"strings"

	"fulmarhinge/internal/cluster"
)

// Choose returns the witnesses that a member should name: up to want live
// peers of its region, an odd number of them, with a minority in each
// availability zone while there are enough zones, so that a zone's loss leaves a
// majority.
// Present witnesses that are still usable stay, so that a set changes only
// when it must. bad excludes peers that have refused or fallen silent.
func Choose(self cluster.Member, peers []*cluster.Member, want int, bad func(cluster.MemberRef) bool) []cluster.Witness {
	usable := usablePeers(self, peers, bad)
	zones := map[string]int{}
	for _, p := range usable {
		zones[p.Zone]++
	}
	size := oddAtMost(min(want, len(usable)))
	if size == 0 {
		return nil
	}
	sortByPreference(self, usable)
	var picked []cluster.Witness
	// A minority in each zone if there are enough zones, else as even as can be.
	for _, zoneCap := range []int{max(1, (size-1)/2), (size + len(zones) - 1) / len(zones), size} {
		if picked = pick(usable, size, zoneCap); len(picked) == size {
			break
		}
	}
	slices.SortFunc(picked, func(a, b cluster.Witness) int { return strings.Compare(a.Name, b.Name) })
	return picked
}

func usablePeers(self cluster.Member, peers []*cluster.Member, bad func(cluster.MemberRef) bool) []*cluster.Member {
	var out []*cluster.Member
	for _, p := range peers {
		if p.Name == self.Name || p.Region != self.Region || p.State != cluster.StateActive {
			continue
		}
		if !bad(p.MemberRef) {
			out = append(out, p)
		}
	}
	return out
}

// oddAtMost returns the largest odd number up to n: an even set needs one
// more answer than the odd one below it and survives no more losses.
func oddAtMost(n int) int {
	if n > 0 && n%2 == 0 {
		return n - 1
	}
	return n
}

// sortByPreference puts present witnesses first, then peers by rendezvous
// rank, which spreads the work of witnessing evenly.
func sortByPreference(self cluster.Member, peers []*cluster.Member) {
	present := map[cluster.MemberRef]bool{}
	for _, w := range self.Witnesses {
		present[w.MemberRef] = true
	}
	slices.SortFunc(peers, func(a, b *cluster.Member) int {
		if present[a.MemberRef] != present[b.MemberRef] {
			if present[a.MemberRef] {
				return -1
			}
			return 1
		}
		if cluster.Rank(self.Name, a.Name) > cluster.Rank(self.Name, b.Name) {
			return -1
		}
		return 1
	})
}

func pick(peers []*cluster.Member, size, zoneCap int) []cluster.Witness {
	var out []cluster.Witness
	used := map[string]int{}
	for _, p := range peers {
		if len(out) == size {
			break
		}
		if used[p.Zone] >= zoneCap {
			continue
		}
		used[p.Zone]++
		out = append(out, cluster.Witness{MemberRef: p.MemberRef, PeerAddr: p.PeerAddr})
	}
	return out
}

package cluster

import (
	"encoding/json"
	"fmt"
)

// storedGroup is the compact stored form of a Group. Each owner is stored once
// and referenced by index, which keeps a full group within about 10 KB.
type storedGroup struct {
	Service  string               `json:"service"`
	First    int                  `json:"first"`
	Owners   []MemberRef          `json:"owners"`
	Shards   []storedShard        `json:"shards"`
	Pins     []Pin                `json:"pins,omitempty"`
	Moving   []storedPredecessors `json:"moving,omitempty"`
	ChangeID string               `json:"change_id"`
}

// storedShard is the index of the owner, -1 for none, and the epoch.
type storedShard [2]int64

// storedPredecessors holds the predecessors of the shard with the given index.
type storedPredecessors struct {
	Index        int           `json:"index"`
	Predecessors []Predecessor `json:"predecessors"`
}

// MarshalJSON encodes the group in its compact form.
func (g Group) MarshalJSON() ([]byte, error) {
	out := storedGroup{Service: g.Service, First: g.First, Pins: g.Pins, ChangeID: g.ChangeID}
	out.Shards = make([]storedShard, len(g.Shards))
	index := map[MemberRef]int64{}
	for i, a := range g.Shards {
		out.Shards[i] = storedShard{ownerIndex(&out, index, a.Owner), int64(a.Epoch)}
		if len(a.Predecessors) > 0 {
			out.Moving = append(out.Moving, storedPredecessors{Index: i, Predecessors: a.Predecessors})
		}
	}
	return json.Marshal(out)
}

// ownerIndex returns the index of the owner in g and adds the owner if needed;
// -1 for no owner.
func ownerIndex(g *storedGroup, index map[MemberRef]int64, owner MemberRef) int64 {
	if owner.IsZero() {
		return -1
	}
	i, ok := index[owner]
	if !ok {
		i = int64(len(g.Owners))
		index[owner] = i
		g.Owners = append(g.Owners, owner)
	}
	return i
}

// UnmarshalJSON decodes the compact form. It returns an error if an index is out
// of range.
func (g *Group) UnmarshalJSON(b []byte) error {
	var in storedGroup
	if err := json.Unmarshal(b, &in); err != nil {
		return err
	}
	*g = Group{Service: in.Service, First: in.First, Pins: in.Pins, ChangeID: in.ChangeID}
	g.Shards = make([]Assignment, len(in.Shards))
	for i, s := range in.Shards {
		if s[0] >= int64(len(in.Owners)) {
			return fmt.Errorf("shard %d has owner index %d, but the group has %d owners", i, s[0], len(in.Owners))
		}
		if s[0] >= 0 {
			g.Shards[i].Owner = in.Owners[s[0]]
		}
		g.Shards[i].Epoch = uint64(s[1])
	}
	for _, m := range in.Moving {
		if m.Index < 0 || m.Index >= len(g.Shards) {
			return fmt.Errorf("predecessors have shard index %d, but the group has %d shards", m.Index, len(g.Shards))
		}
		g.Shards[m.Index].Predecessors = m.Predecessors
	}
	return nil
}

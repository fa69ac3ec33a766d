package cluster

import (
	"encoding/json"
	"fmt"
)

// storedGroup is the compact stored form of a Group: owners are written once
// and named by index, so that a full group stays within about 10 KB.
type storedGroup struct {
	Service  string        `json:"service"`
	First    int           `json:"first"`
	Owners   []MemberRef   `json:"owners"`
	Shards   []storedShard `json:"shards"`
	Pins     []Pin         `json:"pins,omitempty"`
	Moving   []storedMove  `json:"moving,omitempty"`
	ChangeID string        `json:"change_id"`
}

// storedShard is the owner's index, -1 for none, and the epoch.
type storedShard [2]int64

// storedMove holds the predecessors of one shard.
type storedMove struct {
	Index        int           `json:"index"`
	Predecessors []Predecessor `json:"predecessors"`
}

// MarshalJSON writes the compact form.
func (g Group) MarshalJSON() ([]byte, error) {
	out := storedGroup{Service: g.Service, First: g.First, Pins: g.Pins, ChangeID: g.ChangeID}
	out.Shards = make([]storedShard, len(g.Shards))
	index := map[MemberRef]int64{}
	for i, a := range g.Shards {
		out.Shards[i] = storedShard{ownerIndex(&out, index, a.Owner), int64(a.Epoch)}
		if len(a.Predecessors) > 0 {
			out.Moving = append(out.Moving, storedMove{Index: i, Predecessors: a.Predecessors})
		}
	}
	return json.Marshal(out)
}

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

// UnmarshalJSON reads the compact form and refuses indexes out of range.
func (g *Group) UnmarshalJSON(b []byte) error {
	var in storedGroup
	if err := json.Unmarshal(b, &in); err != nil {
		return err
	}
	*g = Group{Service: in.Service, First: in.First, Pins: in.Pins, ChangeID: in.ChangeID}
	g.Shards = make([]Assignment, len(in.Shards))
	for i, s := range in.Shards {
		if s[0] >= int64(len(in.Owners)) {
			return fmt.Errorf("shard %d names owner %d of %d", i, s[0], len(in.Owners))
		}
		if s[0] >= 0 {
			g.Shards[i].Owner = in.Owners[s[0]]
		}
		g.Shards[i].Epoch = uint64(s[1])
	}
	for _, m := range in.Moving {
		if m.Index < 0 || m.Index >= len(g.Shards) {
			return fmt.Errorf("predecessors of shard %d of %d", m.Index, len(g.Shards))
		}
		g.Shards[m.Index].Predecessors = m.Predecessors
	}
	return nil
}

package ingress

import (
	"testing"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

// TestNoticeCache checks what a node remembers of the notices in responses, and passes on with
// the next request.
func TestNoticeCache(t *testing.T) {
	now := time.Unix(1000, 0)
	member := &fleet.Member{MemberRef: cluster.MemberRef{Name: "m"}, Server: &fleet.Server{Instance: fleet.Instance{ID: "i", StartedMs: 7}}}
	other := &fleet.Member{MemberRef: cluster.MemberRef{Name: "n"}, Server: &fleet.Server{Instance: fleet.Instance{ID: "j", StartedMs: 7}}}
	limited := &wire.ServerNotice{Id: "i", BornMs: 7, Limited: true, Limit: 3}
	leaving := &wire.ServerNotice{Id: "i", BornMs: 7, Leaving: true, LeavingMs: 500}
	answer := func(c result.Code, n *wire.ServerNotice) *wire.ResponseHead {
		return &wire.ResponseHead{Code: uint32(c), Notice: n}
	}
	tests := []struct {
		name           string
		responses      []*wire.ResponseHead
		limit          float64
		leaving, known bool
	}{
		{name: "nothing stated", responses: []*wire.ResponseHead{answer(result.OK, nil)}},
		{name: "limit", responses: []*wire.ResponseHead{answer(result.OK, limited)}, limit: 3, known: true},
		{name: "limit, then a refusal of a restarted gate", responses: []*wire.ResponseHead{answer(result.OK, limited), answer(result.BackendNotReady, nil)}, limit: 3, known: true},
		{name: "limit that has ended", responses: []*wire.ResponseHead{answer(result.OK, limited), answer(result.OK, nil)}},
		{name: "leaving", responses: []*wire.ResponseHead{answer(result.OK, leaving)}, leaving: true, known: true},
		{name: "leaving, then an answer without it", responses: []*wire.ResponseHead{answer(result.OK, leaving), answer(result.OK, nil)}, leaving: true, known: true},
		{name: "leaving, then the next instance", responses: []*wire.ResponseHead{
			answer(result.OK, leaving), answer(result.OK, &wire.ServerNotice{Id: "i", BornMs: 8, Limited: true, Limit: 4}),
		}, limit: 4, known: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var cache noticeCache
			for _, h := range tc.responses {
				cache.record(now, "m", h)
			}
			n := cache.wire(now.Add(time.Second), member)
			if (n != nil) != tc.known || n.GetLimit() != tc.limit || n.GetLeaving() != tc.leaving {
				t.Errorf("got %v", n)
			}
			if tc.leaving && n.GetLeavingMs() != 1500 {
				t.Errorf("leaving for %d ms, expected 1500", n.GetLeavingMs())
			}
			if stay := cache.withoutLeaving([]*fleet.Member{member, other}); (len(stay) == 1) != tc.leaving {
				t.Errorf("%d members are left to choose from", len(stay))
			}
			if all := cache.withoutLeaving([]*fleet.Member{member}); len(all) != 1 {
				t.Error("no member is left to choose from")
			}
			cache.prune(now.Add(noticeRetention), &fleet.Document{})
			if got := cache.wire(now, member); (got != nil) != tc.known {
				t.Errorf("notice %v of a member that has just left", got)
			}
			cache.prune(now.Add(noticeRetention+time.Second), &fleet.Document{})
			if cache.wire(now, member) != nil {
				t.Error("the notice of a member that has left is kept")
			}
		})
	}
}

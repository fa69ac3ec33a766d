package sidecar

import (
	"fmt"
	"slices"
	"testing"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/fleet"
)

func TestSuspectTargets(t *testing.T) {
	doc := &fleet.Document{Leader: cluster.MemberRef{Name: "n1"}, Members: map[string]*fleet.Member{}}
	for i := range 6 {
		name := fmt.Sprint("n", i)
		doc.Members[name] = &fleet.Member{MemberRef: cluster.MemberRef{Name: name}, Evicted: i == 3}
	}
	tests := map[string]struct {
		self  string
		leads bool
		want  []string
	}{
		"the leader tells all":          {self: "n1", leads: true, want: []string{"n0", "n2", "n4", "n5"}},
		"another node":                  {self: "n2", want: []string{"n1", "n4", "n5"}},
		"the last by name":              {self: "n5", want: []string{"n1", "n0", "n2"}},
		"before the leader":             {self: "n0", want: []string{"n1", "n2", "n4"}},
		"listed as leader, not leading": {self: "n1", want: []string{"n2", "n4"}},
		"a node that is not listed yet": {self: "n9", want: []string{"n1", "n0", "n2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, m := range suspectTargets(doc, tt.self, tt.leads) {
				got = append(got, m.Name)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("told %v, expected %v", got, tt.want)
			}
		})
	}
}

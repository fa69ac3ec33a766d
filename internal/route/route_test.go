package route

import (
	"math"
	"testing"
)

// TestPickFollowsWeights checks that services are picked in proportion to their
// weights.
func TestPickFollowsWeights(t *testing.T) {
	r := &Route{Split: []WeightedService{{"a", 90}, {"b", 10}}}
	n := map[string]int{}
	const picks = 20000
	for range picks {
		n[r.Pick()]++
	}
	if share := float64(n["b"]) / picks; math.Abs(share-0.1) > 0.02 {
		t.Errorf("service with weight 10 of 100 received a share of %.3f", share)
	}
}

// TestMatch checks that the route with the longest matching prefix is selected.
func TestMatch(t *testing.T) {
	c := New(1, []*Route{
		{Name: "long", Host: "H.example", Prefix: "/a/b/"}, {Name: "short", Host: "h.example", Prefix: "/a/"}, {Name: "other", Host: "o.example", Prefix: "/"},
	}, nil, Limits{})
	tests := map[[2]string]string{
		{"h.example", "/a/b/c"}: "long", {"h.example:80", "/a/b"}: "short", {"H.EXAMPLE", "/a/x"}: "short",
		{"o.example", "/any"}: "other", {"h.example", "/b/"}: "", {"none", "/a/"}: "",
	}
	for in, want := range tests {
		got := ""
		if r := c.Match(in[0], in[1]); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("%v: got %q, expected %q", in, got, want)
		}
	}
}

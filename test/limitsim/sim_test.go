package limitsim

import "testing"

// maxOvershoot and minUsable are the targets for leased shares.
const (
	maxOvershoot = 0.02
	minUsable    = 0.95
	seed         = 1
)

func TestLeasedSharesKeepTheContract(t *testing.T) {
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			r := Run(s, "leased shares", NewLeased(Start, s.Nodes, s.Terms), seed)
			if r.Overshoot > maxOvershoot {
				t.Errorf("overshoot %.2f%%", 100*r.Overshoot)
			}
			if len(s.Faults) == 0 && !s.moving && r.Usable < minUsable {
				t.Errorf("usable %.2f%%", 100*r.Usable)
			}
			const steady = 0.01
			if r.RoundTripShare > steady {
				t.Errorf("%.2f%% of requests waited for another node", 100*r.RoundTripShare)
			}
		})
	}
}

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
			r := Run(s, "leased shares", NewLeased(StartTime, s.Nodes, s.Terms), seed)
			if r.Overshoot > maxOvershoot {
				t.Errorf("admitted requests exceed the contract by %.2f%%", 100*r.Overshoot)
			}
			if len(s.Faults) == 0 && !s.moving && r.Usable < minUsable {
				t.Errorf("only %.2f%% of the admissible requests were admitted", 100*r.Usable)
			}
			const maxRoundTripShare = 0.01
			if r.RoundTripShare > maxRoundTripShare {
				t.Errorf("%.2f%% of requests waited for another node", 100*r.RoundTripShare)
			}
		})
	}
}

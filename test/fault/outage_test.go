package fault

import (
	"os"
	"testing"
	"time"

	"fulmarhinge/internal/platform"
	"fulmarhinge/test/fault/harness"
)

// outageVariable names the environment variable with the length of the outage.
// CI keeps it short; a proof sets 60s.
const outageVariable = "FULMARHINGE_OUTAGE"

// outage is how long the platform is down.
func outage(t *testing.T) time.Duration {
	t.Helper()
	const short = 8 * time.Second
	text := os.Getenv(outageVariable)
	if text == "" {
		return short
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatalf("%s: %v", outageVariable, err)
	}
	return d
}

func TestPlatformOutage(t *testing.T) {
	s := start(t, nil)
	s.run(time.Second)
	fault := time.Now()
	s.must(s.fleet.SwitchPlatform(platform.Switches{Down: true}))
	s.run(outage(t))
	s.must(s.fleet.SwitchPlatform(platform.Switches{}))
	s.run(2 * time.Second)
	v := s.finish()
	// No key may notice.
	s.gaps(v, "all keys", nil, fault, time.Second)
}

func TestPlatformOutageWithALoss(t *testing.T) {
	s := start(t, nil)
	s.run(time.Second)
	victim := s.fleet.Nodes[5]
	fault := time.Now()
	s.must(s.fleet.SwitchPlatform(platform.Switches{Down: true}))
	s.run(time.Second)
	s.fleet.Avoid(victim)
	s.fleet.KillVM(victim)
	s.run(outage(t))
	s.must(s.fleet.SwitchPlatform(platform.Switches{}))
	up := time.Now()
	s.run(5 * time.Second)
	v := s.finish()
	lost := s.ownedBy(v, fault, victim)
	// A take-over needs the platform: the lost node's keys come back after it.
	gaps := harness.Unavailable(v.attempts, up, v.end)
	for _, key := range lost {
		if gaps[key].First > servedAgain {
			t.Errorf("key %s was served again %v after the platform came back", key, gaps[key].First)
		}
	}
	s.gaps(v, "keys of the nodes that live", without(s.keys, lost), fault, time.Second)
}

func TestSlowPlatform(t *testing.T) {
	s := start(t, nil)
	s.run(time.Second)
	victim := s.fleet.Nodes[0]
	s.must(s.fleet.SwitchPlatform(platform.Switches{SlowMs: 200}))
	s.fleet.Avoid(victim)
	fault := time.Now()
	s.fleet.KillVM(victim)
	s.run(6 * time.Second)
	v := s.finish()
	s.gaps(v, "keys of the killed owner", s.ownedBy(v, fault, victim), fault, servedAgain+interval)
}

// without returns the keys that are not in the other list.
func without(keys, other []string) []string {
	drop := make(map[string]bool)
	for _, key := range other {
		drop[key] = true
	}
	var rest []string
	for _, key := range keys {
		if !drop[key] {
			rest = append(rest, key)
		}
	}
	return rest
}

package fault

import (
	"os"
	"testing"
	"time"

	"fulmarhinge/internal/platform"
	"fulmarhinge/test/fault/harness"
)

// outageVariable is the environment variable with the duration of the outage. CI
// uses the short default; full proof runs set 60s.
const outageVariable = "FULMARHINGE_OUTAGE"

// outageDuration returns how long the platform is down.
func outageDuration(t *testing.T) time.Duration {
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
	s := startUnderLoad(t, nil)
	s.runFor(time.Second)
	fault := time.Now()
	s.must(s.fleet.SwitchPlatform(platform.Switches{Down: true}))
	s.runFor(outageDuration(t))
	s.must(s.fleet.SwitchPlatform(platform.Switches{}))
	s.runFor(2 * time.Second)
	result := s.finish()
	// The outage must not interrupt any key.
	s.checkGaps(result, "all keys", nil, fault, time.Second)
}

func TestVMLostDuringPlatformOutage(t *testing.T) {
	s := startUnderLoad(t, nil)
	s.runFor(time.Second)
	killed := s.fleet.Nodes[5]
	fault := time.Now()
	s.must(s.fleet.SwitchPlatform(platform.Switches{Down: true}))
	s.runFor(time.Second)
	s.fleet.Avoid(killed)
	s.fleet.KillVM(killed)
	s.runFor(outageDuration(t))
	s.must(s.fleet.SwitchPlatform(platform.Switches{}))
	restored := time.Now()
	s.runFor(5 * time.Second)
	result := s.finish()
	lost := s.ownedBy(result, fault, killed)
	// A take-over needs the platform, so the keys of the lost VM are served again
	// only after the platform is back.
	gaps := harness.KeyGaps(result.attempts, restored, result.end)
	for _, key := range lost {
		if gaps[key].UntilFirstAnswer > takeoverBound {
			t.Errorf("key %s was served again only %v after the platform was back", key, gaps[key].UntilFirstAnswer)
		}
	}
	s.checkGaps(result, "keys of the remaining nodes", without(s.keys, lost), fault, time.Second)
}

func TestSlowPlatform(t *testing.T) {
	s := startUnderLoad(t, nil)
	s.runFor(time.Second)
	owner := s.fleet.Nodes[0]
	s.must(s.fleet.SwitchPlatform(platform.Switches{SlowMs: 200}))
	s.fleet.Avoid(owner)
	fault := time.Now()
	s.fleet.KillVM(owner)
	s.runFor(6 * time.Second)
	result := s.finish()
	s.checkGaps(result, "keys of the killed owner", s.ownedBy(result, fault, owner), fault, takeoverBound+requestInterval)
}

// without returns the keys that are not in other.
func without(keys, other []string) []string {
	excluded := make(map[string]bool)
	for _, key := range other {
		excluded[key] = true
	}
	var rest []string
	for _, key := range keys {
		if !excluded[key] {
			rest = append(rest, key)
		}
	}
	return rest
}

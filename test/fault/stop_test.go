package fault

import (
	"testing"
	"time"

	"fulmarhinge/test/fault/harness"
)

// TestPlannedStop stops one node with SIGTERM and drains the backend server of
// another while requests of 300 ms are in flight.
func TestPlannedStop(t *testing.T) {
	s := startUnderLoad(t, func(o *harness.Options) { o.Work = 300 * time.Millisecond })
	// Wait for the shard moves of the start-up to end: this test does not cover
	// the requests that they refuse.
	s.runFor(2 * time.Second)
	stopped, leaving := s.fleet.Nodes[2], s.fleet.Nodes[4]
	fault := time.Now()
	// Callers continue to use the stopping node as an entry: it must refuse new
	// requests as not run and complete those in flight.
	s.must(stopped.Node.Terminate())
	select {
	case <-stopped.Node.Exited():
	case <-time.After(15 * time.Second):
		t.Error("the node has not stopped after 15 s")
	}
	s.fleet.Avoid(stopped)
	t.Logf("stopped after %v with exit code %d", time.Since(fault).Round(time.Millisecond), stopped.Node.ExitCode())
	if code := stopped.Node.ExitCode(); code != 0 {
		t.Errorf("exit code %d, expected 0", code)
	}
	drain := true
	s.must(s.fleet.SwitchBackend(leaving, harness.BackendSwitch{Drain: &drain}))
	drainStarted := time.Now()
	s.runFor(4 * time.Second)
	result := s.finish()
	s.checkNothingInterrupted(result, fault)
	s.checkGaps(result, "all keys", nil, fault, time.Second)
	const newWorkBound = 3 * time.Second
	for _, r := range result.history.Records {
		if r.Server == leaving.Name+"/1" && r.Event == "start" && r.At > drainStarted.Add(newWorkBound).UnixNano() {
			t.Errorf("the leaving backend server received new work %v after it announced that it leaves",
				time.Unix(0, r.At).Sub(drainStarted))
			break
		}
	}
}

// checkNothingInterrupted fails the test for each attempt that ended after the
// given time with a broken connection or an unknown outcome.
func (s *loadedFleet) checkNothingInterrupted(result loadResult, since time.Time) {
	s.t.Helper()
	const maxReported = 10
	interrupted := 0
	for _, a := range result.attempts {
		if a.Ended.Before(since) || a.Class != harness.Incomplete && a.Class != harness.Unknown {
			continue
		}
		interrupted++
		if interrupted <= maxReported {
			s.t.Errorf("attempt %s through %s, sent %v and ended %v after the stop began: %s %d %s", a.ID, a.Entry,
				a.Sent.Sub(since).Round(time.Millisecond), a.Ended.Sub(since).Round(time.Millisecond), a.Class, a.Code, a.Detail)
		}
	}
	s.t.Logf("%d requests interrupted or of unknown outcome", interrupted)
}

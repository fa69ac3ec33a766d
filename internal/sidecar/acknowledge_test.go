package sidecar

import (
	"testing"

	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/fleet"
)

// TestUnrecordedCallIsNotAcknowledged guards against an acknowledgement of a report or a deregistration whose handling
// failed, or that came after the control goroutine had ended.
func TestUnrecordedCallIsNotAcknowledged(t *testing.T) {
	check := func(l *controlLoop) {
		t.Helper()
		if !l.handleReport(fleet.Report{}).Stale {
			t.Error("the report was acknowledged")
		}
		if l.handleDeregistration(fleet.Deregistration{ID: "i-1"}) {
			t.Error("the deregistration was acknowledged")
		}
	}
	// The node has no state machine, so that handling fails.
	failing := newControlLoop(&Node{log: hclog.NewNullLogger()})
	go func() {
		for f := range failing.calls {
			failing.contained(f)
		}
	}()
	check(failing)
	ended := newControlLoop(&Node{log: hclog.NewNullLogger()})
	close(ended.done)
	check(ended)
}

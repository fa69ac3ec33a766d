package sidecar

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/fleet"
)

// TestConfigurationWithFullQueue guards against a node that hangs: the control goroutine waited for the lock under which a
// configuration was put in force, and that waited for room in the control goroutine's queue.
func TestConfigurationWithFullQueue(t *testing.T) {
	l := newControlLoop(&Node{log: hclog.NewNullLogger()})
	for range eventQueueSize {
		l.events <- fleet.Tick{}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.enqueueLater(fleet.ConfigChanged{Version: 2})
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the event waits for room in the queue")
	}
	for range eventQueueSize {
		<-l.events
	}
	if e, ok := (<-l.events).(fleet.ConfigChanged); !ok || e.Version != 2 {
		t.Errorf("the queue has %v", e)
	}
}

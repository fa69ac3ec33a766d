package disconnect

import (
	"context"
	"testing"
	"time"
)

func TestStillConnected(t *testing.T) {
	if !StillConnected(context.Background()) {
		t.Error("StillConnected returned false for a caller that is still connected")
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if StillConnected(cancelled) {
		t.Error("StillConnected returned true for a caller that disconnected before the check")
	}
	expiring, stop := context.WithTimeout(context.Background(), time.Millisecond)
	defer stop()
	if StillConnected(expiring) {
		t.Error("StillConnected returned true for a caller that disconnected during the check")
	}
}

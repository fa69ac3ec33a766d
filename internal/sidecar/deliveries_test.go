package sidecar

import (
	"testing"
	"time"
)

// TestConfigurationIsNotSentAgainOnItsWay guards against a configuration that is sent again with each status of members
// that it has not reached yet, and so fills the leader's link.
func TestConfigurationIsNotSentAgainOnItsWay(t *testing.T) {
	const size, members, linkMbps = 100 << 10, 80, 11
	now := time.Now()
	var d deliveries
	d.reset(deliveryTime(size, members, linkMbps))
	sent := 0
	const statuses = 20
	for range statuses {
		if d.due(now, "a") {
			sent++
		}
		now = now.Add(350 * time.Millisecond)
	}
	if sent != 1 {
		t.Errorf("sent %d times within %d statuses while it is on its way to %d members", sent, statuses, members)
	}
	if now = now.Add(deliveryTime(size, members, linkMbps)); !d.due(now, "a") {
		t.Error("not sent again after a loss")
	}
	d.reset(deliveryTime(size, members, linkMbps))
	if !d.due(now, "a") {
		t.Error("the next configuration waits for the one before")
	}
	if got := deliveryTime(1<<10, 10, 1000); got > 2*spreadTime {
		t.Errorf("a small configuration is sent again only after %v", got)
	}
}

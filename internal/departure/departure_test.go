package departure

import (
	"context"
	"testing"
	"time"
)

func TestStays(t *testing.T) {
	if !Stays(context.Background()) {
		t.Error("an asker that stays has left")
	}
	left, cancel := context.WithCancel(context.Background())
	cancel()
	if Stays(left) {
		t.Error("an asker that left before the look stays")
	}
	soon, stop := context.WithTimeout(context.Background(), time.Millisecond)
	defer stop()
	if Stays(soon) {
		t.Error("an asker that left during the look stays")
	}
}

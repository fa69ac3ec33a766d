package backend

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

func TestSlotsAreGrantedRoundRobinByCustomer(t *testing.T) {
	s := newSlots(1)
	if !s.acquire(context.Background(), "a") {
		t.Fatal("no slot for the first request")
	}
	var mu sync.Mutex
	var order []string
	var wg sync.WaitGroup
	wait := func(customer string, n int64) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if s.acquire(context.Background(), customer) {
				mu.Lock()
				order = append(order, customer)
				mu.Unlock()
				s.release()
			}
		}()
		eventually(t, "the request is queued", func() bool { return s.waiting.Load() == n })
	}
	for i := range int64(5) {
		wait("a", i+1)
	}
	wait("b", 6)
	s.release()
	wg.Wait()
	if order[1] != "b" || len(order) != 6 {
		t.Fatalf("served in the order %v", order)
	}
	if s.used.Load() != 0 || s.waiting.Load() != 0 || len(s.queues) != 0 {
		t.Fatal("slots are still in use or requests still queued")
	}
}

func TestCancelledSlotWaitersAreRemoved(t *testing.T) {
	s := newSlots(2)
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%7)*time.Millisecond)
			defer cancel()
			if s.acquire(ctx, fmt.Sprint(i%5)) {
				time.Sleep(time.Millisecond)
				s.release()
			}
		}()
	}
	wg.Wait()
	if s.used.Load() != 0 || s.waiting.Load() != 0 || len(s.queues) != 0 || len(s.roundRobin) != 0 {
		t.Fatalf("after all requests: %d slots used, %d requests queued", s.used.Load(), s.waiting.Load())
	}
}

func TestLoadsFindHotKeyInBoundedMemory(t *testing.T) {
	l := newLoads()
	for i := range 20000 {
		l.add(testUnit, fmt.Sprintf("cold%d", i))
		if i%20 == 0 {
			l.add(testUnit, "hot")
		}
	}
	got := l.snapshotAndReset()
	if got.Total != 21000 || len(got.Units) != 1 || len(got.Keys) > maxReportedKeys {
		t.Fatalf("total %d, %d units, %d keys", got.Total, len(got.Units), len(got.Keys))
	}
	found := false
	for _, k := range got.Keys {
		found = found || k.Key == "hot" && k.Count >= 1000 && k.Count-k.Error <= 1000
	}
	if !found {
		t.Fatal("the hot key is missing or its count is wrong")
	}
	if again := l.snapshotAndReset(); again.Total != 0 {
		t.Fatal("counts were not reset")
	}
}

// Pins are created and dissolved over time, so the counters of units without
// requests must be deleted.
func TestLoadsDropUnitsWithoutRequests(t *testing.T) {
	l := newLoads()
	for i := range 1000 {
		key := fmt.Sprint(i)
		l.add(keyUnit(testUnit, key), key)
	}
	l.snapshotAndReset()
	l.snapshotAndReset()
	left := 0
	l.units.Range(func(any, any) bool { left++; return true })
	if left != 0 {
		t.Fatalf("%d units without requests still have counters", left)
	}
}

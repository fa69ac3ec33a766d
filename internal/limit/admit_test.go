package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/contract"
	"fulmarhinge/internal/result"
)

// startManager returns a lone node with one contract, and its control loop.
func startManager(t *testing.T, terms contract.Terms, services map[string]contract.Terms) *Manager {
	t.Helper()
	// The node has run long enough for every burst to have built up.
	m := NewManager(cluster.MemberRef{Name: "a", Incarnation: 1}, clock.Now().Add(-time.Hour), nil)
	c := config.New()
	c.Contracts["shop"] = contract.Contract{Customer: "shop", Total: terms, Services: services}
	m.SetConfig(clock.Now(), c)
	m.SetMembers(clock.Now(), []string{"a"})
	stop := make(chan struct{})
	var loop sync.WaitGroup
	loop.Go(func() {
		tick := time.NewTicker(20 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-m.Urgent():
			case <-tick.C:
			}
			m.Tick(clock.Now())
		}
	})
	t.Cleanup(func() {
		close(stop)
		loop.Wait()
	})
	return m
}

// offer sends n requests at once and counts the outcomes by code.
func offer(m *Manager, n int, customer, service string, timeout time.Duration) map[result.Code]int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[result.Code]int)
	for range n {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			done, refusal := m.Admitter().Admit(ctx, customer, service)
			code := result.OK
			if refusal != nil {
				code = refusal.Code
			} else {
				done()
			}
			mu.Lock()
			defer mu.Unlock()
			counts[code]++
		})
	}
	wg.Wait()
	return counts
}

func TestAdmit(t *testing.T) {
	terms := contract.Terms{Rate: 100, Burst: 10, MaxWaiting: 30}
	slow := contract.Terms{Rate: 1, Burst: 1, MaxWaiting: 5}
	cases := map[string]struct {
		n                 int
		customer, service string
		timeout           time.Duration
		least, most       int
		refusals          []result.Code
	}{
		"unknown customer":          {1, "nobody", "", time.Second, 0, 0, []result.Code{result.UnknownCustomer}},
		"first request":             {1, "shop", "", time.Second, 1, 1, nil},
		"more than may wait":        {100, "shop", "", 2 * time.Second, 20, 50, []result.Code{result.WaitingFull, result.OverContract}},
		"longer than the deadline":  {30, "shop", "", 100 * time.Millisecond, 1, 25, []result.Code{result.WaitingFull, result.OverContract, result.DeadlineBefore}},
		"service with lower limits": {6, "shop", "files", 500 * time.Millisecond, 1, 2, []result.Code{result.WaitingFull, result.OverContract, result.DeadlineBefore}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := startManager(t, terms, map[string]contract.Terms{"files": slow})
			got := offer(m, c.n, c.customer, c.service, c.timeout)
			if got[result.OK] < c.least || got[result.OK] > c.most {
				t.Fatalf("admitted %d of %d, expected %d to %d: %v", got[result.OK], c.n, c.least, c.most, got)
			}
			refused := 0
			for _, code := range c.refusals {
				refused += got[code]
			}
			if refused+got[result.OK] != c.n {
				t.Fatalf("unexpected outcomes: %v", got)
			}
		})
	}
}

func TestRefusalIsAtOnceAndSaysWhenToComeBack(t *testing.T) {
	m := startManager(t, contract.Terms{Rate: 2, Burst: 1, MaxWaiting: 100}, nil)
	offer(m, 2, "shop", "", time.Second)
	var refused atomic.Int32
	for range 10 {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		before := time.Now()
		_, refusal := m.Admitter().Admit(ctx, "shop", "")
		if refusal != nil && refusal.Code == result.OverContract {
			refused.Add(1)
			if took := time.Since(before); took > 100*time.Millisecond {
				t.Errorf("refused after %v", took)
			}
			if refusal.RetryAfter < 100*time.Millisecond {
				t.Errorf("come back after %v", refusal.RetryAfter)
			}
		}
		cancel()
	}
	if refused.Load() == 0 {
		t.Fatal("nothing was refused")
	}
}

func TestFloodOfOneCustomerLeavesOthersAlone(t *testing.T) {
	m := startManager(t, contract.Terms{Rate: 10, Burst: 5, MaxWaiting: 5}, nil)
	c := config.New()
	c.Contracts["shop"] = m.config.Contracts["shop"]
	c.Contracts["other"] = contract.Contract{Customer: "other", Total: contract.Terms{Rate: 1000, Burst: 100, MaxWaiting: 10}}
	m.SetConfig(clock.Now(), c)
	offer(m, 1, "other", "", time.Second)
	var flood sync.WaitGroup
	flood.Go(func() { offer(m, 500, "shop", "", time.Second) })
	got := offer(m, 50, "other", "", time.Second)
	flood.Wait()
	if got[result.OK] != 50 {
		t.Fatalf("the other customer got %v", got)
	}
}

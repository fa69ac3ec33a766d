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

// startManager returns the manager of a single node with one contract, and runs
// its control loop until the test ends.
func startManager(t *testing.T, terms contract.Terms, services map[string]contract.Terms) *Manager {
	t.Helper()
	// The start lies far enough in the past for the full burst.
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

// sendRequests sends n concurrent requests and counts the outcomes by code.
func sendRequests(m *Manager, n int, customer, service string, timeout time.Duration) map[result.Code]int {
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
		n                        int
		customer, service        string
		timeout                  time.Duration
		minAdmitted, maxAdmitted int
		refusals                 []result.Code
	}{
		"unknown customer":          {1, "nobody", "", time.Second, 0, 0, []result.Code{result.UnknownCustomer}},
		"first request":             {1, "shop", "", time.Second, 1, 1, nil},
		"queue limit exceeded":      {100, "shop", "", 2 * time.Second, 20, 50, []result.Code{result.WaitingFull, result.OverContract}},
		"wait exceeds deadline":     {30, "shop", "", 100 * time.Millisecond, 1, 25, []result.Code{result.WaitingFull, result.OverContract, result.DeadlineBefore}},
		"service with lower limits": {6, "shop", "files", 500 * time.Millisecond, 1, 2, []result.Code{result.WaitingFull, result.OverContract, result.DeadlineBefore}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := startManager(t, terms, map[string]contract.Terms{"files": slow})
			got := sendRequests(m, c.n, c.customer, c.service, c.timeout)
			if got[result.OK] < c.minAdmitted || got[result.OK] > c.maxAdmitted {
				t.Fatalf("admitted %d of %d, expected %d to %d: %v", got[result.OK], c.n, c.minAdmitted, c.maxAdmitted, got)
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

func TestRefusalIsImmediateWithRetryAfter(t *testing.T) {
	m := startManager(t, contract.Terms{Rate: 2, Burst: 1, MaxWaiting: 100}, nil)
	sendRequests(m, 2, "shop", "", time.Second)
	var refused atomic.Int32
	for range 10 {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		before := time.Now()
		_, refusal := m.Admitter().Admit(ctx, "shop", "")
		if refusal != nil && refusal.Code == result.OverContract {
			refused.Add(1)
			if took := time.Since(before); took > 100*time.Millisecond {
				t.Errorf("refused after %v, expected at most 100ms", took)
			}
			if refusal.RetryAfter < 100*time.Millisecond {
				t.Errorf("retry after %v, expected at least 100ms", refusal.RetryAfter)
			}
		}
		cancel()
	}
	if refused.Load() == 0 {
		t.Fatal("no request was refused")
	}
}

func TestOverloadOfOneCustomerDoesNotAffectOthers(t *testing.T) {
	m := startManager(t, contract.Terms{Rate: 10, Burst: 5, MaxWaiting: 5}, nil)
	c := config.New()
	c.Contracts["shop"] = m.config.Contracts["shop"]
	c.Contracts["other"] = contract.Contract{Customer: "other", Total: contract.Terms{Rate: 1000, Burst: 100, MaxWaiting: 10}}
	m.SetConfig(clock.Now(), c)
	sendRequests(m, 1, "other", "", time.Second)
	var overload sync.WaitGroup
	overload.Go(func() { sendRequests(m, 500, "shop", "", time.Second) })
	got := sendRequests(m, 50, "other", "", time.Second)
	overload.Wait()
	if got[result.OK] != 50 {
		t.Fatalf("outcomes of the other customer are %v, expected 50 admitted", got)
	}
}

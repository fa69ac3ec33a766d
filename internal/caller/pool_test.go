package caller

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmarhinge/internal/header"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/view"
)

// One backend server reports that it is ready with a thousand times the slots
// of the others, and is frozen, sheds load, or responds slowly at first. Its
// share of requests must drop immediately, regardless of what it reports.
func TestPoolAvoidsBadServersThatReportReady(t *testing.T) {
	const requests, workers = 300, 10
	unfreeze := make(chan struct{})
	var once sync.Once
	defer once.Do(func() { close(unfreeze) })
	for _, c := range []struct {
		name        string
		bad         func(n int64, w http.ResponseWriter, r *http.Request)
		maxRequests int64
		mayFail     bool
	}{
		{"frozen", func(int64, http.ResponseWriter, *http.Request) { <-unfreeze }, 30, true},
		{"sheds", func(_ int64, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(header.Shed, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, 30, false},
		{"cold", func(n int64, _ http.ResponseWriter, _ *http.Request) {
			if n < 20 {
				time.Sleep(100 * time.Millisecond)
			}
		}, 60, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t, 3, plainService, func(n *testNode) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					count := n.runs.Add(1)
					if n.name == "n1" {
						c.bad(count, w, r)
						return
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
			f.nodes[1].announcement.Slots = 50_000
			f.nodes[1].announcement.Connections = 50_000
			f.nodes[1].gate.SetBackend(&f.nodes[1].announcement)
			f.publish(func(int, *view.View) {})
			var wg sync.WaitGroup
			for range workers {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for range requests / workers {
						got := f.nodes[0].send(t, "POST", "/a/x", strings.NewReader("b"), header.RequestTimeoutMs, "500")
						if got.code != result.OK && !c.mayFail {
							t.Errorf("got %d %s", got.code, got.body)
						}
					}
				}()
			}
			wg.Wait()
			if c.mayFail {
				once.Do(func() { close(unfreeze) })
			}
			if n := f.nodes[1].runs.Load(); n > c.maxRequests {
				t.Errorf("the bad server got %d of %d requests, more than %d", n, requests, c.maxRequests)
			}
		})
	}
}

func TestPenaltyDoublesAndEndsWithResponse(t *testing.T) {
	l := &backendLoad{}
	now := time.Unix(1000, 0)
	for _, want := range []time.Duration{100, 200, 400, 800, 1600, 3200, 5000, 5000} {
		l.recordFailure(now)
		if got := time.Duration(l.avoidUntil.Load() - now.UnixNano()); got != want*time.Millisecond {
			t.Fatalf("penalty %v, want %v ms", got, want)
		}
	}
	l.recordResponse(time.Millisecond, now)
	if l.avoidUntil.Load() != 0 || l.consecutiveFailures.Load() != 0 {
		t.Fatal("a response does not end the penalty")
	}
}

func TestRetryBudgetLimitsRetriesToShareOfTraffic(t *testing.T) {
	b := newRetryBudget()
	now := time.Unix(1000, 0)
	b.lastRefillSecond.Store(now.Unix())
	b.milliTokens.Store(0)
	allowed := 0
	for range 1000 {
		b.deposit(now)
		for range 3 {
			if b.tryWithdraw() {
				allowed++
			}
		}
	}
	if allowed != 100 {
		t.Fatalf("%d retries for 1000 requests", allowed)
	}
}

// A long download must not make a backend server count as slow or frozen.
func TestLongDownloadDoesNotCountAsSlow(t *testing.T) {
	l := &backendLoad{}
	now := time.Unix(1000, 0)
	l.requestSent(now)
	l.recordResponse(time.Millisecond, now.Add(time.Millisecond))
	usual := l.expectedLatency(now.Add(time.Millisecond))
	later := now.Add(time.Minute)
	l.recordProgress(later)
	if got := l.expectedLatency(later); got != usual {
		t.Fatalf("expected latency %v during a download, %v before", got, usual)
	}
	if got := l.expectedLatency(later.Add(time.Second)); got < float64(time.Second) {
		t.Fatalf("expected latency %v after a second without a byte", got)
	}
}

package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/standin/pattern"
	"fulmarhinge/standin/runlog"
)

// sendRequest sends one request with fence headers and returns the answer.
func sendRequest(t *testing.T, ctx context.Context, url string, epoch uint64, lease time.Duration, deadlineMs, workMs int) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/x?id=c1&size=5000", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(headerUnit, "painel/3")
	req.Header.Set(headerKey, "k")
	req.Header.Set(headerEpoch, strconv.FormatUint(epoch, 10))
	req.Header.Set(headerLeaseUntil, strconv.FormatInt(int64(clock.Now().Add(lease)), 10))
	req.Header.Set(headerDeadlineMs, strconv.Itoa(deadlineMs))
	req.Header.Set(headerWorkMs, strconv.Itoa(workMs))
	return http.DefaultClient.Do(req)
}

func TestRequests(t *testing.T) {
	yes := true
	cases := map[string]struct {
		change     switchChange
		firstEpoch uint64
		epoch      uint64
		lease      time.Duration
		deadline   int
		work       int
		status     int
		outcome    runlog.Outcome
	}{
		"answered":      {epoch: 2, lease: time.Minute, deadline: 1000, status: 200, outcome: runlog.Done},
		"expired lease": {epoch: 2, lease: -1, deadline: 1000, status: 409, outcome: runlog.Stale},
		"lower epoch":   {firstEpoch: 3, epoch: 2, lease: time.Minute, deadline: 1000, status: 409, outcome: runlog.Stale},
		"same epoch":    {firstEpoch: 2, epoch: 2, lease: time.Minute, deadline: 1000, status: 200, outcome: runlog.Done},
		"past deadline": {epoch: 2, lease: time.Minute, deadline: 20, work: 500, status: 504, outcome: runlog.Deadline},
		"shedding":      {change: switchChange{Shed: &yes}, epoch: 2, lease: time.Minute, deadline: 1000, status: 503, outcome: runlog.Shed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "runs")
			runs, err := runlog.Create(path)
			if err != nil {
				t.Fatal(err)
			}
			s := newServer(options{slots: 2, checksFence: true, server: "b"}, runs)
			ts := httptest.NewServer(s.handler())
			defer ts.Close()
			if c.firstEpoch != 0 {
				resp, err := sendRequest(t, t.Context(), ts.URL, c.firstEpoch, time.Minute, 1000, 0)
				if err != nil {
					t.Fatal(err)
				}
				resp.Body.Close()
			}
			s.switches.apply(c.change, time.Now())
			resp, err := sendRequest(t, t.Context(), ts.URL, c.epoch, c.lease, c.deadline, c.work)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != c.status {
				t.Fatalf("status %d instead of %d", resp.StatusCode, c.status)
			}
			if c.status == http.StatusOK {
				if _, err := pattern.Check(resp.Body, "c1", 5000); err != nil {
					t.Fatal(err)
				}
			}
			waitOutcome(t, path, c.outcome)
		})
	}
}

func TestCancelledRunIsLogged(t *testing.T) {
	path := filepath.Join(t.TempDir(), "runs")
	runs, err := runlog.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(options{slots: 1, server: "b"}, runs)
	ts := httptest.NewServer(s.handler())
	defer ts.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := sendRequest(t, ctx, ts.URL, 1, time.Minute, 5000, 4000); err == nil {
		t.Fatal("the request succeeded although its context ended")
	}
	waitOutcome(t, path, runlog.Cancelled)
}

// waitOutcome polls the run log until its last record has the outcome.
func waitOutcome(t *testing.T, path string, want runlog.Outcome) {
	t.Helper()
	deadline := time.Now().Add(2 * time.Second)
	for {
		records, err := runlog.Read(path)
		if err != nil {
			t.Fatal(err)
		}
		if n := len(records); n > 0 && records[n-1].Outcome == want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the last record does not have outcome %q: %+v", want, records)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

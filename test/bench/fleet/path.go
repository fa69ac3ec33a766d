package main

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"fulmarhinge/test/fault/harness"
)

// Parameters of the path measurement.
const (
	pathRounds   = 5
	pathDuration = 2 * time.Second
	pathWarmUp   = 500 * time.Millisecond
	// concurrentCallers is the number of concurrent callers. Each sends its
	// requests one after the other.
	concurrentCallers = 16
)

// pathResult is the measurement of one route to a backend server.
type pathResult struct {
	Route string `json:"way"`
	// P50 and P99 are the medians over all rounds of the quantile of a round.
	P50 time.Duration `json:"p50_ns"`
	P99 time.Duration `json:"p99_ns"`
	// Rate is the median over all rounds of answered requests per second.
	Rate float64 `json:"requests_per_second"`
	// The ratios are the medians over all rounds of the value of a round divided
	// by that of the direct route in the same round.
	P50Ratio  float64 `json:"p50_ratio"`
	P99Ratio  float64 `json:"p99_ratio"`
	RateRatio float64 `json:"rate_ratio"`
	Failed    int     `json:"failed"`
}

// sample is the measurement of one route in one round.
type sample struct {
	p50, p99 time.Duration
	rate     float64
	failed   int
}

// measurePath compares requests sent directly to the backend server with requests
// through its local node and through two nodes.
func measurePath(binaries *harness.Binaries, _ options) (any, error) {
	o := fleetOptions(binaries, "")
	o.Nodes = 3
	o.Slots = 2 * concurrentCallers
	keys := harness.ShardKeys(o.Service.Shards, 1)
	var results []pathResult
	err := withFleet(o, func(fleet *harness.Fleet) error {
		const startTimeout = 30 * time.Second
		if err := fleet.WaitServed(keys, customer, startTimeout); err != nil {
			return err
		}
		history, err := fleet.History(nil)
		if err != nil {
			return err
		}
		owner, other := fleet.Nodes[0], fleet.Nodes[1]
		owned := fleet.KeysOf(history, keys, owner, time.Now())
		if len(owned) == 0 {
			return fmt.Errorf("%s owns no key", owner.Name)
		}
		routes := []route{
			{"direct", owner.BackendAddr},
			{"local hop", owner.CallerAddr},
			{"two-node hop", other.CallerAddr},
		}
		results = compareRoutes(routes, owned)
		return nil
	})
	return results, err
}

// route is an address to which requests are sent.
type route struct{ name, address string }

// compareRoutes alternates between the routes, so that a change of the machine's
// speed affects all of them.
func compareRoutes(routes []route, keys []string) []pathResult {
	samples := make([][]sample, len(routes))
	for range pathRounds {
		for i, target := range routes {
			sendRequests(target.address, keys, pathWarmUp)
			samples[i] = append(samples[i], sendRequests(target.address, keys, pathDuration))
		}
	}
	var results []pathResult
	fmt.Printf("\n%-14s %9s %9s %10s %10s %10s %10s %s\n", "route", "p50", "p99", "req/s", "p50 ratio", "p99 ratio", "rate ratio", "failed")
	for i, target := range routes {
		r := summarize(target.name, samples[i], samples[0])
		results = append(results, r)
		fmt.Printf("%-14s %9v %9v %10.0f %10.2f %10.2f %10.2f %d\n", r.Route, r.P50.Round(time.Microsecond),
			r.P99.Round(time.Microsecond), r.Rate, r.P50Ratio, r.P99Ratio, r.RateRatio, r.Failed)
	}
	return results
}

func summarize(name string, samples, direct []sample) pathResult {
	r := pathResult{Route: name}
	var p50s, p99s, rates, p50Ratios, p99Ratios, rateRatios []float64
	for i, s := range samples {
		p50s = append(p50s, float64(s.p50))
		p99s = append(p99s, float64(s.p99))
		rates = append(rates, s.rate)
		p50Ratios = append(p50Ratios, float64(s.p50)/float64(direct[i].p50))
		p99Ratios = append(p99Ratios, float64(s.p99)/float64(direct[i].p99))
		rateRatios = append(rateRatios, s.rate/direct[i].rate)
		r.Failed += s.failed
	}
	r.P50 = time.Duration(median(p50s))
	r.P99 = time.Duration(median(p99s))
	r.Rate = median(rates)
	r.P50Ratio = median(p50Ratios)
	r.P99Ratio = median(p99Ratios)
	r.RateRatio = median(rateRatios)
	return r
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// sendRequests sends requests from concurrentCallers callers for a duration.
func sendRequests(address string, keys []string, d time.Duration) sample {
	client := harness.NewClient()
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), d+5*time.Second)
	defer cancel()
	var mu sync.Mutex
	var latencies []time.Duration
	failed := 0
	begun := time.Now()
	var callers sync.WaitGroup
	for i := range concurrentCallers {
		callers.Go(func() {
			var ownLatencies []time.Duration
			ownFailed := 0
			for n := 0; time.Since(begun) < d; n++ {
				id := fmt.Sprintf("%d-%d", i, n)
				key := keys[(i+n)%len(keys)]
				a := harness.Send(ctx, client, address, harness.Call{
					ID: id, Attempt: id, Customer: customer, Path: harness.PathPrefix + key, Key: key,
				})
				if a.Class != harness.Answered {
					ownFailed++
					continue
				}
				ownLatencies = append(ownLatencies, a.Latency())
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, ownLatencies...)
			failed += ownFailed
		})
	}
	callers.Wait()
	took := time.Since(begun)
	s := harness.Summarize(latencies)
	return sample{p50: s.Median, p99: s.P99, rate: float64(len(latencies)) / took.Seconds(), failed: failed}
}

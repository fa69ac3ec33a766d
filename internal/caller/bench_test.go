package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"
)

// benchWorkers is the number of concurrent callers.
const benchWorkers = 8

// BenchmarkPath compares a request sent directly to the backend server with one
// sent through the owner's node and one sent through another node. All run in
// this process; p50 and p99 are in microseconds.
func BenchmarkPath(b *testing.B) {
	f := newTestFleet(b, 2, keyedService, func(*testNode) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = w.Write([]byte("ok"))
		}
	})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchWorkers}}
	for _, method := range []string{"GET", "POST"} {
		for _, c := range []struct{ name, addr string }{
			{"direct", f.nodes[0].announcement.Address},
			{"local", f.nodes[0].callerServer.Addr()},
			{"two-node", f.nodes[1].callerServer.Addr()},
		} {
			b.Run(method+"/"+c.name, func(b *testing.B) { benchPath(b, client, method, c.addr) })
		}
	}
}

func benchPath(b *testing.B, client *http.Client, method, addr string) {
	var mu sync.Mutex
	var allLatencies []time.Duration
	var wg sync.WaitGroup
	each := b.N/benchWorkers + 1
	b.ResetTimer()
	for w := range benchWorkers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			latencies := make([]time.Duration, 0, each)
			for i := range each {
				start := time.Now()
				if err := benchRequest(client, method, fmt.Sprintf("http://%s/p/k%d-%d", addr, w, i%100)); err != nil {
					b.Error(err)
					return
				}
				latencies = append(latencies, time.Since(start))
			}
			mu.Lock()
			defer mu.Unlock()
			allLatencies = append(allLatencies, latencies...)
		}()
	}
	wg.Wait()
	b.StopTimer()
	sort.Slice(allLatencies, func(i, j int) bool { return allLatencies[i] < allLatencies[j] })
	b.ReportMetric(float64(allLatencies[len(allLatencies)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(allLatencies[len(allLatencies)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}

func benchRequest(client *http.Client, method, url string) error {
	var body io.Reader
	if method == "POST" {
		body = strings.NewReader("body")
	}
	req, err := http.NewRequestWithContext(context.Background(), method, url, body)
	if err != nil {
		return err
	}
	req.Header.Set("Customer", "acme")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

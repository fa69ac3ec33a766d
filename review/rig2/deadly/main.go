//go:build review

// Command deadly plays a request that crashes each backend server that begins to run it, and
// comes again with the same path, caller and body, each time for another key.
package main

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"fulmarhinge/platform/standin"
	"fulmarhinge/review/rig2"
)

const config = `{"version":"r7","routes":{
"view":{"host":"ficu95.example","pathPrefix":"/lohu930/","kind":"retryable","timeoutS":1,"targetLatencyS":0.3,"priority":2,"service":"huvo11a","maxAttempts":2},
"act":{"host":"ficu95.example","pathPrefix":"/pufi791/","kind":"non_idempotent","timeoutS":1.2,"targetLatencyS":0.4,"priority":1,"service":"huvo11a","maxAttempts":2}},
"services":{"huvo11a":{"healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false,"sharded":true,"warmupS":5.0,"grants":"heartbeat"}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

const (
	stabilityS = 3 * time.Second
	// backAfter is how long a backend server is down after a crash.
	backAfter = 3 * time.Second
	// again is the time between two of the requests.
	again      = 1500 * time.Millisecond
	lasts      = 60 * time.Second
	deadlyPath = "/lohu930/deadly"
	// allowed is how many retries may reach backend servers.
	allowed = 3
)

type event struct {
	id, backend string
	at          time.Time
}

type observer struct {
	mu      sync.Mutex
	crashes []event
	sent    map[string]time.Time
}

func (o *observer) Reached(string, string) {}
func (o *observer) Ran(id, backend string) {
	if !strings.HasPrefix(id, "deadly-") {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.crashes = append(o.crashes, event{id, backend, time.Now()})
}
func (o *observer) Holds(string, int64, []standin.Row, time.Time) {}
func (o *observer) Ended(string, int64)                           {}

func main() { rig2.Main(play) }

func play(r *rig2.Rig) int {
	o := &observer{sent: map[string]time.Time{}}
	r.StartStore(config)
	for range 7 {
		r.AddMachine("huvo11a", rig2.SmallSite(), standin.BackendOptions{
			Keyed: true, Slots: 18, SlowPercent: 2, Work: 90 * time.Millisecond, HealthPath: "/healthz", Observer: o,
			DeadlyPrefix: deadlyPath, RestartAfter: backAfter,
		})
	}
	r.StartAll()
	r.AwaitReady(15 * time.Second)
	time.Sleep(8 * time.Second)

	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	for _, m := range r.Machines {
		for c := range 6 {
			callers.Go(func() {
				client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(40+rand.Intn(40)) * time.Millisecond):
					}
					status := send(client, http.MethodPost, m, "/pufi791/2f", fmt.Sprintf("act-%s-%d-%d", m.Name, c, n), rand.Intn(65536))
					mu.Lock()
					answers[status]++
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	if r.Trouble {
		client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		n := 0
		for began := time.Now(); time.Since(began) < lasts; time.Sleep(again) {
			key := rand.Intn(65536)
			if os.Getenv("SAMEKEY") != "" {
				key = 4711
			}
			m := r.Machines[rand.Intn(len(r.Machines))]
			id := fmt.Sprintf("deadly-%d", n)
			n++
			o.mu.Lock()
			o.sent[id] = time.Now()
			o.mu.Unlock()
			status := send(client, http.MethodGet, m, deadlyPath, id, key)
			r.Logf("%s sent at %s for key %d: %s", id, m.Name, key, status)
		}
	} else {
		time.Sleep(20 * time.Second)
	}
	close(stop)
	callers.Wait()
	for status, n := range answers {
		r.Logf("%d ordinary requests that may run once got: %s", n, status)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	crashed := map[string]int{}
	late := 0
	for i, e := range o.crashes {
		crashed[e.backend]++
		r.Logf("%s crashed %s, the crash %d in all", e.id, e.backend, i+1)
		if i >= 3 && o.sent[e.id].After(o.crashes[2].at.Add(stabilityS)) {
			late++
		}
	}
	r.Logf("%d crashes at %d backend servers; %d by requests sent later than %v after the third, %d allowed", len(o.crashes), len(crashed), late, stabilityS, allowed)
	if late > allowed {
		return rig2.Broken
	}
	return rig2.Held
}

// send sends a request and returns the status of its whole answer.
func send(client *http.Client, method string, m *rig2.Machine, path, id string, key int) string {
	req, err := http.NewRequest(method, "http://"+m.Callers()+path, nil)
	rig2.Must(err)
	req.Host = "ficu95.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "2000")
	req.Header.Set("X-Shard-Key", fmt.Sprint(key))
	resp, err := client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "cut"
	}
	return resp.Status
}

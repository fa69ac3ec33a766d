//go:build review

// Command downloads lets a part of the callers of downloads leave early for five seconds, on machines with
// links of 20 Mbit/s.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"sync"
	"time"

	"fulmarhinge/review/harness"
)

const configuration = `{"version":"r7","routes":{
 "get":{"host":"file.example","pathPrefix":"/get/","kind":"download","timeoutS":4,"targetLatencyS":0.4,"priority":2,"service":"files","maxAttempts":2},
 "view":{"host":"file.example","pathPrefix":"/view/","kind":"retryable","timeoutS":4,"targetLatencyS":0.4,"priority":2,"service":"panel","maxAttempts":2}},
 "services":{"files":{"healthPath":"/healthz","maxConns":110},"panel":{"healthPath":"/healthz","maxConns":110}},
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

const (
	// linkMbps is the link of most machines of the large site.
	linkMbps = 20
	size     = 200_000
	// downloads and views are the rates of the two kinds of request at the machine of the callers.
	downloads = 12
	views     = 48
	work      = 60 * time.Millisecond
	budget    = 4 * time.Second
	// leaveShare of the callers leave within leaveWithin for leaveFor (give_up: at most share 0.3
	// for 5.5 s in the site file; "within x ms (half the objective)").
	leaveShare  = 0.3
	leaveWithin = 300 * time.Millisecond
	leaveFor    = 5 * time.Second
	// rounds is how often they do, each time after a pause.
	rounds = 5
	pause  = 3 * time.Second
	after  = 40 * time.Second
)

type count struct{ sent, served int }

func main() { os.Exit(run()) }

func run() int {
	rec, err := harness.NewRecord("review/more/downloads")
	if err != nil {
		return harness.NotRun
	}
	fleet, err := harness.NewFleet(rec, configuration)
	if err != nil {
		return harness.NotRun
	}
	defer fleet.Close()
	fleet.LinkMbps = linkMbps
	done := make(chan struct{})
	defer close(done)
	for i, service := range []string{"panel", "files", "files"} {
		n, err := fleet.AddNode(service)
		if err != nil {
			return harness.NotRun
		}
		b := &harness.Backend{ID: fmt.Sprintf("i-%d", i+1), Node: n, Slots: 18}
		b.Answer = func(b *harness.Backend, a harness.Arrival) []byte {
			if a.ID == "" {
				return []byte("HTTP/1.1 200 OK\r\nX-Instance-Id: " + b.ID + "\r\nContent-Length: 0\r\n\r\n")
			}
			time.Sleep(work)
			if service == "files" {
				return harness.Download(a.ID, b.ID, size)
			}
			return harness.Success(a.ID, b.ID)
		}
		if b.Serve() != nil || fleet.Start(n) != nil {
			return harness.NotRun
		}
		go b.ReportUntil(done)
	}
	for _, n := range fleet.Nodes {
		if err := n.AwaitReady(15 * time.Second); err != nil {
			return harness.NotRun
		}
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	leaving := false
	phase := ""
	counts := map[string]*count{}
	stop := make(chan struct{})
	c := harness.NewCaller(fleet.Nodes[0])
	var callers sync.WaitGroup
	for path, perSecond := range map[string]time.Duration{"/get/": downloads, "/view/": views} {
		callers.Go(func() {
			tick := time.NewTicker(time.Second / perSecond)
			defer tick.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-tick.C:
				}
				mu.Lock()
				key := phase + path
				limit := budget
				if leaving && rand.Float64() < leaveShare {
					limit = time.Duration(rand.Int63n(int64(leaveWithin)))
				}
				if counts[key] == nil {
					counts[key] = &count{}
				}
				counts[key].sent++
				mu.Unlock()
				callers.Go(func() {
					r := c.Leave("GET", "file.example", path+"x", fmt.Sprintf("%s-%d", path[1:4], i), budget, limit)
					rec.Log("GET %s%d: %d %v", path, i, r.Status, r.Err)
					if r.Status == 200 {
						mu.Lock()
						counts[key].served++
						mu.Unlock()
					}
				})
			}
		})
	}
	time.Sleep(4 * time.Second)
	for range rounds {
		mu.Lock()
		phase, leaving = "leaving", harness.Trouble()
		mu.Unlock()
		time.Sleep(leaveFor)
		mu.Lock()
		phase, leaving = "between", false
		mu.Unlock()
		time.Sleep(pause)
	}
	mu.Lock()
	phase = "after"
	mu.Unlock()
	time.Sleep(after)
	close(stop)
	callers.Wait()
	return judge(rec, counts)
}

// judge applies the rule Starved: a kind of request is served a quarter as often as all requests,
// at least.
func judge(rec *harness.Record, counts map[string]*count) int {
	var get, all count
	for _, phase := range []string{"", "leaving", "between", "after"} {
		for _, path := range []string{"/get/", "/view/"} {
			n := counts[phase+path]
			if n == nil {
				continue
			}
			rec.Say("%s %s: %d of %d", phase, path, n.served, n.sent)
			all.sent, all.served = all.sent+n.sent, all.served+n.served
			if path == "/get/" {
				get.sent, get.served = get.sent+n.sent, get.served+n.served
			}
		}
	}
	if get.sent == 0 || all.served == 0 {
		return harness.NotRun
	}
	share, of := float64(get.served)/float64(get.sent), float64(all.served)/float64(all.sent)
	rec.Say("downloads served: %.3f, all requests: %.3f", share, of)
	if 4*share < of {
		rec.Say("Starved")
		return harness.Broken
	}
	return harness.Held
}

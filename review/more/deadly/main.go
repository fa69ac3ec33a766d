//go:build review

// Command deadly sends a request that ends each backend server that begins to run it, and kills
// all nodes at once between its sendings.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"fulmarhinge/review/harness"
)

const configuration = `{"version":"r7","routes":{
 "file":{"host":"file.example","pathPrefix":"/file/","kind":"retryable","timeoutS":2,"targetLatencyS":0.3,"priority":1,"service":"files","maxAttempts":2}},
 "services":{"files":{"healthPath":"/healthz","maxConns":110}},
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

const (
	machines = 5
	work     = 40 * time.Millisecond
	budget   = 2 * time.Second
	// backAfter is how long a backend server is down after a crash: "back after some seconds".
	backAfter = 3 * time.Second
	// downTime is how long the nodes are down (kill_all, down_s = 1.3 in the site file).
	downTime  = 1300 * time.Millisecond
	stability = 3 * time.Second
	sendings  = 5
	// retries is how many more runs the rule allows.
	retries = 3
)

type state struct {
	mu       sync.Mutex
	backends []*harness.Backend
	// runs holds when the deadly request reached a backend server.
	runs []time.Duration
}

func main() { os.Exit(run()) }

func run() int {
	rec, err := harness.NewRecord("review/more/deadly")
	if err != nil {
		fmt.Println(err)
		return harness.NotRun
	}
	fleet, err := harness.NewFleet(rec, configuration)
	if err != nil {
		return harness.NotRun
	}
	defer fleet.Close()
	s := &state{}
	for i := range machines {
		n, err := fleet.AddNode("files")
		if err != nil || s.start(rec, i, n) != nil || fleet.Start(n) != nil {
			rec.Say("machine %d does not start", i+1)
			return harness.NotRun
		}
	}
	if !ready(rec, fleet) {
		return harness.NotRun
	}
	time.Sleep(3 * time.Second)
	for i := range sendings {
		if i > 0 {
			if harness.Trouble() {
				fleet.KillAll(downTime)
				if !ready(rec, fleet) {
					return harness.NotRun
				}
			}
			// All machines are in touch, and all backend servers are back.
			time.Sleep(max(stability, backAfter) + 2*time.Second)
		}
		n := fleet.Nodes[i%machines]
		c := harness.NewCaller(n)
		reply := c.Send("GET", "file.example", "/file/deadly", fmt.Sprintf("deadly-%d", i), "", budget)
		rec.Say("the deadly request at %s: %d, error %v; it has reached backend servers %d times", n.Name, reply.Status, reply.Err, s.count())
		fine := c.Send("GET", "file.example", "/file/fine", fmt.Sprintf("fine-%d", i), "", budget)
		rec.Say("another request at %s: %d", n.Name, fine.Status)
	}
	return s.judge(rec)
}

func ready(rec *harness.Record, fleet *harness.Fleet) bool {
	for _, n := range fleet.Nodes {
		if err := n.AwaitReady(15 * time.Second); err != nil {
			rec.Say("%v", err)
			return false
		}
	}
	return true
}

// start starts an instance of a backend server. The deadly request ends it, and the next instance
// starts after backAfter.
func (s *state) start(rec *harness.Record, i int, n *harness.Node) error {
	stop := make(chan struct{})
	var once sync.Once
	b := &harness.Backend{ID: fmt.Sprintf("i-%d", i+1), Node: n, Slots: 18}
	b.Answer = func(b *harness.Backend, a harness.Arrival) []byte {
		switch {
		case a.ID == "":
			return []byte("HTTP/1.1 200 OK\r\nX-Instance-Id: " + b.ID + "\r\nContent-Length: 0\r\n\r\n")
		case a.Path != "/file/deadly":
			time.Sleep(work)
			return harness.Success(a.ID, b.ID)
		}
		once.Do(func() {
			s.mu.Lock()
			s.runs = append(s.runs, rec.Since())
			s.mu.Unlock()
			rec.Say("%s begins to run %s and crashes", b.ID, a.ID)
			close(stop)
			b.Exit()
			time.AfterFunc(backAfter, func() { _ = s.start(rec, i, n) })
		})
		return nil
	}
	if err := b.Serve(); err != nil {
		return err
	}
	go b.ReportUntil(stop)
	return nil
}

func (s *state) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// judge applies BUDGET: the request reaches backend servers in no more than three retries later
// than stabilityS after it has crashed the third.
func (s *state) judge(rec *harness.Record) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.runs) < 3 {
		rec.Say("it crashed %d backend servers", len(s.runs))
		return harness.NotRun
	}
	late := 0
	for _, at := range s.runs {
		if at > s.runs[2]+stability {
			late++
		}
	}
	rec.Say("it reached backend servers %d times, %d times later than %v after the third crash", len(s.runs), late, stability)
	if late > retries {
		rec.Say("BUDGET broken")
		return harness.Broken
	}
	return harness.Held
}

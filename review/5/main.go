//go:build review

// Command 5 lets one liveness report of a backend server arrive late, while the backend
// server deregisters, is acknowledged, goes on serving for three seconds and exits.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"fulmarhinge/review/harness"
)

const configuration = `{"version":"r7","routes":{
 "file":{"host":"file.example","pathPrefix":"/file/","kind":"non_idempotent","timeoutS":2,"targetLatencyS":0.3,"priority":1,"service":"files","maxAttempts":2}},
 "services":{"files":{"healthPath":"/healthz","maxConns":110}},
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

const (
	machines  = 3
	perSecond = 80
	work      = 80 * time.Millisecond
	budget    = 2 * time.Second
	// lateness is how late the last report arrives: "a liveness report may arrive seconds
	// late".
	lateness = 2500 * time.Millisecond
	// deregisterAfter is how long after the report before that one the backend server
	// deregisters.
	deregisterAfter = 1600 * time.Millisecond
	// exitAfter is how long after the acknowledgement the backend server serves: drainS and a
	// little longer.
	exitAfter = 3 * time.Second
	drain     = harness.DrainSeconds * time.Second
)

type arrival struct {
	id string
	at time.Duration
}

type state struct {
	mu       sync.Mutex
	arrivals []arrival
	sent     map[string]time.Duration
	served   int
	// lost counts the requests whose callers got no answer of a backend server and no promise
	// that they have not run.
	lost int
}

func main() { os.Exit(run()) }

func run() int {
	rec, err := harness.NewRecord("review/5")
	if err != nil {
		fmt.Println(err)
		return harness.NotRun
	}
	fleet, err := harness.NewFleet(rec, configuration)
	if err != nil {
		rec.Say("no fleet: %v", err)
		return harness.NotRun
	}
	defer fleet.Close()
	s := &state{sent: map[string]time.Duration{}}
	var backends []*harness.Backend
	for i := range machines {
		n, err := fleet.AddNode("files")
		if err != nil {
			rec.Say("no node: %v", err)
			return harness.NotRun
		}
		b := &harness.Backend{ID: fmt.Sprintf("i-%d", i+1), Node: n, Slots: 18}
		b.Answer = func(b *harness.Backend, a harness.Arrival) []byte { return answer(rec, s, b, a) }
		backends = append(backends, b)
		if b.Serve() != nil || fleet.Start(n) != nil {
			rec.Say("machine %d does not start", i+1)
			return harness.NotRun
		}
	}
	done := make(chan struct{})
	defer close(done)
	go backends[0].ReportUntil(done)
	go backends[1].ReportUntil(done)
	leaves := make(chan struct{})
	stopped := make(chan struct{})
	leaving := backends[2]
	go func() {
		defer close(stopped)
		leaving.ReportUntil(leaves)
	}()
	for _, n := range fleet.Nodes {
		if err := n.AwaitReady(15 * time.Second); err != nil {
			rec.Say("%v", err)
			return harness.NotRun
		}
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, n := range fleet.Nodes {
		callers.Go(func() { call(rec, s, n, stop) })
	}
	time.Sleep(8 * time.Second)
	close(leaves)
	<-stopped
	lastReport := time.Now()
	status := leaving.Report(leaving.NextSeq(), "ready")
	rec.Say("%s sends a report: %d", leaving.ID, status)
	var late sync.WaitGroup
	time.Sleep(harness.HeartbeatPeriod)
	report(rec, leaving, &late)
	time.Sleep(time.Until(lastReport.Add(deregisterAfter)))
	if status = leaving.Deregister(); status/100 != 2 {
		rec.Say("no acknowledgement: %d", status)
		return harness.NotRun
	}
	ackedAt := rec.Since()
	rec.Say("%s deregisters and is acknowledged: %d", leaving.ID, status)
	time.Sleep(exitAfter)
	leaving.Exit()
	rec.Say("%s exits", leaving.ID)
	late.Wait()
	time.Sleep(2 * time.Second)
	close(stop)
	callers.Wait()
	return judge(rec, s, ackedAt)
}

// report sends the last report of a backend server. With the disruption it arrives late.
func report(rec *harness.Record, b *harness.Backend, late *sync.WaitGroup) {
	seq := b.NextSeq()
	if !harness.Trouble() {
		rec.Say("%s sends its last report, which arrives at once: %d", b.ID, b.Report(seq, "ready"))
		return
	}
	rec.Say("%s sends its last report, which is %v on its way", b.ID, lateness)
	late.Go(func() {
		time.Sleep(lateness)
		rec.Say("the last report of %s arrives: %d", b.ID, b.Report(seq, "ready"))
	})
}

func answer(rec *harness.Record, s *state, b *harness.Backend, a harness.Arrival) []byte {
	if a.ID == "" {
		return []byte("HTTP/1.1 200 OK\r\nX-Instance-Id: " + b.ID + "\r\nContent-Length: 0\r\n\r\n")
	}
	rec.Log("%s runs %s", b.ID, a.ID)
	if b.ID == "i-3" {
		s.mu.Lock()
		s.arrivals = append(s.arrivals, arrival{a.ID, rec.Since()})
		s.mu.Unlock()
	}
	time.Sleep(work)
	return harness.Success(a.ID, b.ID)
}

func call(rec *harness.Record, s *state, n *harness.Node, stop <-chan struct{}) {
	c := harness.NewCaller(n)
	var sent sync.WaitGroup
	defer sent.Wait()
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		id := fmt.Sprintf("%s-%05d", n.Name, i)
		s.mu.Lock()
		s.sent[id] = rec.Since()
		s.mu.Unlock()
		sent.Go(func() {
			reply := c.Send("POST", "file.example", "/file/order", id, "order "+id, budget)
			rec.Log("POST %s: %d, seal %q, error %v", id, reply.Status, reply.Seal, reply.Err)
			s.mu.Lock()
			defer s.mu.Unlock()
			switch {
			case reply.Status == 200:
				s.served++
			case reply.Status != 503 && reply.Status != 429 && reply.Seal == "":
				s.lost++
			}
		})
	}
}

// judge applies DRAIN: no request reaches the backend server later than drainS after the
// acknowledgement.
func judge(rec *harness.Record, s *state, ackedAt time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, late := 0, 0
	last := time.Duration(0)
	for _, a := range s.arrivals {
		switch {
		case a.at < ackedAt:
			before++
		case a.at > ackedAt+drain:
			late++
			last = max(last, a.at-ackedAt)
			rec.Log("DRAIN: %s, sent at %.3f, reached i-3 %.3f s after the acknowledgement", a.id, s.sent[a.id].Seconds(), (a.at - ackedAt).Seconds())
		}
	}
	rec.Say("%d of %d requests served, %d ended without an answer of a server or a promise; i-3 got %d before it was acknowledged and %d later than %v after that, the last one %.1f s after",
		s.served, len(s.sent), s.lost, before, late, drain, last.Seconds())
	switch {
	case before == 0:
		return harness.NotRun
	case late > 0:
		return harness.Broken
	}
	return harness.Held
}

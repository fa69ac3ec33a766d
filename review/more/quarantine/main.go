//go:build review

// Command quarantine lets all backend servers of a service crash at once while callers read one
// page, starts them again after some seconds, and then kills all nodes at once.
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
	machines = 3
	// perSecond is the rate of requests at each machine.
	perSecond = 80
	work      = 120 * time.Millisecond
	budget    = 2 * time.Second
	// crashTime is how long the backend servers are down (srv_crash, for at most 4.6 s in the
	// site file), and downTime how long the nodes are (closing kill_all, at most 1.3 s).
	crashTime = 4 * time.Second
	downTime  = 1300 * time.Millisecond
	judged    = 10 * time.Second
)

type state struct{ recovery harness.Recovery }

func main() { os.Exit(run()) }

func run() int {
	rec, err := harness.NewRecord("review/more/quarantine")
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
	s := &state{}
	backends := make([]*harness.Backend, machines)
	stops := make([]chan struct{}, machines)
	start := func(i int, n *harness.Node) error {
		b := &harness.Backend{ID: fmt.Sprintf("i-%d", i+1), Node: n, Slots: 18}
		b.Answer = func(b *harness.Backend, a harness.Arrival) []byte {
			if a.ID == "" {
				return []byte("HTTP/1.1 200 OK\r\nX-Instance-Id: " + b.ID + "\r\nContent-Length: 0\r\n\r\n")
			}
			rec.Log("%s runs %s", b.ID, a.ID)
			time.Sleep(work)
			return harness.Success(a.ID, b.ID)
		}
		backends[i], stops[i] = b, make(chan struct{})
		if err := b.Serve(); err != nil {
			return err
		}
		go b.ReportUntil(stops[i])
		return nil
	}
	for i := range machines {
		n, err := fleet.AddNode("files")
		if err != nil || start(i, n) != nil || fleet.Start(n) != nil {
			rec.Say("machine %d does not start: %v", i+1, err)
			return harness.NotRun
		}
	}
	for _, n := range fleet.Nodes {
		if err := n.AwaitReady(15 * time.Second); err != nil {
			rec.Say("%v", err)
			return harness.NotRun
		}
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, n := range fleet.Nodes {
		callers.Go(func() { call(rec, s, n, stop) })
	}
	time.Sleep(12 * time.Second)
	faultAt := rec.Since()
	backAt := faultAt
	if harness.Trouble() {
		for i, b := range backends {
			close(stops[i])
			b.Exit()
		}
		rec.Say("all backend servers crash")
		time.Sleep(crashTime)
		for i, n := range fleet.Nodes {
			if err := start(i, n); err != nil {
				rec.Say("%v", err)
				return harness.NotRun
			}
		}
		rec.Say("all backend servers have started again")
		time.Sleep(4 * time.Second)
		faultAt = rec.Since()
		fleet.KillAll(downTime)
		backAt = rec.Since()
	}
	time.Sleep(harness.RecoverySeconds*time.Second + judged)
	close(stop)
	callers.Wait()
	return s.recovery.Judge(rec, faultAt, backAt)
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
		sentAt := rec.Since()
		served := s.recovery.Sent(sentAt)
		sent.Go(func() {
			reply := c.Send("GET", "file.example", "/file/page", id, "", budget)
			rec.Log("GET %s sent at %.3f: %d, seal %q, error %v", id, sentAt.Seconds(), reply.Status, reply.Seal, reply.Err)
			if reply.Status == 200 {
				served()
			}
		})
	}
}

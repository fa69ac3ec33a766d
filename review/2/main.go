//go:build review

// Command 2 sends requests that must not run twice through five nodes, while the backend
// servers reject a part of their requests and send a part of their answers a second time.
package main

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"fulmarhinge/review/harness"
)

const configuration = `{"version":"r7","routes":{
 "act":{"host":"panel.example","pathPrefix":"/act/","kind":"non_idempotent","timeoutS":2,"targetLatencyS":0.4,"priority":1,"service":"panel","maxAttempts":3}},
 "services":{"panel":{"healthPath":"/healthz","maxConns":110,"sharded":true,"warmupS":5,"grants":"heartbeat"}},
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

const (
	machines = 5
	// perSecond is the rate of requests at each machine.
	perSecond = 80
	// greyShare is the share of requests that each backend server rejects, and greyTime how
	// long (srv_grey, "shed all": at most x = 0.55 for 8.5 s in the site file).
	greyShare = 0.2
	greyTime  = 8500 * time.Millisecond
	// extraShare is the share of answers that are sent twice, by three of five backend
	// servers for extraTime (garble, "extra late", share = 0.6, x = 0.03 for 5 s).
	extraShare = 0.03
	extraTime  = 5 * time.Second
	work       = 120 * time.Millisecond
	budget     = 2500 * time.Millisecond
	// rounds is how often the disruption comes, one after the other.
	rounds = 6
)

// attempt is what became of one request.
type attempt struct {
	id     string
	runs   []string
	status int
	sentAt time.Duration
	// events is what happened to it, with times.
	events []string
}

type state struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	rng      *rand.Rand
	grey     bool
	extra    bool
	extras   int
}

// note adds an event to a request.
func (s *state) note(rec *harness.Record, id, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.attempts[id]; t != nil {
		t.events = append(t.events, fmt.Sprintf("%.3f %s", rec.Since().Seconds(), fmt.Sprintf(format, args...)))
	}
}

func (s *state) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

func (s *state) flags() (grey, extra bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.grey, s.extra
}

func main() { os.Exit(run()) }

func run() int {
	dir := "review/2"
	rec, err := harness.NewRecord(dir)
	if err != nil {
		fmt.Println(err)
		return harness.NotRun
	}
	s := &state{attempts: map[string]*attempt{}, rng: rand.New(rand.NewSource(time.Now().UnixNano()))}
	fleet, err := harness.NewFleet(rec, configuration)
	if err != nil {
		rec.Say("no fleet: %v", err)
		return harness.NotRun
	}
	defer fleet.Close()
	for i := range machines {
		if err := startMachine(fleet, s, i); err != nil {
			rec.Say("no machine: %v", err)
			return harness.NotRun
		}
	}
	for _, n := range fleet.Nodes {
		if err := n.AwaitReady(15 * time.Second); err != nil {
			rec.Say("%v", err)
			return harness.NotRun
		}
	}
	time.Sleep(6 * time.Second)
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for _, n := range fleet.Nodes {
		callers.Go(func() { call(rec, s, n, stop) })
	}
	time.Sleep(2 * time.Second)
	for range rounds {
		if harness.Trouble() {
			disrupt(rec, s)
		} else {
			time.Sleep(greyTime)
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	callers.Wait()
	time.Sleep(time.Second)
	return judge(rec, s)
}

func startMachine(fleet *harness.Fleet, s *state, i int) error {
	rec := fleet.Record
	n, err := fleet.AddNode("panel")
	if err != nil {
		return err
	}
	b := &harness.KeyedBackend{ID: fmt.Sprintf("i-%d", i+1), Node: n, Slots: 18, Work: work, Record: rec}
	b.Rejects = func(id string) bool {
		if grey, _ := s.flags(); !grey || !s.chance(greyShare) {
			return false
		}
		s.note(rec, id, "%s rejects it", b.ID)
		return true
	}
	b.Began = func(b *harness.KeyedBackend, id string, key int) {
		s.note(rec, id, "%s runs it", b.ID)
		s.mu.Lock()
		defer s.mu.Unlock()
		if t := s.attempts[id]; t != nil {
			t.runs = append(t.runs, b.ID)
		}
	}
	b.Ran = func(b *harness.KeyedBackend, id string) { s.note(rec, id, "%s has run it", b.ID) }
	if i > 1 {
		b.Again = func(id string) time.Duration { return s.again(rec, b, id) }
	}
	if err := b.Start(); err != nil {
		return err
	}
	return fleet.Start(n)
}

// again returns how long after an answer its second copy follows, 0 for most answers.
func (s *state) again(rec *harness.Record, b *harness.KeyedBackend, id string) time.Duration {
	if _, extra := s.flags(); !extra || !s.chance(extraShare) {
		return 0
	}
	s.mu.Lock()
	late := time.Duration(10+s.rng.Intn(50)) * time.Millisecond
	s.extras++
	s.mu.Unlock()
	s.note(rec, id, "%s will send its answer again in %v", b.ID, late)
	return late
}

func disrupt(rec *harness.Record, s *state) {
	set := func(grey, extra bool) {
		s.mu.Lock()
		s.grey, s.extra = grey, extra
		s.mu.Unlock()
		rec.Say("backend servers reject a part: %v, send some answers twice: %v", grey, extra)
	}
	set(true, true)
	time.Sleep(extraTime)
	set(true, false)
	time.Sleep(greyTime - extraTime)
	set(false, false)
}

// call sends requests at a steady rate until stop is closed. No attempt is repeated.
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
		id, key := fmt.Sprintf("%s-%05d", n.Name, i), rand.Intn(65536)
		t := &attempt{id: id, sentAt: rec.Since()}
		s.mu.Lock()
		s.attempts[id] = t
		s.mu.Unlock()
		sent.Go(func() {
			reply := c.SendKeyed("POST", "panel.example", "/act/pay", id, strconv.Itoa(key), "act "+id, budget)
			s.note(rec, id, "its caller gets %d, seal %q, error %v", reply.Status, reply.Seal, reply.Err)
			s.mu.Lock()
			t.status = reply.Status
			s.mu.Unlock()
		})
	}
}

// judge applies the rules TWICE and REFUSED to all requests.
func judge(rec *harness.Record, s *state) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	twice, refused, served := 0, 0, 0
	bySending := func(a, b *attempt) int { return cmp.Compare(a.sentAt, b.sentAt) }
	for _, t := range slices.SortedFunc(maps.Values(s.attempts), bySending) {
		id := t.id
		rec.Log("POST %s sent at %.3f: %s", id, t.sentAt.Seconds(), strings.Join(t.events, "; "))
		if t.status == 200 {
			served++
		}
		if len(t.runs) > 1 {
			twice++
			rec.Log("TWICE: %s ran at %v; its caller got %d", id, t.runs, t.status)
		}
		switch t.status {
		case 408, 421, 429, 503:
			if len(t.runs) > 0 {
				refused++
				rec.Log("REFUSED: the caller of %s got %d and it ran at %v", id, t.status, t.runs)
			}
		}
	}
	rec.Say("%d requests, %d served, %d answers sent twice; TWICE %d, REFUSED %d", len(s.attempts), served, s.extras, twice, refused)
	if served < len(s.attempts)/4 {
		rec.Say("fewer than a quarter were served: the case could not run")
		return harness.NotRun
	}
	if twice+refused > 0 {
		return harness.Broken
	}
	return harness.Held
}

//go:build review

// Command 1 cuts one machine whose node doesn't lead off twice, for two and for three seconds, while the answers to a
// third of the writes to the platform's store are lost in between.
package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"time"

	"fulmarhinge/review/harness"
)

const configuration = `{"version":"r7","routes":{
 "act":{"host":"panel.example","pathPrefix":"/act/","kind":"non_idempotent","timeoutS":2,"targetLatencyS":0.4,"priority":1,"service":"panel","maxAttempts":2}},
 "services":{"panel":{"healthPath":"/healthz","maxConns":110,"sharded":true,"warmupS":5,"grants":"heartbeat"}},
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

const (
	machines = 4
	// perSecond is the rate of requests at each machine.
	perSecond = 10
	work      = 100 * time.Millisecond
	budget    = 2500 * time.Millisecond
	// firstCut, between and secondCut are the lengths of the two cuts of one machine (node_cut,
	// for at most 12 s in the site file) and of the time between them.
	firstCut  = 2200 * time.Millisecond
	between   = 4 * time.Second
	secondCut = 3500 * time.Millisecond
	// lostFor is how long answers are lost: those to the first write and to each third one
	// after it (platform_lost, x = 0.35 for 4.5 s in the site file).
	lostFor   = 4 * time.Second
	lostOneIn = 3
	// rounds is how often this comes at most, to one machine after the other, and rest the time
	// between. It ends early if the rule is broken.
	rounds = 3
	rest   = 6 * time.Second
	// slack is how long two backend servers may hold the same keys.
	slack = 500 * time.Millisecond
)

// store loses the answers to a part of the writes: they are done, and the connection
// returns nothing further.
type store struct {
	mu     sync.Mutex
	rec    *harness.Record
	losing bool
	writes int
}

func (s *store) lose(losing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losing, s.writes = losing, 0
}

func (s *store) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			s.mu.Lock()
			lost := s.losing && s.writes%lostOneIn == 0
			s.writes++
			s.mu.Unlock()
			if lost {
				done := httptest.NewRecorder()
				next.ServeHTTP(done, r)
				s.rec.Log("store: %s %s is done with %d, its answer is lost", r.Method, r.URL.Path, done.Code)
				<-r.Context().Done()
				return
			}
			s.rec.Log("store: %s %s", r.Method, r.URL.Path)
		}
		next.ServeHTTP(w, r)
	})
}

// owners watches which backend servers hold the same keys at the same time.
type owners struct {
	mu       sync.Mutex
	rec      *harness.Record
	backends []*harness.KeyedBackend
	// shared holds, for each pair, the keys that both hold and since when.
	shared map[[2]int]*overlap
	// longest is the longest time for which two held the same keys, and both the number of
	// pairs that also both began requests on them in that time.
	longest time.Duration
	both    int
}

type overlap struct {
	since time.Time
	keys  [][2]int
	// began counts the requests on these keys that each of the two began.
	began [2]int
}

func (o *owners) watch(done <-chan struct{}) {
	for {
		o.sample()
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (o *owners) sample() {
	o.mu.Lock()
	defer o.mu.Unlock()
	held := make([][][2]int, len(o.backends))
	for i, b := range o.backends {
		held[i] = b.Held()
	}
	for i := range held {
		for j := i + 1; j < len(held); j++ {
			o.update([2]int{i, j}, common(held[i], held[j]))
		}
	}
}

func (o *owners) update(pair [2]int, keys [][2]int) {
	now, was := time.Now(), o.shared[pair]
	if len(keys) == 0 {
		if was != nil {
			o.rec.Say("%s and %s held the same keys for %.2f s; requests on them that each began: %v",
				o.backends[pair[0]].ID, o.backends[pair[1]].ID, now.Sub(was.since).Seconds(), was.began)
			delete(o.shared, pair)
		}
		return
	}
	if was == nil {
		was = &overlap{since: now}
		o.shared[pair] = was
		o.rec.Say("%s and %s hold the same keys, %d ranges, the first %v", o.backends[pair[0]].ID, o.backends[pair[1]].ID, len(keys), keys[0])
	}
	was.keys = keys
	o.longest = max(o.longest, now.Sub(was.since))
}

// began counts a request that begins to run while another backend server holds its key.
func (o *owners) began(b *harness.KeyedBackend, id string, key int) {
	o.rec.Log("%s runs %s, key %d", b.ID, id, key)
	o.mu.Lock()
	defer o.mu.Unlock()
	for pair, s := range o.shared {
		for side, index := range pair {
			if o.backends[index] != b || !contains(s.keys, key) {
				continue
			}
			s.began[side]++
			o.rec.Log("OWNER: %s begins %s on key %d, which %s holds too", b.ID, id, key, o.backends[pair[1-side]].ID)
			if s.began[side] == 1 && s.began[1-side] > 0 {
				o.both++
			}
		}
	}
}

func contains(ranges [][2]int, key int) bool {
	for _, r := range ranges {
		if key >= r[0] && key <= r[1] {
			return true
		}
	}
	return false
}

func common(a, b [][2]int) [][2]int {
	var out [][2]int
	for _, x := range a {
		for _, y := range b {
			if from, to := max(x[0], y[0]), min(x[1], y[1]); from <= to {
				out = append(out, [2]int{from, to})
			}
		}
	}
	return out
}

func main() { os.Exit(run()) }

func run() int {
	rec, err := harness.NewRecord("review/1")
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
	lossy := &store{rec: rec}
	fleet.Wrap, fleet.Network = lossy.wrap, harness.NewNetwork()
	o := &owners{rec: rec, shared: map[[2]int]*overlap{}}
	for i := range machines {
		n, err := fleet.AddNode("panel")
		if err != nil {
			rec.Say("no node: %v", err)
			return harness.NotRun
		}
		b := &harness.KeyedBackend{ID: fmt.Sprintf("i-%d", i+1), Node: n, Slots: 18, Work: work, Record: rec, Began: o.began}
		o.backends = append(o.backends, b)
		if b.Start() != nil {
			return harness.NotRun
		}
	}
	for _, n := range fleet.Nodes {
		if err := fleet.Start(n); err != nil {
			rec.Say("%v", err)
			return harness.NotRun
		}
	}
	for _, n := range fleet.Nodes {
		if err := n.AwaitReady(15 * time.Second); err != nil {
			rec.Say("%v", err)
			return harness.NotRun
		}
	}
	// Every lease of earlier leaders has run out, and the document has come to rest.
	time.Sleep(12 * time.Second)
	done, stop := make(chan struct{}), make(chan struct{})
	var background, callers sync.WaitGroup
	background.Go(func() { o.watch(done) })
	served := make([]int, machines)
	for i, n := range fleet.Nodes {
		callers.Go(func() { served[i] = call(rec, n, stop) })
	}
	time.Sleep(3 * time.Second)
	for round := 0; round < rounds && !o.broken(); round++ {
		if harness.Trouble() {
			disrupt(rec, o, fleet, lossy)
		}
		time.Sleep(rest)
	}
	close(stop)
	callers.Wait()
	close(done)
	background.Wait()
	total := 0
	for _, n := range served {
		total += n
	}
	rec.Say("%d requests served; the longest time for which two backend servers held the same keys: %.2f s; pairs that both began requests on them: %d",
		total, o.longest.Seconds(), o.both)
	switch {
	case total == 0:
		return harness.NotRun
	case o.broken():
		rec.Say("OWNER broken")
		return harness.Broken
	}
	return harness.Held
}

// broken reports whether the rule was broken.
func (o *owners) broken() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.longest > slack || o.both > 0
}

// disrupt cuts a machine off whose node doesn't lead and whose backend server holds keys.
func disrupt(rec *harness.Record, o *owners, fleet *harness.Fleet, lossy *store) {
	name := ""
	for _, b := range o.backends {
		switch {
		case b.Node.Leads():
			rec.Say("%s leads", b.Node.Name)
		case b.HeldKeys() > 0:
			name = b.Node.Name
		}
	}
	cut := func(length time.Duration) {
		rec.Say("the machine of %s is cut off", name)
		fleet.Network.Cut(name, true)
		time.Sleep(length)
	}
	heal := func() {
		rec.Say("the cut ends")
		fleet.Network.Cut(name, false)
	}
	cut(firstCut)
	rec.Say("the store loses answers to writes")
	lossy.lose(true)
	heal()
	time.AfterFunc(lostFor, func() {
		lossy.lose(false)
		rec.Say("the store answers all writes again")
	})
	time.Sleep(between)
	cut(secondCut)
	heal()
}

func call(rec *harness.Record, n *harness.Node, stop <-chan struct{}) int {
	c := harness.NewCaller(n)
	var sent sync.WaitGroup
	var mu sync.Mutex
	served := 0
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			sent.Wait()
			return served
		case <-tick.C:
		}
		id, key := fmt.Sprintf("%s-%05d", n.Name, i), rand.Intn(65536)
		sent.Go(func() {
			reply := c.SendKeyed("POST", "panel.example", "/act/pay", id, strconv.Itoa(key), "act "+id, budget)
			rec.Log("POST %s, key %d: %d, seal %q, error %v", id, key, reply.Status, reply.Seal, reply.Err)
			mu.Lock()
			defer mu.Unlock()
			if reply.Status == 200 {
				served++
			}
		})
	}
}

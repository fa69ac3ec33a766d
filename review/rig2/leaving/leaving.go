//go:build review

// Package leaving plays a backend server that deregisters and serves on for a while, and finds
// the requests that it runs although an acknowledgement forbids it.
package leaving

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	"fulmarhinge/platform/standin"
	"fulmarhinge/review/rig2"
)

const config = `{"version":"r7","routes":{
"view":{"host":"ficu95.example","pathPrefix":"/lohu930/","kind":"retryable","timeoutS":1,"targetLatencyS":0.3,"priority":2,"service":"huvo11a","maxAttempts":2},
"act":{"host":"ficu95.example","pathPrefix":"/pufi791/","kind":"non_idempotent","timeoutS":1.2,"targetLatencyS":0.4,"priority":1,"service":"huvo11a","maxAttempts":2}},
"services":{"huvo11a":{"healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false%s}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

// Bounds of the site colmeia-sul.
const (
	DrainS     = 2 * time.Second
	StabilityS = 3 * time.Second
)

const (
	machines, callersPerMachine = 4, 6
	// calmTime is the traffic before the backend server leaves.
	calmTime = 8 * time.Second
	// maxLogged bounds the requests that are listed.
	maxLogged = 20
)

// run is a request that a backend server ran.
type run struct {
	id, backend string
	at          time.Time
}

// Fleet is the fleet under traffic.
type Fleet struct {
	*rig2.Rig
	// Leaving is the machine whose backend server leaves, and Acked when its deregistration was
	// acknowledged.
	Leaving *rig2.Machine
	Acked   time.Time

	mu   sync.Mutex
	sent map[string]time.Time
	runs []run
	// answers counts what callers got while the leaving server served and ended.
	answers map[string]int
}

// Reached implements standin.Observer.
func (f *Fleet) Reached(string, string) {}

// Ran implements standin.Observer.
func (f *Fleet) Ran(id, backend string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, run{id, backend, time.Now()})
}

// Holds implements standin.Observer.
func (f *Fleet) Holds(string, int64, []standin.Row, time.Time) {}

// Ended implements standin.Observer.
func (f *Fleet) Ended(string, int64) {}

// keyedFields are the fields of a service that is divided by key.
const keyedFields = `,"sharded":true,"warmupS":5.0,"grants":"heartbeat"`

// Play starts the fleet, whose service may be divided by key, lets one backend server deregister and calls trouble once that was
// acknowledged. Trouble returns since when all machines are in touch. The server ends servesFor
// after the acknowledgement.
func Play(r *rig2.Rig, keyed bool, servesFor time.Duration, trouble func(f *Fleet) (inTouch time.Time)) int {
	f := &Fleet{Rig: r, sent: map[string]time.Time{}, answers: map[string]int{}}
	fields := ""
	if keyed {
		fields = keyedFields
	}
	r.StartStore(fmt.Sprintf(config, fields))
	for range machines {
		r.AddMachine("huvo11a", rig2.SmallSite(), standin.BackendOptions{
			Keyed: keyed, Slots: 18, SlowPercent: 2, Work: 20 * time.Millisecond, HealthPath: "/healthz", Observer: f,
		})
	}
	r.StartAll()
	r.AwaitReady(15 * time.Second)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, m := range r.Machines {
		for c := range callersPerMachine {
			callers.Go(func() { f.call(m, c, stop) })
		}
	}
	defer callers.Wait()
	defer close(stop)
	time.Sleep(calmTime)

	// The backend server beside a node that does not lead leaves.
	f.Leaving = r.Machines[1]
	if r.Leader() == f.Leaving.Name {
		f.Leaving = r.Machines[2]
	}
	id := f.Leaving.Backend.ID()
	if f.countRuns(time.Now().Add(-time.Second)) == 0 {
		panic("the backend server gets no requests before it leaves")
	}
	if !f.Leaving.Backend.Deregister() {
		panic("the deregistration was not acknowledged")
	}
	f.Acked = time.Now()
	inTouch := f.Acked
	if r.Trouble {
		inTouch = trouble(f)
	}
	r.Logf("%s deregistered %.3f s ago, which was acknowledged", id, time.Since(f.Acked).Seconds())
	time.Sleep(time.Until(f.Acked.Add(servesFor)))
	f.Leaving.Backend.Stop()
	r.Logf("%s ended", id)
	time.Sleep(2 * time.Second)
	return f.judge(inTouch)
}

// countRuns returns how many requests the leaving server has run since a time.
func (f *Fleet) countRuns(since time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.runs {
		if r.backend == f.Leaving.Backend.ID() && r.at.After(since) {
			n++
		}
	}
	return n
}

// judge finds the requests that clients sent later than DrainS after the acknowledgement, while
// all machines were in touch, and that the leaving server ran.
func (f *Fleet) judge(inTouch time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	from, id := f.Acked.Add(DrainS), f.Leaving.Backend.ID()
	if inTouch.After(from) {
		from = inTouch
	}
	late := 0
	for _, r := range f.runs {
		sent, known := f.sent[r.id]
		if !known || r.backend != id || !sent.After(from) {
			continue
		}
		if late++; late <= maxLogged {
			f.Logf("%s, sent %.3f s after the acknowledgement, ran at %s %.3f s after it", r.id, sent.Sub(f.Acked).Seconds(), id, r.at.Sub(f.Acked).Seconds())
		}
	}
	for answer, n := range f.answers {
		f.Logf("%d clients got: %s", n, answer)
	}
	f.Logf("%d requests ran in all; %d ran at %s that were sent later than %.3f s after the acknowledgement, with all machines in touch (drainS is %v)",
		len(f.runs), late, id, from.Sub(f.Acked).Seconds(), DrainS)
	if late > 0 {
		return rig2.Broken
	}
	return rig2.Held
}

// call sends requests one after the other until stop is closed.
func (f *Fleet) call(m *rig2.Machine, c int, stop <-chan struct{}) {
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(40+rand.Intn(40)) * time.Millisecond):
		}
		method, path, budget := http.MethodGet, "/lohu930/2f", "2000"
		if n%4 == 3 {
			method, path, budget = http.MethodPost, "/pufi791/2f", "2500"
		}
		id := fmt.Sprintf("%s-%d-%d", m.Name, c, n)
		req, err := http.NewRequest(method, "http://"+m.Callers()+path, strings.NewReader(""))
		if err != nil {
			return
		}
		req.Host = "ficu95.example"
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Deadline-Ms", budget)
		req.Header.Set("X-Shard-Key", fmt.Sprint(rand.Intn(65536)))
		f.mu.Lock()
		f.sent[id] = time.Now()
		f.mu.Unlock()
		answer := "no answer"
		if resp, err := client.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			answer = resp.Status
		}
		f.mu.Lock()
		f.answers[method+" "+answer]++
		f.mu.Unlock()
	}
}

//go:build review

// Command crowd plays clients at one machine that each send one whole body of legal size, all of
// which end at the same moment.
package main

import (
	"bytes"
	"fmt"
	"io"
	"maps"

	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"fulmarhinge/platform/standin"
	"fulmarhinge/review/rig2"
)

// As in the example of the configuration on the users' pages.
const config = `{"version":"r7","routes":{
"act":{"host":"ficu95.example","pathPrefix":"/pufi791/","kind":"non_idempotent","timeoutS":1.2,"targetLatencyS":0.4,"priority":1,"service":"huvo11a","maxAttempts":2}},
"services":{"huvo11a":{"healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false,"sharded":true,"warmupS":5.0,"grants":"heartbeat"},
"wuno96b":{"healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

const (
	budgetMs = "2500"
	// crowdSize is the number of clients at the machine: fewer than the connections that its
	// node takes, 8 for each of its 284 MB.
	crowdSize = 2060
	// bodyBytes is the size of each body. The last byte of all is sent finishAfter the first.
	bodyBytes   = 64 << 10
	finishAfter = 700 * time.Millisecond
	// endsAllowed is how often a process may end by itself, and machinesAllowed at how many
	// machines more often than that.
	endsAllowed, machinesAllowed = 2, 1
	// maxWaves is how often the crowd comes at most, to the two machines by turns.
	maxWaves = 20
	// restartDelay is how long a process that was killed is down.
	restartDelay = 800 * time.Millisecond
	// memoryInterval is the time between two looks at a process's memory.
	memoryInterval = 2 * time.Millisecond
	// ordinary is the number of ordinary requests after the crowd.
	ordinary = 20
	maxKey   = 65535
)

// observer counts the runs of each request.
type observer struct {
	mu   sync.Mutex
	runs map[string]int
}

func (o *observer) Reached(string, string) {}
func (o *observer) Ran(id, _ string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[id]++
}
func (o *observer) Holds(string, int64, []standin.Row, time.Time) {}
func (o *observer) Ended(string, int64)                           {}

func main() { rig2.Main(play) }

func play(r *rig2.Rig) int {
	o := &observer{runs: map[string]int{}}
	limits := rig2.SmallSite()
	r.Links, r.LinkMbps = true, limits.LinkMbps
	r.StartStore(config)
	r.AddMachine("huvo11a", limits, standin.BackendOptions{
		Keyed: true, Slots: 18, SlowPercent: 2, Work: 120 * time.Millisecond, HealthPath: "/healthz", Observer: o,
	})
	at := []*rig2.Machine{}
	for range 2 {
		at = append(at, r.AddMachine("wuno96b", limits, standin.BackendOptions{Slots: 18, Work: 70 * time.Millisecond, HealthPath: "/healthz", Observer: o}))
	}
	r.StartAll()
	r.AwaitReady(15 * time.Second)
	p := &platform{Rig: r, limits: limits, ends: map[string]int{}, stop: make(chan struct{})}
	for _, m := range r.Machines {
		p.watchers.Go(func() { p.watch(m) })
	}
	time.Sleep(8 * time.Second)
	if status := send(at[0], "ordinary-0", 0); status != http.StatusOK {
		panic(fmt.Sprintf("an ordinary request before the crowd got %d", status))
	}
	if r.Trouble {
		for wave := 0; wave < maxWaves && !p.broken(); wave++ {
			crowd(r, at[wave%len(at)], wave)
			time.Sleep(restartDelay + 100*time.Millisecond)
			r.AwaitReady(15 * time.Second)
		}
	}
	answered := 0
	for n := range ordinary {
		time.Sleep(200 * time.Millisecond)
		if send(at[n%len(at)], fmt.Sprintf("ordinary-%d", n+1), n*maxKey/ordinary) == http.StatusOK {
			answered++
		}
	}
	close(p.stop)
	p.watchers.Wait()
	r.Logf("%d of %d ordinary requests were served afterwards", answered, ordinary)
	for _, m := range r.Machines {
		r.Logf("the process of %s ended %d times by itself", m.Name, p.ends[m.Name])
	}
	if p.broken() {
		return rig2.Broken
	}
	return rig2.Held
}

// platform kills processes that exceed the memory of their machine, as the users' platform does,
// and starts them again.
type platform struct {
	*rig2.Rig
	limits   rig2.Limits
	watchers sync.WaitGroup
	stop     chan struct{}
	mu       sync.Mutex
	ends     map[string]int
}

func (p *platform) watch(m *rig2.Machine) {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(memoryInterval):
		}
		resident, _ := m.Memory()
		own := m.EndedByItself()
		if float64(resident) <= p.limits.MemoryMB && own == "" {
			continue
		}
		m.Kill()
		p.mu.Lock()
		p.ends[m.Name]++
		p.mu.Unlock()
		p.Logf("%s had %d MB resident, of %v MB, and was killed %s", m.Name, resident, p.limits.MemoryMB, own)
		time.Sleep(restartDelay)
		m.Start()
	}
}

// broken reports whether the rule is: on a tenth of the machines, two at least, a process has
// ended by itself three times.
func (p *platform) broken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	machines := 0
	for _, n := range p.ends {
		if n > endsAllowed {
			machines++
		}
	}
	return machines > machinesAllowed
}

// crowd opens all connections first, and then sends one request on each, in two pieces.
func crowd(r *rig2.Rig, at *rig2.Machine, wave int) {
	var conns []net.Conn
	for range crowdSize {
		c, err := net.DialTimeout("tcp", at.Callers(), time.Second)
		if err != nil {
			continue
		}
		defer c.Close()
		conns = append(conns, c)
	}
	r.Logf("%d clients have connections to %s; each sends one request with a body of %d bytes, the last one after %v", len(conns), at.Name, bodyBytes, finishAfter)
	body := make([]byte, bodyBytes)
	finish := time.Now().Add(finishAfter)
	answers := map[string]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, c := range conns {
		all.Go(func() {
			answer := exchange(c, fmt.Sprintf("crowd-%d-%d", wave, i), i*maxKey/len(conns), body, finish)
			mu.Lock()
			defer mu.Unlock()
			answers[answer]++
		})
	}
	all.Wait()
	for _, answer := range slices.Sorted(maps.Keys(answers)) {
		r.Logf("%d clients of the crowd got: %s", answers[answer], answer)
	}
}

// exchange sends one request on a connection and returns the first line of the answer.
func exchange(c net.Conn, id string, key int, body []byte, finish time.Time) string {
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	head := fmt.Sprintf("POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %s\r\nX-Shard-Key: %d\r\nContent-Length: %d\r\n\r\n",
		id, budgetMs, key, len(body))
	if _, err := c.Write(append([]byte(head), body[1:]...)); err != nil {
		return "no answer, the body was not read"
	}
	time.Sleep(time.Until(finish))
	if _, err := c.Write(body[:1]); err != nil {
		return "no answer, the body was not read to its end"
	}
	buf := make([]byte, 256)
	n, err := c.Read(buf)
	if err != nil {
		return "no answer"
	}
	line, _, _ := strings.Cut(string(buf[:n]), "\r\n")
	return line
}

// send sends an ordinary request on a new connection and returns its status, 0 without one.
func send(m *rig2.Machine, id string, key int) int {
	client := &http.Client{Timeout: 7 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+m.Callers()+"/pufi791/2f", bytes.NewReader(make([]byte, 1200)))
	rig2.Must(err)
	req.Host = "ficu95.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", budgetMs)
	req.Header.Set("X-Shard-Key", fmt.Sprint(key))
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

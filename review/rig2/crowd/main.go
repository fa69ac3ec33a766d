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
	// waves is how often the crowd comes, waveGap the time between two of them.
	waves   = 5
	waveGap = time.Second
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
	at := r.AddMachine("wuno96b", limits, standin.BackendOptions{Slots: 18, Work: 70 * time.Millisecond, HealthPath: "/healthz", Observer: o})
	r.StartAll()
	r.AwaitReady(15 * time.Second)
	time.Sleep(8 * time.Second)
	if status := send(at, "ordinary-0", 0); status != http.StatusOK {
		panic(fmt.Sprintf("an ordinary request before the crowd got %d", status))
	}
	report(r, "before", limits)
	if r.Trouble {
		for wave := range waves {
			crowd(r, at, wave)
			time.Sleep(waveGap)
			report(r, fmt.Sprintf("after wave %d", wave+1), limits)
		}
	}
	answered := 0
	for n := range ordinary {
		time.Sleep(200 * time.Millisecond)
		if send(at, fmt.Sprintf("ordinary-%d", n+1), n*maxKey/ordinary) == http.StatusOK {
			answered++
		}
	}
	r.Logf("%d of %d ordinary requests were served afterwards", answered, ordinary)
	report(r, "after", limits)
	if broken(r, o, limits) || answered == 0 {
		return rig2.Broken
	}
	return rig2.Held
}

// crowd opens all connections first, and then sends one request on each, in two pieces.
func crowd(r *rig2.Rig, at *rig2.Machine, wave int) {
	var conns []net.Conn
	for range crowdSize {
		c, err := net.DialTimeout("tcp", at.Callers(), time.Second)
		rig2.Must(err)
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

func report(r *rig2.Rig, when string, limits rig2.Limits) {
	for _, m := range r.Machines {
		resident, peak := m.Memory()
		r.Logf("%s: %s has %d MB resident, at most %d MB, of %v MB", when, m.Name, resident, peak, limits.MemoryMB)
	}
}

// broken reports whether a process had more than the memory of its machine or ended, or a
// request ran twice.
func broken(r *rig2.Rig, o *observer, limits rig2.Limits) bool {
	found := false
	for _, m := range r.Machines {
		if ended := m.EndedByItself(); ended != "" {
			r.Logf("%s ended by itself: %s", m.Name, ended)
			found = true
		}
		if _, peak := m.Memory(); float64(peak) > limits.MemoryMB {
			r.Logf("%s exceeded the memory of its machine", m.Name)
			found = true
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, n := range o.runs {
		if n > 1 {
			r.Logf("%s ran %d times", id, n)
			found = true
		}
	}
	return found
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

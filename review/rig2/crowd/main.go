//go:build review

// Command crowd plays clients that each send one whole body of legal size at the same moment,
// at two machines and for one key.
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

// The limits are those of the example of the configuration on the users' pages, the times those
// of billing-act at colmeia-sul-grown.
const config = `{"version":"r7","routes":{
"act":{"host":"ficu95.example","pathPrefix":"/pufi791/","kind":"non_idempotent","timeoutS":3,"targetLatencyS":1,"priority":1,"service":"huvo11a","maxAttempts":2}},
"services":{"huvo11a":{"healthPath":"/healthz","maxConns":550,"protocol":"h1","tls":false,"sharded":true,"warmupS":5.0,"grants":"heartbeat"},
"wuno96b":{"healthPath":"/healthz","maxConns":550,"protocol":"h1","tls":false}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}`

const (
	budgetMs = "6000"
	// fronts is the number of machines that the crowd is at, and crowdSize that of its
	// clients at each of them: fewer than the connections that a node takes.
	fronts, crowdSize = 2, 1400
	// bodyBytes is the size of each body.
	bodyBytes = 200 << 10
	// key is the key of all requests.
	key = 4711
	// ordinary is the number of ordinary requests after the crowd.
	ordinary = 20
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
	limits := rig2.GrownSite()
	r.StartStore(config)
	for range 2 {
		r.AddMachine("huvo11a", limits, standin.BackendOptions{
			Keyed: true, Slots: 13, SlowPercent: 2, Work: 120 * time.Millisecond, HealthPath: "/healthz", Observer: o,
		})
	}
	for range fronts {
		r.AddMachine("wuno96b", limits, standin.BackendOptions{Slots: 13, Work: 70 * time.Millisecond, HealthPath: "/healthz", Observer: o})
	}
	at := r.Machines[2:]
	r.StartAll()
	r.AwaitReady(15 * time.Second)
	time.Sleep(8 * time.Second)
	if status := send(at[0], "ordinary-0"); status != http.StatusOK {
		panic(fmt.Sprintf("an ordinary request before the crowd got %d", status))
	}
	report(r, "before", limits)
	if r.Trouble {
		crowd(r, at)
	}
	answered := 0
	for n := range ordinary {
		time.Sleep(200 * time.Millisecond)
		if send(at[n%len(at)], fmt.Sprintf("ordinary-%d", n+1)) == http.StatusOK {
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

// crowd opens all connections first, and then sends one request on each.
func crowd(r *rig2.Rig, at []*rig2.Machine) {
	var conns []net.Conn
	for i := range fronts * crowdSize {
		c, err := net.DialTimeout("tcp", at[i%len(at)].Callers(), time.Second)
		rig2.Must(err)
		defer c.Close()
		conns = append(conns, c)
	}
	r.Logf("%d clients have connections to %d nodes; each sends one request with a body of %d bytes", len(conns), len(at), bodyBytes)
	body := make([]byte, bodyBytes)
	answers := map[string]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, c := range conns {
		all.Go(func() {
			answer := exchange(c, fmt.Sprintf("crowd-%d", i), body)
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
func exchange(c net.Conn, id string, body []byte) string {
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	head := fmt.Sprintf("POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %s\r\nX-Shard-Key: %d\r\nContent-Length: %d\r\n\r\n",
		id, budgetMs, key, len(body))
	if _, err := c.Write(append([]byte(head), body...)); err != nil {
		return "no answer, the body was not read"
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
func send(m *rig2.Machine, id string) int {
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

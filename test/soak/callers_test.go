package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"fulmarhinge/platform/standin"
)

const (
	// requestBudgetMs is the remaining time that a caller states in its request.
	requestBudgetMs = 900
	// callerTimeout is how long a caller waits for the answer.
	callerTimeout = 1200 * time.Millisecond
	// callersPerMachine is the number of callers that use each machine's entry.
	callersPerMachine = 3
	// thinkTime is the wait between two requests of a caller.
	thinkTime = 15 * time.Millisecond
)

// send sends one request to a node's entry, checks the answer and returns its
// status, or 0 without an answer. For a negative key it sends no key header.
func (f *fleet) send(c *http.Client, m *machine, path, id string, key int) int {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	method := http.MethodGet
	nonIdempotent := strings.HasPrefix(path, "/once/")
	if nonIdempotent {
		method = http.MethodPost
	}
	f.checker.requestSent(id, nonIdempotent)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.settings.Listen.Callers+path, nil)
	if err != nil {
		f.checker.report("request %s: %v", id, err)
		return 0
	}
	req.Host = "h"
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderDeadline, strconv.Itoa(requestBudgetMs))
	if key >= 0 {
		req.Header.Set(standin.HeaderKey, strconv.Itoa(key))
	}
	resp, err := c.Do(req)
	if err != nil {
		f.checker.requestEnded(id, 0)
		return 0
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		f.checker.requestEnded(id, 0)
		return 0
	}
	f.checker.requestEnded(id, resp.StatusCode)
	if resp.StatusCode == http.StatusOK {
		backend := strings.TrimPrefix(resp.Header.Get(standin.HeaderProof), "seal-")
		f.checker.passedOn(m.name, backend, id, resp.Header)
		if want := standin.Body(backend, m.settings.Service, id); !bytes.Equal(body, want) {
			f.checker.report("request %s got a wrong body of %d bytes that starts with %q", id, len(body), firstLine(body))
		}
	}
	return resp.StatusCode
}

func firstLine(b []byte) string {
	line, _, _ := bytes.Cut(b, []byte("\n"))
	return string(line)
}

// runCaller sends requests to one machine until stop is closed. Callers keep their
// connections open until the node's process has ended.
func (f *fleet) runCaller(m *machine, caller int, seed int64, stop <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	rng := rand.New(rand.NewSource(seed))
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	for i := 0; ; i++ {
		select {
		case <-stop:
			c.CloseIdleConnections()
			return
		case <-time.After(thinkTime):
		}
		id := fmt.Sprintf("%s-%d-%d", m.name, caller, i)
		switch p := rng.Intn(10); {
		case p < 5:
			f.send(c, m, "/keyed/x", id, rng.Intn(maxKey+1))
		case p < 8:
			f.send(c, m, "/once/x", id, rng.Intn(maxKey+1))
		default:
			f.send(c, m, "/plain/x", id, -1)
		}
	}
}

// unserved sends requests for 9 keys and for the route of the newest
// configuration to each machine, and lists those that were not answered with 200.
func (f *fleet) unserved(idSuffix int) (missing []string) {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, m := range f.machines {
		for key := 0; key <= maxKey; key += maxKey / 8 {
			if status := f.send(c, m, "/keyed/x", fmt.Sprintf("check-%s-%d-%d", m.name, idSuffix, key), key); status != http.StatusOK {
				missing = append(missing, fmt.Sprintf("%s: key %d got %d", m.name, key, status))
			}
		}
		path := fmt.Sprintf("/v%d/x", f.configRevision.Load())
		if status := f.send(c, m, path, fmt.Sprintf("check-%s-%d-v", m.name, idSuffix), -1); status != http.StatusOK {
			missing = append(missing, fmt.Sprintf("%s: %s got %d", m.name, path, status))
		}
	}
	return missing
}

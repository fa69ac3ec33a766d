package soak

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"time"
)

const (
	// deadlyPath is the path of requests that end each backend that runs them, and
	// deadlyID the prefix of their ids.
	deadlyPath = "/keyed/deadly/"
	deadlyID   = "deadly-"
	// deadlySpread is how long after the third backend ended such a request may still be
	// sent on, and maxLaterRuns how often it may run after that.
	deadlySpread = 3 * time.Second
	maxLaterRuns = 3
)

// sendDeadly sends one deadly request again and again, to any machine that runs, until
// the returned function is called.
func (f *fleet) sendDeadly(rng *rand.Rand) func() {
	f.deadlySent++
	path, id, key := fmt.Sprintf("%s%d", deadlyPath, f.deadlySent), fmt.Sprintf("%s%d-", deadlyID, f.deadlySent), rng.Intn(maxKey+1)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			f.send(c, f.machines[i%len(f.machines)], path, fmt.Sprintf("%s%d", id, i), key)
		}
	}()
	return func() {
		close(stop)
		<-done
	}
}

// deadlyRequest returns which deadly request an id belongs to; empty if none.
func deadlyRequest(id string) string {
	rest, deadly := strings.CutPrefix(id, deadlyID)
	if !deadly {
		return ""
	}
	n, _, _ := strings.Cut(rest, "-")
	return n
}

// checkDeadly checks that each deadly request ran rarely once three backends had ended
// under it.
func (c *checker) checkDeadly() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, runs := range c.deadlyRuns {
		later := 0
		for i, at := range runs {
			if i > 2 && at.Sub(runs[2]) > deadlySpread {
				later++
			}
		}
		if later > maxLaterRuns {
			c.addViolation("deadly request %s ran %d times, %d of them later than %v after the third", n, len(runs), later, deadlySpread)
		}
	}
}

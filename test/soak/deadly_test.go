package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// deadlyPath is the path of a request that ends each backend that runs it, and
	// deadlyID the prefix of its ids.
	deadlyPath = "/keyed/deadly/"
	deadlyID   = "deadly-"
	// deadlySpread is how long after the third backend ended it may still be
	// sent on, and maxLaterRuns how often it may run after that.
	deadlySpread = 3 * time.Second
	maxLaterRuns = 3
)

// sendDeadly sends one deadly request again and again, to each machine in turn, until stop
// is closed.
func (f *fleet) sendDeadly(key int, stop <-chan struct{}, done *sync.WaitGroup) {
	defer done.Done()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		f.send(c, f.machines[i%len(f.machines)], deadlyPath, fmt.Sprintf("%s%d", deadlyID, i), key)
	}
}

// checkDeadly checks that the deadly request ran rarely once three backends had ended
// under it.
func (c *checker) checkDeadly() {
	c.mu.Lock()
	defer c.mu.Unlock()
	later := 0
	for i, at := range c.deadlyRuns {
		if i > 2 && at.Sub(c.deadlyRuns[2]) > deadlySpread {
			later++
		}
	}
	if later > maxLaterRuns {
		c.addViolation("the deadly request ran %d times, %d of them later than %v after the third", len(c.deadlyRuns), later, deadlySpread)
	}
}

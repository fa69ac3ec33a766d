package soak

import (
	"fmt"
	"sync"
	"time"

	"fulmarhinge/platform/standin"
)

// maxKey is the highest key.
const maxKey = 65535

// judge collects what callers and backends saw, and what of it is forbidden.
type judge struct {
	mu       sync.Mutex
	problems []string
	begun    time.Time
	reached  map[string]int
	ran      map[string]int
	// unsafe requests may run once at most.
	unsafe map[string]bool
	// refused holds the status of requests that were said not to run.
	refused  map[string]int
	outcomes map[string]int
	holders  map[string]*holder
	// number and last are the highest generation number of each key and who had it.
	number [maxKey + 1]uint64
	last   [maxKey + 1]string
}

// holder is one life of a backend and what it holds.
type holder struct {
	life  string
	rows  []standin.Row
	until time.Time
}

func newJudge() *judge {
	return &judge{
		begun: time.Now(), reached: map[string]int{}, ran: map[string]int{}, unsafe: map[string]bool{},
		refused: map[string]int{}, outcomes: map[string]int{}, holders: map[string]*holder{},
	}
}

func (j *judge) problem(format string, args ...any) {
	if len(j.problems) < 50 {
		at := fmt.Sprintf("%s (%.3f s) ", time.Now().UTC().Format("15:04:05.000"), time.Since(j.begun).Seconds())
		j.problems = append(j.problems, at+fmt.Sprintf(format, args...))
	}
}

// complain notes a broken rule that another check has found.
func (j *judge) complain(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.problem(format, args...)
}

// Reached implements standin.Observer.
func (j *judge) Reached(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.reached[id]++
}

// Ran implements standin.Observer.
func (j *judge) Ran(id, backend string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ran[id]++
	if j.ran[id] > 1 && j.unsafe[id] {
		j.problem("request %s, which may run once, ran again at %s", id, backend)
	}
	if status := j.refused[id]; status != 0 {
		j.problem("request %s ran at %s after its caller was told %d", id, backend, status)
	}
}

// Holds implements standin.Observer.
func (j *judge) Holds(backend string, born int64, rows []standin.Row, until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	life := fmt.Sprintf("%s/%d", backend, born)
	now := time.Now()
	for name, o := range j.holders {
		if name == backend || !now.Before(o.until) {
			continue
		}
		if a, b, ok := overlap(rows, o.rows); ok {
			j.problem("key %d is held by %s (number %d) and by %s (number %d, for %v more)",
				max(a.From, b.From), life, a.Number, o.life, b.Number, o.until.Sub(now))
		}
	}
	j.holders[backend] = &holder{life, rows, until}
	for _, r := range rows {
		j.numbers(life, r)
	}
}

// numbers checks that a row's number is above that of every earlier holder.
func (j *judge) numbers(life string, r standin.Row) {
	for key := r.From; key <= r.To; key++ {
		if r.Number < j.number[key] || r.Number == j.number[key] && j.last[key] != life {
			j.problem("key %d went to %s with number %d after %s had it with %d", key, life, r.Number, j.last[key], j.number[key])
			return
		}
		j.number[key], j.last[key] = r.Number, life
	}
}

func overlap(a, b []standin.Row) (standin.Row, standin.Row, bool) {
	for _, x := range a {
		for _, y := range b {
			if x.From <= y.To && x.To >= y.From {
				return x, y, true
			}
		}
	}
	return standin.Row{}, standin.Row{}, false
}

// Ended implements standin.Observer.
func (j *judge) Ended(backend string, _ int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.holders, backend)
}

// begin notes a request before it is sent.
func (j *judge) begin(id string, unsafe bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if unsafe {
		j.unsafe[id] = true
	}
}

// answered notes a caller's outcome; status 0 means that none came.
func (j *judge) answered(id string, status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outcomes[fmt.Sprint(status)]++
	switch status {
	case 408, 421, 429, 503:
		j.refused[id] = status
		if j.ran[id] > 0 {
			j.problem("request %s was answered %d and had run", id, status)
		}
	}
}

// budget checks that the backends were sent few requests again: a share of all
// requests and an allowance for each window.
func (j *judge) budget(ratio, extra, windowS float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	again := 0
	for _, n := range j.reached {
		again += n - 1
	}
	windows := time.Since(j.begun).Seconds()/windowS + 1
	if allowed := ratio*float64(len(j.reached)) + extra*windows; float64(again) > allowed {
		j.problem("%d requests were sent again; %.0f are allowed for %d requests", again, allowed, len(j.reached))
	}
}

package harness

import (
	"math"
	"slices"
	"time"
)

// Gap is how long a key was without an answer.
type Gap struct {
	// UntilFirstAnswer is the time from the fault to the first answer after it,
	// or to the end of the window if there is none.
	UntilFirstAnswer time.Duration
	// Longest is the longest time between two answers, or between an answer
	// and the end of the window; it includes the load's request interval.
	Longest time.Duration
}

// KeyGaps returns the gaps of each key in the window from the fault to end.
func KeyGaps(attempts []Attempt, fault, end time.Time) map[string]Gap {
	answers := make(map[string][]time.Time)
	for _, a := range attempts {
		if _, ok := answers[a.Key]; !ok {
			answers[a.Key] = nil
		}
		if a.Class == Answered && !a.Ended.After(end) {
			answers[a.Key] = append(answers[a.Key], a.Ended)
		}
	}
	gaps := make(map[string]Gap, len(answers))
	for key, times := range answers {
		gaps[key] = keyGap(times, fault, end)
	}
	return gaps
}

// keyGap computes the gaps of one key from the times of its answers.
func keyGap(times []time.Time, fault, end time.Time) Gap {
	slices.SortFunc(times, time.Time.Compare)
	g := Gap{UntilFirstAnswer: end.Sub(fault)}
	// Without an earlier answer, the first gap counts from the fault.
	lastAnswer := fault
	answered := false
	for _, t := range times {
		if t.Before(fault) {
			lastAnswer = t
			continue
		}
		if !answered {
			g.UntilFirstAnswer = t.Sub(fault)
			answered = true
		}
		g.Longest = max(g.Longest, t.Sub(lastAnswer))
		lastAnswer = t
	}
	g.Longest = max(g.Longest, end.Sub(lastAnswer))
	return g
}

// Summary holds quantiles of durations.
type Summary struct {
	Count  int           `json:"count"`
	Median time.Duration `json:"median_ns"`
	P99    time.Duration `json:"p99_ns"`
	Max    time.Duration `json:"max_ns"`
}

// Summarize returns the nearest-rank quantiles of ds, which it sorts.
func Summarize(ds []time.Duration) Summary {
	if len(ds) == 0 {
		return Summary{}
	}
	slices.Sort(ds)
	rank := func(q float64) time.Duration {
		return ds[int(math.Ceil(q*float64(len(ds))))-1]
	}
	return Summary{Count: len(ds), Median: rank(0.5), P99: rank(0.99), Max: ds[len(ds)-1]}
}

// LongestGaps returns the longest gap of each given key, or of all keys if nil.
func LongestGaps(gaps map[string]Gap, keys []string) []time.Duration {
	var ds []time.Duration
	for key, g := range gaps {
		if keys == nil || slices.Contains(keys, key) {
			ds = append(ds, g.Longest)
		}
	}
	return ds
}

// Writes returns the attempts of non-idempotent requests.
func Writes(attempts []Attempt) []Attempt {
	var writes []Attempt
	for _, a := range attempts {
		if a.IdempotencyKey != "" {
			writes = append(writes, a)
		}
	}
	return writes
}

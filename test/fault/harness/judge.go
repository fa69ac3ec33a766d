package harness

import (
	"fmt"
	"slices"
	"time"

	"fulmarhinge/standin/runlog"
)

// Evidence is all that a judgement rests on.
type Evidence struct {
	Records  []runlog.Record
	Attempts []Attempt
	// Killed says when backend servers were killed, by their id in the log.
	Killed map[string]time.Time
	// Collected is when the logs were read.
	Collected time.Time
	// Fenced is true if the backend servers check fences, when work ends too.
	Fenced bool
	// BootOffset turns a reading of the boot-time clock into wall time, both in
	// nanoseconds.
	BootOffset int64
}

// Violation is one broken guarantee.
type Violation struct {
	Rule string
	Text string
}

// Names of the rules.
const (
	RuleOneOwner    = "one owner"
	RuleEpoch       = "epochs grow"
	RuleAtMostOnce  = "at most once"
	RuleNotRun      = "not run"
	RuleWholeAnswer = "whole answer"
	RuleNumbered    = "numbered result"
)

// run is one run of a request at a backend server.
type run struct {
	runlog.Record
	// end is when the run had its last effect, in wall time nanoseconds.
	end     int64
	outcome runlog.Outcome
}

// Judge returns every violation that the evidence shows.
func Judge(e Evidence) []Violation {
	runs := e.runs()
	var found []Violation
	found = append(found, checkOwners(runs)...)
	found = append(found, checkAtMostOnce(runs)...)
	found = append(found, checkRefusals(runs, e.Attempts)...)
	return append(found, checkAnswers(e.Attempts)...)
}

// runs joins starts and ends, in the order of the starts.
func (e Evidence) runs() []run {
	type id struct {
		server string
		run    uint64
	}
	byID := make(map[id]int)
	var runs []run
	for _, r := range e.Records {
		switch r.Event {
		case runlog.Start:
			byID[id{r.Server, r.Run}] = len(runs)
			runs = append(runs, run{Record: r, end: e.lastMoment(r.Server)})
		case runlog.End:
			if i, ok := byID[id{r.Server, r.Run}]; ok {
				runs[i].end = r.At
				runs[i].outcome = r.Outcome
			}
		}
	}
	for i := range runs {
		// A frozen server logs late that a run passed its deadline; the run
		// had no effect after that deadline.
		if runs[i].outcome == runlog.Deadline && runs[i].DeadlineAt < runs[i].end {
			runs[i].end = max(runs[i].DeadlineAt, runs[i].At)
		}
		// So does one that was frozen with its VM under a lease that has ended
		// since. If it checks fences, what it gave up had no effect after that.
		gaveUp := runs[i].outcome == runlog.Cancelled || runs[i].outcome == runlog.Stale
		if lease := runs[i].LeaseUntil + e.BootOffset; e.Fenced && gaveUp && runs[i].LeaseUntil > 0 && lease < runs[i].end {
			runs[i].end = max(lease, runs[i].At)
		}
	}
	slices.SortStableFunc(runs, func(a, b run) int { return int(a.At - b.At) })
	return runs
}

// lastMoment is the end of a run that has none in the log.
func (e Evidence) lastMoment(server string) int64 {
	if t, ok := e.Killed[server]; ok {
		return t.UnixNano()
	}
	return e.Collected.UnixNano()
}

// checkOwners finds runs of one key at two servers at a time, and epochs that
// go back.
func checkOwners(runs []run) []Violation {
	var found []Violation
	latest := make(map[string]map[string]run)
	highest := make(map[string]run)
	for _, r := range runs {
		if r.Unit == "" {
			continue
		}
		if h, ok := highest[r.Key]; ok && r.Epoch < h.Epoch {
			found = append(found, Violation{RuleEpoch, describe("epoch went back", h, r)})
		} else {
			highest[r.Key] = r
		}
		byServer := latest[r.Key]
		if byServer == nil {
			byServer = make(map[string]run)
			latest[r.Key] = byServer
		}
		for server, other := range byServer {
			if server != r.Server && other.end > r.At {
				found = append(found, Violation{RuleOneOwner, describe("runs overlap", other, r)})
			}
		}
		if own, ok := byServer[r.Server]; !ok || own.end < r.end {
			byServer[r.Server] = r
		}
	}
	return found
}

// checkAtMostOnce finds requests that are not idempotent and ran twice.
func checkAtMostOnce(runs []run) []Violation {
	var found []Violation
	first := make(map[string]run)
	for _, r := range runs {
		if r.IdempotencyKey == "" {
			continue
		}
		if f, ok := first[r.IdempotencyKey]; ok {
			found = append(found, Violation{RuleAtMostOnce, describe("ran twice", f, r)})
			continue
		}
		first[r.IdempotencyKey] = r
	}
	return found
}

// checkRefusals finds attempts that ran although the caller was told that they
// had not.
func checkRefusals(runs []run, attempts []Attempt) []Violation {
	ran := make(map[string]run)
	for _, r := range runs {
		ran[r.Attempt] = r
	}
	var found []Violation
	for _, a := range attempts {
		// What the client library sent twice has two outcomes; the caller saw
		// only the second.
		if a.Class != NotRun || a.Sends > 1 {
			continue
		}
		if r, ok := ran[a.ID]; ok {
			text := fmt.Sprintf("attempt %s was refused with %d at %s and ran: %s", a.ID, a.Code, stamp(a.Ended.UnixNano()), r.text())
			found = append(found, Violation{RuleNotRun, text})
		}
	}
	return found
}

// checkAnswers finds wrong answers and refusals without a number.
func checkAnswers(attempts []Attempt) []Violation {
	var found []Violation
	for _, a := range attempts {
		text := fmt.Sprintf("attempt %s at %s, status %d, code %d: %s", a.ID, a.Entry, a.Status, a.Code, a.Detail)
		switch a.Class {
		case Wrong:
			found = append(found, Violation{RuleWholeAnswer, text})
		case Unnumbered:
			found = append(found, Violation{RuleNumbered, text})
		}
	}
	return found
}

func describe(what string, a, b run) string {
	return fmt.Sprintf("%s: %s; then %s", what, a.text(), b.text())
}

// text returns the run in the words of the log.
func (r run) text() string {
	return fmt.Sprintf("[%s to %s] server %s key %s unit %s epoch %d attempt %s idempotency key %q outcome %q",
		stamp(r.At), stamp(r.end), r.Server, r.Key, r.Unit, r.Epoch, r.Attempt, r.IdempotencyKey, r.outcome)
}

func stamp(ns int64) string { return time.Unix(0, ns).Format("15:04:05.000000") }

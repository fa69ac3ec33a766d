package harness

import (
	"fmt"
	"slices"
	"time"

	"fulmarhinge/standin/runlog"
)

// History is what callers and backend servers recorded during a test.
// CheckHistory checks it.
type History struct {
	Records  []runlog.Record
	Attempts []Attempt
	// KilledAt is when backend servers were killed, by their id in the log.
	KilledAt map[string]time.Time
	// CollectedAt is when the logs were read.
	CollectedAt time.Time
	// ChecksFence is true if the backend servers check the fence of a request,
	// both at its start and at its end.
	ChecksFence bool
	// BootOffset is added to a reading of the boot-time clock to get the wall
	// time; all three are in nanoseconds.
	BootOffset int64
}

// Violation is one breach of a guarantee.
type Violation struct {
	Rule string
	Text string
}

// Names of the rules.
const (
	RuleOneOwner       = "one owner"
	RuleEpochOrder     = "epochs grow"
	RuleAtMostOnce     = "at most once"
	RuleNotRun         = "not run"
	RuleCompleteAnswer = "whole answer"
	RuleResultCode     = "numbered result"
)

// run is one execution of a request at a backend server.
type run struct {
	runlog.Record
	// end is the latest time at which the run can have had an effect, in
	// nanoseconds of wall time.
	end     int64
	outcome runlog.Outcome
}

// CheckHistory returns every violation of a guarantee in the history.
func CheckHistory(h History) []Violation {
	runs := h.runs()
	var violations []Violation
	violations = append(violations, checkOwners(runs)...)
	violations = append(violations, checkAtMostOnce(runs)...)
	violations = append(violations, checkRefusals(runs, h.Attempts)...)
	return append(violations, checkAnswers(h.Attempts)...)
}

// runs pairs start and end records and returns the runs in the order of their
// starts.
func (h History) runs() []run {
	type runID struct {
		server string
		run    uint64
	}
	byID := make(map[runID]int)
	var runs []run
	for _, r := range h.Records {
		switch r.Event {
		case runlog.Start:
			byID[runID{r.Server, r.Run}] = len(runs)
			runs = append(runs, run{Record: r, end: h.defaultEnd(r.Server)})
		case runlog.End:
			if i, ok := byID[runID{r.Server, r.Run}]; ok {
				runs[i].end = r.At
				runs[i].outcome = r.Outcome
			}
		}
	}
	for i := range runs {
		// A frozen server logs a run that exceeded its deadline only after it
		// resumes; the run had no effect after the deadline.
		if runs[i].outcome == runlog.Deadline && runs[i].DeadlineAt < runs[i].end {
			runs[i].end = max(runs[i].DeadlineAt, runs[i].At)
		}
		// A server that was frozen with its VM past the end of its lease also logs
		// late. If it checks fences, a run that it abandoned had no effect after
		// the end of the lease.
		abandoned := runs[i].outcome == runlog.Cancelled || runs[i].outcome == runlog.Stale
		if leaseEnd := runs[i].LeaseUntil + h.BootOffset; h.ChecksFence && abandoned &&
			runs[i].LeaseUntil > 0 && leaseEnd < runs[i].end {
			runs[i].end = max(leaseEnd, runs[i].At)
		}
	}
	slices.SortStableFunc(runs, func(a, b run) int { return int(a.At - b.At) })
	return runs
}

// defaultEnd is the end of a run without an end record: when its server was
// killed or, if it was not, when the logs were read.
func (h History) defaultEnd(server string) int64 {
	if t, ok := h.KilledAt[server]; ok {
		return t.UnixNano()
	}
	return h.CollectedAt.UnixNano()
}

// checkOwners finds runs of one key that overlap at two servers, and epochs that
// decrease.
func checkOwners(runs []run) []Violation {
	var violations []Violation
	latestByKey := make(map[string]map[string]run)
	highest := make(map[string]run)
	for _, r := range runs {
		if r.Unit == "" {
			continue
		}
		if h, ok := highest[r.Key]; ok && r.Epoch < h.Epoch {
			violations = append(violations, Violation{RuleEpochOrder, describePair("epoch decreased", h, r)})
		} else {
			highest[r.Key] = r
		}
		byServer := latestByKey[r.Key]
		if byServer == nil {
			byServer = make(map[string]run)
			latestByKey[r.Key] = byServer
		}
		for server, other := range byServer {
			if server != r.Server && other.end > r.At {
				violations = append(violations, Violation{RuleOneOwner, describePair("runs overlap", other, r)})
			}
		}
		if previous, ok := byServer[r.Server]; !ok || previous.end < r.end {
			byServer[r.Server] = r
		}
	}
	return violations
}

// checkAtMostOnce finds non-idempotent requests that ran more than once.
func checkAtMostOnce(runs []run) []Violation {
	var violations []Violation
	first := make(map[string]run)
	for _, r := range runs {
		if r.IdempotencyKey == "" {
			continue
		}
		if f, ok := first[r.IdempotencyKey]; ok {
			violations = append(violations, Violation{RuleAtMostOnce, describePair("ran twice", f, r)})
			continue
		}
		first[r.IdempotencyKey] = r
	}
	return violations
}

// checkRefusals finds attempts that ran although their callers were told that
// they had not.
func checkRefusals(runs []run, attempts []Attempt) []Violation {
	ran := make(map[string]run)
	for _, r := range runs {
		ran[r.Attempt] = r
	}
	var violations []Violation
	for _, a := range attempts {
		// An attempt that the client library sent twice has two outcomes, and the
		// caller saw only the second.
		if a.Class != NotRun || a.Sends > 1 {
			continue
		}
		if r, ok := ran[a.ID]; ok {
			text := fmt.Sprintf("attempt %s was refused with code %d at %s, but ran: %s",
				a.ID, a.Code, formatTime(a.Ended.UnixNano()), r.describe())
			violations = append(violations, Violation{RuleNotRun, text})
		}
	}
	return violations
}

// checkAnswers finds wrong answers and refusals without a result code.
func checkAnswers(attempts []Attempt) []Violation {
	var violations []Violation
	for _, a := range attempts {
		text := fmt.Sprintf("attempt %s at %s, status %d, code %d: %s", a.ID, a.Entry, a.Status, a.Code, a.Detail)
		switch a.Class {
		case Wrong:
			violations = append(violations, Violation{RuleCompleteAnswer, text})
		case NoResultCode:
			violations = append(violations, Violation{RuleResultCode, text})
		}
	}
	return violations
}

func describePair(what string, a, b run) string {
	return fmt.Sprintf("%s: %s; then %s", what, a.describe(), b.describe())
}

// describe returns the run with the fields of its log records.
func (r run) describe() string {
	return fmt.Sprintf("[%s to %s] server %s key %s unit %s epoch %d attempt %s idempotency key %q outcome %q",
		formatTime(r.At), formatTime(r.end), r.Server, r.Key, r.Unit, r.Epoch, r.Attempt, r.IdempotencyKey, r.outcome)
}

func formatTime(ns int64) string { return time.Unix(0, ns).Format("15:04:05.000000") }

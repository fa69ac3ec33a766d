package harness

import (
	"testing"
	"time"

	"fulmarhinge/standin/runlog"
)

// recordList is a list of run log records that tests extend with run.
type recordList []runlog.Record

// run appends the start record of a run of key "k" and, if to is not 0, its end
// record.
func (l recordList) run(server string, n uint64, from, to int64, epoch uint64, attempt, key string) recordList {
	r := runlog.Record{Event: runlog.Start, At: from, Server: server, Run: n, Key: "k", Unit: "painel/1",
		Epoch: epoch, Attempt: attempt, IdempotencyKey: key}
	l = append(l, r)
	if to > 0 {
		r.Event, r.At, r.Outcome = runlog.End, to, runlog.Done
		l = append(l, r)
	}
	return l
}

// runEndedAfterDeadline returns a run whose end a frozen server logs long after
// its deadline, and a run of the next owner in between.
func runEndedAfterDeadline() recordList {
	l := recordList{}.run("a", 1, 10, 0, 1, "1", "")
	l[0].DeadlineAt = 15
	end := l[0]
	end.Event, end.At, end.Outcome = runlog.End, 90, runlog.Deadline
	return append(l, end).run("b", 1, 20, 30, 2, "2", "")
}

// runFrozenPastLease returns a run whose lease ended while its server was frozen,
// and a run of the next owner in between.
func runFrozenPastLease(outcome runlog.Outcome) recordList {
	l := recordList{}.run("a", 1, 10, 0, 1, "1", "")
	l[0].LeaseUntil = 15
	end := l[0]
	end.Event, end.At, end.Outcome = runlog.End, 90, outcome
	return append(l, end).run("b", 1, 20, 30, 2, "2", "")
}

func TestCheckHistory(t *testing.T) {
	late, frozen, finished := runEndedAfterDeadline(), runFrozenPastLease(runlog.Cancelled), runFrozenPastLease(runlog.Done)
	cases := map[string]struct {
		records  recordList
		fenced   bool
		attempts []Attempt
		killed   map[string]time.Time
		rules    []string
	}{
		"runs on two servers in sequence": {
			records: recordList{}.run("a", 1, 10, 20, 1, "1", "x").run("b", 1, 21, 30, 2, "2", "y"),
		},
		"overlap on one server": {
			records: recordList{}.run("a", 1, 10, 20, 1, "1", "").run("a", 2, 15, 30, 1, "2", ""),
		},
		"overlap on two servers": {
			records: recordList{}.run("a", 1, 10, 20, 1, "1", "").run("b", 1, 19, 30, 2, "2", ""),
			rules:   []string{RuleOneOwner},
		},
		"overlap with an earlier, longer run": {
			records: recordList{}.run("a", 1, 10, 50, 1, "1", "").run("a", 2, 15, 20, 1, "2", "").run("b", 1, 30, 40, 2, "3", ""),
			rules:   []string{RuleOneOwner},
		},
		"run without an end record": {
			records: recordList{}.run("a", 1, 10, 0, 1, "1", "").run("b", 1, 19, 30, 2, "2", ""),
			rules:   []string{RuleOneOwner},
		},
		"run ended by a kill of its server": {
			records: recordList{}.run("a", 1, 10, 0, 1, "1", "").run("b", 1, 19, 30, 2, "2", ""),
			killed:  map[string]time.Time{"a": time.Unix(0, 15)},
		},
		"run ended by its deadline":            {records: late},
		"frozen run abandoned, fences checked": {records: frozen, fenced: true},
		"frozen run abandoned, no fences":      {records: frozen, rules: []string{RuleOneOwner}},
		"frozen run completed":                 {records: finished, fenced: true, rules: []string{RuleOneOwner}},
		"epoch decreases": {
			records: recordList{}.run("a", 1, 10, 20, 2, "1", "").run("b", 1, 30, 40, 1, "2", ""),
			rules:   []string{RuleEpochOrder},
		},
		"non-idempotent request ran twice": {
			records: recordList{}.run("a", 1, 10, 20, 1, "1", "x").run("b", 1, 30, 40, 2, "2", "x"),
			rules:   []string{RuleAtMostOnce},
		},
		"refused as not run, but ran": {
			records:  recordList{}.run("a", 1, 10, 20, 1, "1", ""),
			attempts: []Attempt{{ID: "1", Class: NotRun}, {ID: "2", Class: NotRun}},
			rules:    []string{RuleNotRun},
		},
		"wrong answer":                  {attempts: []Attempt{{ID: "1", Class: Wrong}}, rules: []string{RuleCompleteAnswer}},
		"refusal without a result code": {attempts: []Attempt{{ID: "1", Class: NoResultCode}}, rules: []string{RuleResultCode}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got := CheckHistory(History{Records: c.records, Attempts: c.attempts, KilledAt: c.killed,
				CollectedAt: time.Unix(0, 100), ChecksFence: c.fenced})
			if len(got) != len(c.rules) {
				t.Fatalf("got %+v, want %v", got, c.rules)
			}
			for i, v := range got {
				if v.Rule != c.rules[i] {
					t.Fatalf("got %+v, want %v", got, c.rules)
				}
			}
		})
	}
}

func TestKeyGaps(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	ok := func(key string, sent, ended int) Attempt {
		return Attempt{Key: key, Class: Answered, Sent: at(sent), Ended: at(ended)}
	}
	attempts := []Attempt{
		ok("a", 0, 10), ok("a", 100, 110), {Key: "a", Class: NotRun, Sent: at(200), Ended: at(210)}, ok("a", 250, 900), ok("a", 920, 930),
		ok("b", 0, 10), ok("b", 90, 100), ok("b", 190, 200),
		{Key: "c", Class: NotRun, Sent: at(0), Ended: at(10)},
	}
	got := KeyGaps(attempts, at(105), at(1000))
	want := map[string]time.Duration{
		"a": 790 * time.Millisecond,
		// "b" is never served again; its gap lasts until the end of the window.
		"b": 800 * time.Millisecond,
		"c": 895 * time.Millisecond,
	}
	for key, w := range want {
		if got[key].Longest != w {
			t.Errorf("key %s: longest gap %v, want %v", key, got[key].Longest, w)
		}
	}
	if first := got["a"].UntilFirstAnswer; first != 5*time.Millisecond {
		t.Errorf("key a: first answer %v after the fault, want 5ms", first)
	}
}

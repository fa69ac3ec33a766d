package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"fulmarhinge/internal/cluster"
)

// forceBudget is the time in which an accepted change is to be in force on
// every node that serves.
const forceBudget = 4 * time.Second

// Times between two looks while a command waits: at the nodes that lag, and at
// the list of members, which costs the platform a call.
const (
	forcePoll      = 50 * time.Millisecond
	membersRefresh = time.Second
)

// forceResult says where a revision is in force.
type forceResult struct {
	Everywhere bool `json:"everywhere"`
	// Nodes is how many nodes have it in force.
	Nodes int `json:"nodes"`
	// WaitedMs is the time since the change was accepted, in milliseconds.
	WaitedMs     int64 `json:"waited_ms"`
	BudgetMs     int64 `json:"budget_ms"`
	WithinBudget bool  `json:"within_budget"`
	// Lagging are the nodes that lack it.
	Lagging     []laggingNode `json:"lagging"`
	NotAnswered []silentNode  `json:"not_answered"`
}

// awaitInForce waits until every member that is not gone has the revision in
// force. Members that join or are evicted meanwhile count as they then are.
func (a *app) awaitInForce(ctx context.Context, revision uint64, wait time.Duration) (forceResult, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	// A revision that is in force never goes back, so these need no second look.
	done := map[cluster.MemberRef]bool{}
	ticker := time.NewTicker(forcePoll)
	defer ticker.Stop()
	last := forceResult{}
	var members []cluster.Member
	var listed time.Time
	var err error
	for {
		if time.Since(listed) >= membersRefresh {
			members, err = a.members(ctx, false)
			listed = time.Now()
		}
		if err == nil {
			look := a.lookForRevision(ctx, members, revision, done)
			look.took(time.Since(start))
			if look.Everywhere {
				return look, nil
			}
			// A look that the end of the wait cut short says of nodes that
			// they do not answer though nobody waited for them.
			if ctx.Err() == nil || len(last.Lagging)+len(last.NotAnswered) == 0 {
				last = look
			}
		}
		select {
		case <-ctx.Done():
			last.took(time.Since(start))
			return last, timeoutError.New("revision %d is not in force everywhere after %s: %s", revision, wait, last.reason(err))
		case <-ticker.C:
		}
	}
}

// lookForRevision asks the members that are not done yet.
func (a *app) lookForRevision(ctx context.Context, members []cluster.Member, revision uint64, done map[cluster.MemberRef]bool) forceResult {
	var open []cluster.Member
	for _, m := range members {
		if !done[m.MemberRef] {
			open = append(open, m)
		}
	}
	r := forceResult{Lagging: []laggingNode{}, NotAnswered: []silentNode{}}
	for _, answer := range a.client().StatusAll(ctx, open) {
		s := answer.Value
		switch {
		case answer.Err != nil:
			r.NotAnswered = append(r.NotAnswered, silent(answer.Member, answer.Err))
		case s.RevisionInForce < revision:
			r.Lagging = append(r.Lagging, laggingNode{answer.Member.Name, s.RevisionInForce, s.Reason})
		default:
			done[answer.Member.MemberRef] = true
		}
	}
	lacking := len(r.Lagging) + len(r.NotAnswered)
	r.Nodes = len(members) - lacking
	r.Everywhere = lacking == 0
	return r
}

// took sets the time that the wait has lasted.
func (r *forceResult) took(d time.Duration) {
	r.WaitedMs = d.Milliseconds()
	r.BudgetMs = forceBudget.Milliseconds()
	r.WithinBudget = r.Everywhere && d <= forceBudget
}

// reason names what the wait still lacked.
func (r *forceResult) reason(membersErr error) string {
	var parts []string
	for _, n := range r.Lagging {
		parts = append(parts, fmt.Sprintf("%s has revision %d", n.Name, n.RevisionInForce))
	}
	for _, n := range r.NotAnswered {
		parts = append(parts, n.Name+" does not answer")
	}
	if membersErr != nil {
		parts = append(parts, "the members can't be listed: "+membersErr.Error())
	}
	return strings.Join(parts, ", ")
}

// notes adds the result to a table.
func (r *forceResult) notes(t *table) {
	if r.Everywhere {
		verdict := "within"
		if !r.WithinBudget {
			verdict = "over"
		}
		t.note("in force on all %d nodes after %dms, %s the %s allowed", r.Nodes, r.WaitedMs, verdict, forceBudget)
		return
	}
	t.note("in force on %d nodes after %dms", r.Nodes, r.WaitedMs)
	for _, n := range r.Lagging {
		t.note("%s lags: revision %d is in force there: %s", n.Name, n.RevisionInForce, n.Reason)
	}
	noteSilent(t, r.NotAnswered)
}

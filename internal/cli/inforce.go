package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"fulmarhinge/internal/cluster"
)

// inForceBudget is the time within which an accepted change must be in force on
// every serving node.
const inForceBudget = 4 * time.Second

// Polling intervals of --wait. Listing the members is less frequent because it
// costs a platform call.
const (
	inForcePollInterval = 50 * time.Millisecond
	memberListInterval  = time.Second
)

// inForceResult reports where a revision is in force.
type inForceResult struct {
	Everywhere bool `json:"everywhere"`
	// NodesInForce is the number of nodes that have the revision in force.
	NodesInForce int `json:"nodes"`
	// WaitedMs is the time since the change was accepted, in milliseconds.
	WaitedMs     int64 `json:"waited_ms"`
	BudgetMs     int64 `json:"budget_ms"`
	WithinBudget bool  `json:"within_budget"`
	// Lagging are the nodes that have an older revision in force.
	Lagging     []laggingNode      `json:"lagging"`
	NotAnswered []unresponsiveNode `json:"not_answered"`
}

// waitInForce waits until every member that is not gone has the revision in
// force. It lists the members repeatedly, so that members which join or are
// evicted meanwhile are taken into account.
func (a *app) waitInForce(ctx context.Context, revision uint64, wait time.Duration) (inForceResult, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	// The revision in force of a node never decreases, so confirmed nodes are
	// not asked again.
	confirmed := map[cluster.MemberRef]bool{}
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	lastResult := inForceResult{}
	var members []cluster.Member
	var listedAt time.Time
	var err error
	for {
		if time.Since(listedAt) >= memberListInterval {
			members, err = a.members(ctx, false)
			listedAt = time.Now()
		}
		if err == nil {
			result := a.checkRevision(ctx, members, revision, confirmed)
			result.setElapsed(time.Since(start))
			if result.Everywhere {
				return result, nil
			}
			// A check that the end of the wait interrupted reports nodes as
			// unresponsive although they had no time to answer, so an earlier
			// result is kept.
			if ctx.Err() == nil || len(lastResult.Lagging)+len(lastResult.NotAnswered) == 0 {
				lastResult = result
			}
		}
		select {
		case <-ctx.Done():
			lastResult.setElapsed(time.Since(start))
			return lastResult, timeoutError.New("revision %d is not in force everywhere after %s: %s", revision, wait, lastResult.missingText(err))
		case <-ticker.C:
		}
	}
}

// checkRevision asks the members that are not confirmed yet, and adds those
// that have the revision in force to confirmed.
func (a *app) checkRevision(ctx context.Context, members []cluster.Member, revision uint64, confirmed map[cluster.MemberRef]bool) inForceResult {
	var unconfirmed []cluster.Member
	for _, m := range members {
		if !confirmed[m.MemberRef] {
			unconfirmed = append(unconfirmed, m)
		}
	}
	r := inForceResult{Lagging: []laggingNode{}, NotAnswered: []unresponsiveNode{}}
	for _, answer := range a.client().StatusAll(ctx, unconfirmed) {
		s := answer.Value
		switch {
		case answer.Err != nil:
			r.NotAnswered = append(r.NotAnswered, newUnresponsiveNode(answer.Member, answer.Err))
		case s.RevisionInForce < revision:
			r.Lagging = append(r.Lagging, laggingNode{answer.Member.Name, s.RevisionInForce, s.Reason})
		default:
			confirmed[answer.Member.MemberRef] = true
		}
	}
	missing := len(r.Lagging) + len(r.NotAnswered)
	r.NodesInForce = len(members) - missing
	r.Everywhere = missing == 0
	return r
}

// setElapsed sets the duration of the wait and whether it is within the budget.
func (r *inForceResult) setElapsed(d time.Duration) {
	r.WaitedMs = d.Milliseconds()
	r.BudgetMs = inForceBudget.Milliseconds()
	r.WithinBudget = r.Everywhere && d <= inForceBudget
}

// missingText describes the nodes on which the revision is not in force.
func (r *inForceResult) missingText(membersErr error) string {
	var parts []string
	for _, n := range r.Lagging {
		parts = append(parts, fmt.Sprintf("%s has revision %d", n.Name, n.RevisionInForce))
	}
	for _, n := range r.NotAnswered {
		parts = append(parts, n.Name+" does not answer")
	}
	if membersErr != nil {
		parts = append(parts, "cannot list the members: "+membersErr.Error())
	}
	return strings.Join(parts, ", ")
}

// addNotes adds the result to the notes of a table.
func (r *inForceResult) addNotes(t *table) {
	if r.Everywhere {
		verdict := "within"
		if !r.WithinBudget {
			verdict = "over"
		}
		t.addNote("in force on all %d nodes after %dms, %s the %s allowed", r.NodesInForce, r.WaitedMs, verdict, inForceBudget)
		return
	}
	t.addNote("in force on %d nodes after %dms", r.NodesInForce, r.WaitedMs)
	for _, n := range r.Lagging {
		t.addNote("%s lags: revision %d is in force there: %s", n.Name, n.RevisionInForce, n.Reason)
	}
	addUnresponsiveNotes(t, r.NotAnswered)
}

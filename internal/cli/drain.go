package cli

import (
	"context"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/operator"
	"fulmarhinge/internal/platform"
)

// defaultMemberWait is how long drain and evict wait for the member to be gone.
const defaultMemberWait = time.Minute

// pollInterval is the time between two checks whether the member is gone.
const pollInterval = 200 * time.Millisecond

// memberResult is the JSON output of drain and evict.
type memberResult struct {
	Member cluster.MemberRef   `json:"member"`
	State  cluster.MemberState `json:"state"`
}

func newDrainCmd(a *app) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "drain NODE",
		Short: "Stop a node without cutting off requests in flight",
		Long: `Start the planned stop of a node: it accepts no new work, hands over what it
owns, completes what is in flight and exits. The command returns once the
platform records that the node has left. --wait 0s returns once the stop has
begun.`,
		Example: `  fulmarhinge drain desk-3 --platform http://10.1.9.1:9000
  fulmarhinge drain desk-3 --node 10.1.9.2:7002`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.drain(cmd.Context(), args[0], wait)
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", defaultMemberWait, "how long to wait until the node has left")
	return cmd
}

func (a *app) drain(ctx context.Context, name string, wait time.Duration) error {
	if len(a.nodes) > 0 {
		return a.drainThroughNodes(ctx, name, wait)
	}
	store, err := a.store()
	if err != nil {
		return err
	}
	m, err := operator.Member(ctx, store, name)
	if err != nil {
		return err
	}
	if m.State.Gone() {
		return a.printMember(m)
	}
	if err := a.client().Drain(ctx, m.OperatorAddr); err != nil {
		return err
	}
	return a.waitGone(ctx, store, m, wait)
}

// drainThroughNodes drains a member that the nodes of --node know. It waits
// until the member's process no longer answers or another incarnation answers
// at its address.
func (a *app) drainThroughNodes(ctx context.Context, name string, wait time.Duration) error {
	members, err := a.membersFromNodes(ctx)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(members, func(m cluster.Member) bool { return m.Name == name })
	if i < 0 {
		return operator.ErrNoMember.New("%s", name)
	}
	m := members[i]
	if err := a.client().Drain(ctx, m.OperatorAddr); err != nil {
		return err
	}
	m.State = cluster.StateDraining
	return a.pollUntilGone(ctx, m, wait, func(ctx context.Context) (cluster.Member, bool) {
		current := m
		current.State = cluster.StateLeft
		status, err := a.client().Status(ctx, m.OperatorAddr)
		return current, operator.ErrUnreachable.Has(err) && ctx.Err() == nil || err == nil && status.Incarnation != m.Incarnation
	})
}

// waitGone waits until the platform records that this incarnation is gone.
func (a *app) waitGone(ctx context.Context, store platform.Store, m cluster.Member, wait time.Duration) error {
	return a.pollUntilGone(ctx, m, wait, func(ctx context.Context) (cluster.Member, bool) {
		current, err := operator.Member(ctx, store, m.Name)
		return current, err == nil && (current.State.Gone() || current.Incarnation != m.Incarnation)
	})
}

// pollUntilGone polls gone until it returns true or the wait is over, and
// prints the member that it returned. If wait is 0, it prints m immediately.
func (a *app) pollUntilGone(ctx context.Context, m cluster.Member, wait time.Duration, gone func(context.Context) (cluster.Member, bool)) error {
	if wait == 0 {
		return a.printMember(m)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if current, ok := gone(ctx); ok {
			return a.printMember(current)
		}
		select {
		case <-ctx.Done():
			return timeoutError.New("%s is not gone after %s; its state is %s", m.MemberRef, wait, m.State)
		case <-ticker.C:
		}
	}
}

func (a *app) printMember(m cluster.Member) error {
	t := &table{}
	t.addNote("%s: %s", m.MemberRef, m.State)
	return a.print(memberResult{Member: m.MemberRef, State: m.State}, t)
}

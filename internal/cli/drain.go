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

// defaultWait is how long a command waits for what it ordered.
const defaultWait = time.Minute

// pollInterval is the time between two looks at what was ordered.
const pollInterval = 200 * time.Millisecond

// orderResult is the JSON form of an order's outcome.
type orderResult struct {
	Member cluster.MemberRef   `json:"member"`
	State  cluster.MemberState `json:"state"`
}

func newDrainCmd(a *app) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "drain NODE",
		Short: "Stop a node as planned, cutting no request in flight",
		Long: `Stop a node as planned: it takes no new work, hands over what it owns,
finishes what is in flight and exits. The command returns once the platform
records that the node has left. --wait 0s returns once the stop has begun.`,
		Example: `  fulmarhinge drain desk-3 --platform http://10.1.9.1:9000
  fulmarhinge drain desk-3 --node 10.1.9.2:7002`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.drain(cmd.Context(), args[0], wait)
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", defaultWait, "how long to wait for the node to have left")
	return cmd
}

func (a *app) drain(ctx context.Context, name string, wait time.Duration) error {
	if len(a.nodes) > 0 {
		return a.drainSeenByNode(ctx, name, wait)
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
		return a.printOrder(m)
	}
	if err := a.client().Drain(ctx, m.OperatorAddr); err != nil {
		return err
	}
	return a.awaitGone(ctx, store, m, wait)
}

// drainSeenByNode drains a member that the nodes of --node know, and waits until
// its process has ended or another one answers in its place.
func (a *app) drainSeenByNode(ctx context.Context, name string, wait time.Duration) error {
	members, err := a.membersSeenByNode(ctx)
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
	return a.await(ctx, m, wait, func(ctx context.Context) (cluster.Member, bool) {
		now := m
		now.State = cluster.StateLeft
		status, err := a.client().Status(ctx, m.OperatorAddr)
		return now, operator.ErrUnreachable.Has(err) && ctx.Err() == nil || err == nil && status.Incarnation != m.Incarnation
	})
}

// awaitGone waits until the platform records that this incarnation is gone.
func (a *app) awaitGone(ctx context.Context, store platform.Store, m cluster.Member, wait time.Duration) error {
	return a.await(ctx, m, wait, func(ctx context.Context) (cluster.Member, bool) {
		now, err := operator.Member(ctx, store, m.Name)
		return now, err == nil && (now.State.Gone() || now.Incarnation != m.Incarnation)
	})
}

// await prints the member once it is gone; it asks until the wait is over.
func (a *app) await(ctx context.Context, m cluster.Member, wait time.Duration, gone func(context.Context) (cluster.Member, bool)) error {
	if wait == 0 {
		return a.printOrder(m)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if now, ok := gone(ctx); ok {
			return a.printOrder(now)
		}
		select {
		case <-ctx.Done():
			return timeoutError.New("%s is not gone after %s; its state is %s", m.MemberRef, wait, m.State)
		case <-ticker.C:
		}
	}
}

func (a *app) printOrder(m cluster.Member) error {
	t := &table{}
	t.note("%s: %s", m.MemberRef, m.State)
	return a.print(orderResult{Member: m.MemberRef, State: m.State}, t)
}

package cli

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/operator"
)

func newEvictCmd(a *app) *cobra.Command {
	var force bool
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "evict NODE",
		Short: "Take a lost node's keys away from it",
		Long: `Take a lost node's keys away from it, so that others serve them.

Without --force the node's witnesses vote, and refuse while its lease may hold.
Lost nodes are evicted in this way without an order.

With --force no witness is asked. Use it only if you have made sure that the
node's process has ended: if it runs, two servers may serve one key until its
lease lapses, and a backend server that checks no fence may do work twice.`,
		Example: `  fulmarhinge evict desk-3 --platform http://10.1.9.1:9000
  fulmarhinge evict desk-3 --force --platform http://10.1.9.1:9000`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			order := operator.EvictOrder{Member: args[0], Force: force}
			return a.evict(cmd.Context(), order, wait)
		},
	}
	cmd.Flags().BoolVar(&force, "force", false, "evict without the witnesses' votes")
	cmd.Flags().DurationVar(&wait, "wait", defaultWait, "how long to wait for the node to be evicted")
	return cmd
}

func (a *app) evict(ctx context.Context, order operator.EvictOrder, wait time.Duration) error {
	store, err := a.store()
	if err != nil {
		return err
	}
	m, err := operator.Member(ctx, store, order.Member)
	if err != nil {
		return err
	}
	if m.State.Gone() {
		return a.printOrder(m)
	}
	members, err := a.members(ctx, false)
	if err != nil {
		return err
	}
	if err := a.orderEviction(ctx, members, order); err != nil {
		return err
	}
	return a.awaitGone(ctx, store, m, wait)
}

// orderEviction gives the order to the first other node that answers. Giving
// it to a second one after a lost answer does no harm: both make one update.
func (a *app) orderEviction(ctx context.Context, members []cluster.Member, order operator.EvictOrder) error {
	last := error(operator.ErrUnreachable.New("no other node is known"))
	for _, m := range members {
		if m.Name == order.Member {
			continue
		}
		last = a.client().Evict(ctx, m.OperatorAddr, order)
		if !operator.ErrUnreachable.Has(last) {
			return last
		}
	}
	return last
}

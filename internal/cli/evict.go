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
		Short: "Reassign the keys of a lost node",
		Long: `Evict a lost node, so that other nodes take over its keys.

Without --force the node's witnesses vote, and refuse while its lease may be
valid. Lost nodes are also evicted in this way automatically.

With --force no witness is asked. Use it only if you have made sure that the
node's process has ended: if it runs, two servers may serve one key until its
lease expires, and a backend server that checks no fence may do work twice.`,
		Example: `  fulmarhinge evict desk-3 --platform http://10.1.9.1:9000
  fulmarhinge evict desk-3 --force --platform http://10.1.9.1:9000`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			request := operator.EvictRequest{Member: args[0], Force: force}
			return a.evict(cmd.Context(), request, wait)
		},
	}
	cmd.Flags().BoolVar(&force, "force", false, "evict without a vote of the witnesses")
	cmd.Flags().DurationVar(&wait, "wait", defaultMemberWait, "how long to wait until the node is evicted")
	return cmd
}

func (a *app) evict(ctx context.Context, request operator.EvictRequest, wait time.Duration) error {
	store, err := a.store()
	if err != nil {
		return err
	}
	m, err := operator.Member(ctx, store, request.Member)
	if err != nil {
		return err
	}
	if m.State.Gone() {
		return a.printMember(m)
	}
	members, err := a.members(ctx, false)
	if err != nil {
		return err
	}
	if err := a.requestEviction(ctx, members, request); err != nil {
		return err
	}
	return a.waitGone(ctx, store, m, wait)
}

// requestEviction sends the request to the first other node that answers.
// Sending it to a second node after a lost answer is safe: both make the same
// update.
func (a *app) requestEviction(ctx context.Context, members []cluster.Member, request operator.EvictRequest) error {
	lastErr := error(operator.ErrUnreachable.New("no other node is known"))
	for _, m := range members {
		if m.Name == request.Member {
			continue
		}
		lastErr = a.client().Evict(ctx, m.OperatorAddr, request)
		if !operator.ErrUnreachable.Has(lastErr) {
			return lastErr
		}
	}
	return lastErr
}

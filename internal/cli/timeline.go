package cli

import (
	"context"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/operator"
	"fulmarhinge/internal/timeline"
)

// timeOfDay is how the table shows a moment, in UTC.
const timeOfDay = "15:04:05.000"

// fleetTimeline is the JSON form of the merged time line.
type fleetTimeline struct {
	Events      []timeline.Event `json:"events"`
	NotAnswered []silentNode     `json:"not_answered"`
}

func newTimelineCmd(a *app) *cobra.Command {
	var filter timeline.Filter
	var shard int
	var since time.Duration
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Show the events of all nodes in one order",
		Long: `Show the events of all nodes in one order.

A key also selects the events of its shard; a key or a shard also selects what
happened to the nodes that owned it. Nodes that did not answer are named: what
only they saw is missing.`,
		Example: `  fulmarhinge timeline --platform http://10.1.9.1:9000 --service painel --key shop-17
  fulmarhinge timeline --node 127.0.0.1:7002 --vm desk-3 --output json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if cmd.Flags().Changed("shard") {
				filter.Shard = &shard
			}
			if since > 0 {
				filter.After = time.Now().Add(-since)
			}
			return a.timeline(cmd.Context(), filter)
		},
	}
	f := cmd.Flags()
	f.StringVar(&filter.Service, "service", "", "events of this service's keys")
	f.StringVar(&filter.Key, "key", "", "events of this key, of its shard and of its owners")
	f.IntVar(&shard, "shard", 0, "events of this shard and of its owners")
	f.StringVar(&filter.VM, "vm", "", "events that this node saw, or that are about it")
	f.StringVar(&filter.Customer, "customer", "", "events of this customer")
	f.DurationVar(&since, "since", 0, "events of the last so long, such as 10m; all that are kept if 0s")
	return cmd
}

func (a *app) timeline(ctx context.Context, filter timeline.Filter) error {
	members, err := a.members(ctx, false)
	if err != nil {
		return err
	}
	line := a.collectEvents(ctx, members, filter)
	if err := a.print(line, timelineTable(line)); err != nil {
		return err
	}
	if len(members) > 0 && len(line.NotAnswered) == len(members) {
		return operator.ErrUnreachable.New("none of %d nodes answered", len(members))
	}
	return nil
}

// collectEvents asks all nodes for what the filter picks. For a unit they are
// asked again for what happened to its owners: a node that saw an owner's
// eviction need not have seen that the unit was the owner's.
func (a *app) collectEvents(ctx context.Context, members []cluster.Member, filter timeline.Filter) fleetTimeline {
	filter.ShardCounts = map[string]int{}
	line, events := mergeAnswers(a.client().EventsAll(ctx, members, filter), filter.ShardCounts)
	names := map[string]bool{}
	for owner := range filter.Owners(events) {
		names[owner.Name] = true
	}
	for _, name := range sortedNames(names) {
		about := timeline.Filter{VM: name, After: filter.After}
		_, more := mergeAnswers(a.client().EventsAll(ctx, members, about), filter.ShardCounts)
		events = timeline.Merge([][]timeline.Event{events, more})
	}
	line.Events = filter.Select(events)
	return line
}

// mergeAnswers merges the events of all nodes, notes the numbers of shards and
// names the nodes that did not answer.
func mergeAnswers(answers []operator.Answer[operator.EventList], shards map[string]int) (fleetTimeline, []timeline.Event) {
	line := fleetTimeline{NotAnswered: []silentNode{}}
	lists := make([][]timeline.Event, 0, len(answers))
	for _, answer := range answers {
		if answer.Err != nil {
			line.NotAnswered = append(line.NotAnswered, silent(answer.Member, answer.Err))
			continue
		}
		lists = append(lists, answer.Value.Events)
		for service, n := range answer.Value.Shards {
			shards[service] = n
		}
	}
	return line, timeline.Merge(lists)
}

func timelineTable(line fleetTimeline) *table {
	t := &table{head: []string{"TIME", "NODE", "KIND", "UNIT", "EPOCH", "MEMBER", "EVENT"}}
	for _, e := range line.Events {
		unit, epoch, member := "-", "-", "-"
		if e.Unit != nil {
			unit = e.Unit.String()
		}
		if e.Epoch != 0 {
			epoch = strconv.FormatUint(e.Epoch, 10)
		}
		if e.Member != nil {
			member = e.Member.String()
		}
		t.row(e.Stamp.Time().UTC().Format(timeOfDay), e.Node.String(), string(e.Kind), unit, epoch, member, e.Text)
	}
	noteSilent(t, line.NotAnswered)
	return t
}

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

// timeOfDayFormat is the format of times in the table, in UTC.
const timeOfDayFormat = "15:04:05.000"

// fleetTimeline is the JSON output of "timeline".
type fleetTimeline struct {
	Events      []timeline.Event   `json:"events"`
	NotAnswered []unresponsiveNode `json:"not_answered"`
}

func newTimelineCmd(a *app) *cobra.Command {
	var filter timeline.Filter
	var shard int
	var since time.Duration
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Show the merged events of all nodes in order of time",
		Long: `Show the merged events of all nodes in order of time.

A key also selects the events of its shard; a key or a shard also selects the
events of the nodes that owned it. Nodes that did not answer are listed: events
that only they recorded are missing.`,
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
	f.StringVar(&filter.VM, "vm", "", "events recorded by this node, and events about it")
	f.StringVar(&filter.Customer, "customer", "", "events of this customer")
	f.DurationVar(&since, "since", 0, "only events of this most recent period, such as 10m; 0s selects all kept events")
	return cmd
}

func (a *app) timeline(ctx context.Context, filter timeline.Filter) error {
	members, err := a.members(ctx, false)
	if err != nil {
		return err
	}
	merged := a.collectEvents(ctx, members, filter)
	if err := a.print(merged, timelineTable(merged)); err != nil {
		return err
	}
	if len(members) > 0 && len(merged.NotAnswered) == len(members) {
		return operator.ErrUnreachable.New("none of %d nodes answered", len(members))
	}
	return nil
}

// collectEvents requests the events that match the filter from all nodes. For a
// unit it then requests the events about its owners: a node that recorded the
// eviction of an owner may not know that the unit belonged to it.
func (a *app) collectEvents(ctx context.Context, members []cluster.Member, filter timeline.Filter) fleetTimeline {
	filter.ShardCounts = map[string]int{}
	merged, events := mergeAnswers(a.client().EventsAll(ctx, members, filter), filter.ShardCounts)
	names := map[string]bool{}
	for owner := range filter.Owners(events) {
		names[owner.Name] = true
	}
	for _, name := range sortedNames(names) {
		ownerFilter := timeline.Filter{VM: name, After: filter.After}
		_, ownerEvents := mergeAnswers(a.client().EventsAll(ctx, members, ownerFilter), filter.ShardCounts)
		events = timeline.Merge([][]timeline.Event{events, ownerEvents})
	}
	merged.Events = filter.Select(events)
	return merged
}

// mergeAnswers merges the events of all nodes, adds the numbers of shards to
// shards and lists the nodes that did not answer.
func mergeAnswers(answers []operator.Answer[operator.EventList], shards map[string]int) (fleetTimeline, []timeline.Event) {
	merged := fleetTimeline{NotAnswered: []unresponsiveNode{}}
	lists := make([][]timeline.Event, 0, len(answers))
	for _, answer := range answers {
		if answer.Err != nil {
			merged.NotAnswered = append(merged.NotAnswered, newUnresponsiveNode(answer.Member, answer.Err))
			continue
		}
		lists = append(lists, answer.Value.Events)
		for service, n := range answer.Value.Shards {
			shards[service] = n
		}
	}
	return merged, timeline.Merge(lists)
}

func timelineTable(merged fleetTimeline) *table {
	t := &table{header: []string{"TIME", "NODE", "KIND", "UNIT", "EPOCH", "MEMBER", "EVENT"}}
	for _, e := range merged.Events {
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
		t.addRow(e.Stamp.Time().UTC().Format(timeOfDayFormat), e.Node.String(), string(e.Kind), unit, epoch, member, e.Text)
	}
	addUnresponsiveNotes(t, merged.NotAnswered)
	return t
}

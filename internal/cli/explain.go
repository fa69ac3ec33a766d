package cli

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/explain"
)

func newExplainCmd(a *app) *cobra.Command {
	var query explain.Query
	cmd := &cobra.Command{
		Use:   "explain METHOD HOST/PATH",
		Short: "Show where a request would go from a node, and why, without sending it",
		Long: `Show where a request would go from the node of --node at this moment, and why. The
node must be a "fulmarhinge sidecar". Nothing is sent.

For a service that is divided by keys, the row of the key and its owner are shown;
for others the candidates with the predicted time until the response. Requests
that the entry would refuse are shown with the result code and the Retry-After.
What the gate of the chosen server would decide is not part of it.`,
		Example: `  fulmarhinge explain GET billing.example/bills/17 --node 10.1.0.35:9464 --deadline 2s
  fulmarhinge explain POST desk.example/balance --key 4711 --node 10.1.0.35:9464 --output json`,
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var found bool
			var path string
			query.Method = args[0]
			query.Host, path, found = strings.Cut(strings.TrimPrefix(strings.TrimPrefix(args[1], "http://"), "https://"), "/")
			query.Path = "/" + path
			switch {
			case !found || query.Host == "":
				return usageError.New("%q: expected HOST/PATH, such as billing.example/bills/17", args[1])
			case cmd.Flags().Changed("deadline") && query.Remaining < time.Millisecond:
				return usageError.New("--deadline: got %s; expected at least 1ms", query.Remaining)
			case len(a.nodes) != 1:
				return usageError.New("expected one --node ADDRESS")
			}
			return a.explain(cmd.Context(), query)
		},
	}
	f := cmd.Flags()
	f.StringVar(&query.Key, "key", "", "key of the request, for a service that is divided by keys")
	f.DurationVar(&query.Remaining, "deadline", 0, "time that the caller has left, such as 2s; without it the request names none")
	return cmd
}

func (a *app) explain(ctx context.Context, query explain.Query) error {
	e, err := a.client().Explain(ctx, a.nodes[0], query)
	if err != nil {
		return err
	}
	return a.print(e, explainTable(e))
}

func explainTable(e explain.Explanation) *table {
	t := &table{}
	document := e.Document
	if document == "" {
		document = "none"
	}
	t.addNote("at %s in zone %s, configuration %d, document %s", e.Node, e.Zone, e.Config, document)
	if e.Route != "" {
		t.addNote("route %s: priority %d, target %s, deadline %s", e.Route, e.Priority, targetText(e.TargetMs), durationText(e.DeadlineMs))
	}
	if e.Refusal != nil {
		t.addNote("%s", refusalText(e.Refusal))
	}
	for _, s := range e.Services {
		addServiceNotes(t, s)
		if len(s.Candidates) == 0 {
			continue
		}
		if t.header == nil {
			t.header = []string{"SERVICE", "NODE", "ZONE", "PREDICTED", "LATE", "COLD", "LIMIT", "WAIT", "LOAD", "REPORT", "IN FLIGHT", "STATE"}
		}
		for _, c := range s.Candidates {
			t.addRow(candidateCells(s, c)...)
		}
	}
	return t
}

// addServiceNotes describes where the requests of one service go.
func addServiceNotes(t *table, s explain.Service) {
	name := "service " + s.Service
	if s.Share < 1 {
		name += fmt.Sprintf(" (%.0f%% of the requests)", 100*s.Share)
	}
	if r := s.Row; r != nil {
		owner := "no owner"
		if r.Owner != "" {
			owner = "owner " + r.Owner + " in zone " + r.OwnerZone
			if r.ZoneEvacuated {
				owner += ", which is evacuated"
			}
		}
		moves := "does not move"
		if r.Next != "" {
			moves = "moves to " + r.Next
		}
		t.addNote("%s: row %d-%d, epoch %d, %s; %s", name, r.From, r.To, r.Epoch, owner, moves)
	}
	switch {
	case s.Refusal != nil:
		t.addNote("%s: %s", name, refusalText(s.Refusal))
	case s.Keyed:
		t.addNote("%s: goes to %s, the owner of the key", name, s.Chosen)
	default:
		t.addNote("%s: goes to %s in zone %s: %s; predicted %.1f ms", name, s.Chosen, s.ChosenZone, reasonText(s.Reason), s.PredictedMs)
	}
	if s.Omitted > 0 {
		t.addNote("%s: %d servers are not listed", name, s.Omitted)
	}
}

// reasonText explains a reason of explain.Service.
func reasonText(reason string) string {
	switch reason {
	case "stays":
		return "stays in the zone of the node"
	case "no-server":
		return "no server in the zone of the node"
	case "target":
		return "more likely to answer by the target, or the zone's own servers are avoided"
	case "gain":
		return "no server is likely to answer by the target, and this one answers much earlier"
	default:
		return reason
	}
}

func refusalText(r *explain.Refusal) string {
	text := fmt.Sprintf("refused with %d (%s), status %d", r.Code, r.Result, r.Status)
	if r.RetryAfterMs > 0 {
		text += ", retry after " + durationText(r.RetryAfterMs)
	}
	if r.Waits {
		text += "; waits for a change until its deadline first"
	}
	return text
}

func candidateCells(s explain.Service, c explain.Candidate) []string {
	if c.Excluded != "" {
		return []string{s.Service, c.Node, c.Zone, "-", "-", "-", "-", "-", "-", "-", "-", "excluded: " + c.Excluded}
	}
	limit, report := "-", "none"
	if rate := c.Rate; rate > 0 || c.Limit > 0 {
		if rate == 0 || c.Limit > 0 && c.Limit < rate {
			rate = c.Limit
		}
		limit = strconv.FormatFloat(rate, 'f', -1, 64) + "/s"
	}
	if c.ReportAgeMs >= 0 {
		report = durationText(c.ReportAgeMs)
	}
	cold := "no"
	if c.ColdMs > 0 {
		cold = durationText(c.ColdMs)
	}
	state := ""
	switch {
	case c.Node == s.Chosen:
		state = "chosen"
	case c.MayBeChosen && s.Chosen != "":
		state = "may be chosen"
	}
	if c.AvoidedMs > 0 {
		state = strings.TrimPrefix(state+", avoided for "+durationText(c.AvoidedMs)+" after a failure", ", ")
	}
	return []string{
		s.Service, c.Node, c.Zone, fmt.Sprintf("%.1f ms", c.PredictedMs), fmt.Sprintf("%.2f", c.LateShare), cold, limit,
		durationText(c.WaitMs), fmt.Sprintf("%d+%d/%d", c.Running, c.Waiting, c.Slots), report, strconv.Itoa(c.InFlight), state,
	}
}

func targetText(ms int64) string {
	if ms == 0 {
		return "none"
	}
	return durationText(ms)
}

func durationText(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

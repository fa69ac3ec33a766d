package cli

import (
	"context"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/operator"
	"fulmarhinge/internal/platform"
)

// silentNode is a member that did not answer.
type silentNode struct {
	Name  string `json:"name"`
	Addr  string `json:"operator_addr"`
	Error string `json:"error"`
}

// laggingNode is a node that does not apply the newest revision.
type laggingNode struct {
	Name            string `json:"name"`
	RevisionInForce uint64 `json:"revision_in_force"`
	Reason          string `json:"reason,omitempty"`
}

// fleetStatus is the JSON form of the status.
type fleetStatus struct {
	// Revision is the newest revision that is known: the accepted one or, if
	// the platform was not asked, the newest that any node knows of.
	Revision uint64 `json:"revision"`
	// Accepted is true if the platform says that Revision is accepted.
	Accepted    bool              `json:"accepted"`
	Nodes       []operator.Status `json:"nodes"`
	Lagging     []laggingNode     `json:"lagging"`
	NotAnswered []silentNode      `json:"not_answered"`
}

func newStatusCmd(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show every node, and which ones lag or do not answer",
		Example: `  fulmarhinge status --platform http://10.1.9.1:9000
  fulmarhinge status --node 127.0.0.1:7002 --output json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return a.status(cmd) },
	}
}

func (a *app) status(cmd *cobra.Command) error {
	members, err := a.members(cmd.Context(), false)
	if err != nil {
		return err
	}
	accepted, asked, err := a.acceptedRevision(cmd.Context())
	if err != nil {
		return err
	}
	fleet := summarize(a.client().StatusAll(cmd.Context(), members), accepted)
	fleet.Accepted = asked && fleet.Revision == accepted
	if err := a.print(fleet, statusTable(fleet)); err != nil {
		return err
	}
	if len(fleet.Nodes) == 0 && len(members) > 0 {
		return operator.ErrUnreachable.New("none of %d nodes answered", len(members))
	}
	return nil
}

// acceptedRevision reads the accepted revision from the platform, unless the
// nodes are to be found without it.
func (a *app) acceptedRevision(ctx context.Context) (revision uint64, asked bool, err error) {
	if len(a.nodes) > 0 {
		return 0, false, nil
	}
	store, err := a.store()
	if err != nil {
		return 0, false, err
	}
	o, err := store.Get(ctx, cluster.ConfigHeadKey)
	if platform.ErrNotFound.Has(err) {
		return 0, true, nil
	}
	if err != nil {
		return 0, false, err
	}
	head, err := config.DecodeHead(o.Value)
	return head.Revision, true, err
}

// summarize splits the answers into those that came and those that did not,
// and names the nodes that lag behind the accepted revision.
func summarize(answers []operator.Answer[operator.Status], accepted uint64) fleetStatus {
	fleet := fleetStatus{Revision: accepted, Nodes: []operator.Status{}, Lagging: []laggingNode{}, NotAnswered: []silentNode{}}
	for _, answer := range answers {
		if answer.Err != nil {
			fleet.NotAnswered = append(fleet.NotAnswered, silent(answer.Member, answer.Err))
			continue
		}
		fleet.Nodes = append(fleet.Nodes, answer.Value)
		fleet.Revision = max(fleet.Revision, answer.Value.RevisionKnown, answer.Value.RevisionInForce)
	}
	for _, n := range fleet.Nodes {
		if n.RevisionInForce < fleet.Revision {
			fleet.Lagging = append(fleet.Lagging, laggingNode{n.Name, n.RevisionInForce, n.Reason})
		}
	}
	return fleet
}

func silent(m cluster.Member, err error) silentNode {
	return silentNode{Name: m.Name, Addr: m.OperatorAddr, Error: err.Error()}
}

func statusTable(fleet fleetStatus) *table {
	t := &table{head: []string{"NODE", "ZONE", "STATE", "LEASE", "REVISION", "ADMITTING", "SERVING", "PENDING", "STOPPING", "IN FLIGHT", "BACKEND"}}
	for _, n := range fleet.Nodes {
		ref := cluster.MemberRef{Name: n.Name, Incarnation: n.Incarnation}
		t.row(ref.String(), n.Zone, string(n.State), leaseText(n.LeaseLeftMs), strconv.FormatUint(n.RevisionInForce, 10),
			yesNo(n.Admitting), strconv.Itoa(n.Owned.Serving), strconv.Itoa(n.Owned.Pending),
			strconv.Itoa(n.Owned.Stopping), strconv.Itoa(n.InFlight), backendText(n.Backend))
	}
	if fleet.Accepted {
		t.note("revision %d is accepted", fleet.Revision)
	} else {
		t.note("revision %d is the newest that any node knows of", fleet.Revision)
	}
	for _, n := range fleet.Lagging {
		t.note("%s lags: revision %d is in force there: %s", n.Name, n.RevisionInForce, n.Reason)
	}
	for _, n := range fleet.Nodes {
		if !n.Admitting {
			t.note("%s refuses new requests: %s", n.Name, n.Reason)
		}
	}
	noteSilent(t, fleet.NotAnswered)
	return t
}

func noteSilent(t *table, list []silentNode) {
	for _, s := range list {
		t.note("%s (%s) did not answer: %s", s.Name, s.Addr, s.Error)
	}
}

func leaseText(leftMs int64) string {
	if leftMs <= 0 {
		return "lapsed"
	}
	return fmt.Sprintf("%dms", leftMs)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func backendText(b *operator.Backend) string {
	switch {
	case b == nil:
		return "none"
	case !b.Ready:
		return b.Service + " (not ready)"
	}
	return b.Service
}

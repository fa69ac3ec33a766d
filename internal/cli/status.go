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

// unresponsiveNode is a member that did not answer.
type unresponsiveNode struct {
	Name  string `json:"name"`
	Addr  string `json:"operator_addr"`
	Error string `json:"error"`
}

// laggingNode is a node that does not apply the newest revision yet.
type laggingNode struct {
	Name            string `json:"name"`
	RevisionInForce uint64 `json:"revision_in_force"`
	Reason          string `json:"reason,omitempty"`
}

// fleetStatus is the JSON output of "status".
type fleetStatus struct {
	// Revision is the newest known revision: the accepted one or, if the
	// platform was not asked, the newest one that any node knows.
	Revision uint64 `json:"revision"`
	// Accepted is true if the platform confirms that Revision is accepted.
	Accepted    bool               `json:"accepted"`
	Nodes       []operator.Status  `json:"nodes"`
	Lagging     []laggingNode      `json:"lagging"`
	NotAnswered []unresponsiveNode `json:"not_answered"`
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
	accepted, platformAsked, err := a.acceptedRevision(cmd.Context())
	if err != nil {
		return err
	}
	fleet := summarize(a.client().StatusAll(cmd.Context(), members), accepted)
	fleet.Accepted = platformAsked && fleet.Revision == accepted
	if err := a.print(fleet, statusTable(fleet)); err != nil {
		return err
	}
	if len(fleet.Nodes) == 0 && len(members) > 0 {
		return operator.ErrUnreachable.New("none of %d nodes answered", len(members))
	}
	return nil
}

// acceptedRevision reads the accepted revision from the platform. With --node
// it does not ask the platform and returns platformAsked = false.
func (a *app) acceptedRevision(ctx context.Context) (revision uint64, platformAsked bool, err error) {
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

// summarize separates the nodes that answered from those that did not, and
// lists the nodes that lag behind the newest known revision.
func summarize(answers []operator.Answer[operator.Status], accepted uint64) fleetStatus {
	fleet := fleetStatus{Revision: accepted, Nodes: []operator.Status{}, Lagging: []laggingNode{}, NotAnswered: []unresponsiveNode{}}
	for _, answer := range answers {
		if answer.Err != nil {
			fleet.NotAnswered = append(fleet.NotAnswered, newUnresponsiveNode(answer.Member, answer.Err))
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

func newUnresponsiveNode(m cluster.Member, err error) unresponsiveNode {
	return unresponsiveNode{Name: m.Name, Addr: m.OperatorAddr, Error: err.Error()}
}

func statusTable(fleet fleetStatus) *table {
	t := &table{header: []string{"NODE", "ZONE", "STATE", "LEASE", "REVISION", "ADMITTING", "SERVING", "PENDING", "STOPPING", "IN FLIGHT", "BACKEND"}}
	for _, n := range fleet.Nodes {
		ref := cluster.MemberRef{Name: n.Name, Incarnation: n.Incarnation}
		t.addRow(ref.String(), n.Zone, string(n.State), leaseText(n.LeaseLeftMs), strconv.FormatUint(n.RevisionInForce, 10),
			yesNo(n.Admitting), strconv.Itoa(n.Owned.Serving), strconv.Itoa(n.Owned.Pending),
			strconv.Itoa(n.Owned.Stopping), strconv.Itoa(n.InFlight), backendText(n.Backend))
	}
	if fleet.Accepted {
		t.addNote("revision %d is accepted", fleet.Revision)
	} else {
		t.addNote("revision %d is the newest that any node knows", fleet.Revision)
	}
	for _, n := range fleet.Lagging {
		t.addNote("%s lags: revision %d is in force there: %s", n.Name, n.RevisionInForce, n.Reason)
	}
	for _, n := range fleet.Nodes {
		if !n.Admitting {
			t.addNote("%s refuses new requests: %s", n.Name, n.Reason)
		}
	}
	addEvacuationNotes(t, fleet.Nodes)
	addUnresponsiveNotes(t, fleet.NotAnswered)
	return t
}

func addUnresponsiveNotes(t *table, list []unresponsiveNode) {
	for _, s := range list {
		t.addNote("%s (%s) did not answer: %s", s.Name, s.Addr, s.Error)
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

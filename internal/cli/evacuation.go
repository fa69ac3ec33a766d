package cli

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/cobra"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/evacuation"
	fleetdoc "fulmarhinge/internal/fleet"
	"fulmarhinge/internal/operator"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/sidecar"
	users "fulmarhinge/platform"
)

// nodeZones are the zones that a node holds for evacuated.
type nodeZones struct {
	Name  string   `json:"name"`
	Zone  string   `json:"zone"`
	Zones []string `json:"evacuated_zones"`
}

// evacuationState is the JSON output of the evacuation commands.
type evacuationState struct {
	// Ordered are the zones that the store has an object for; absent if the store was not
	// asked.
	Ordered     []string           `json:"ordered,omitempty"`
	Nodes       []nodeZones        `json:"nodes"`
	NotAnswered []unresponsiveNode `json:"not_answered"`
}

func newEvacuationCmd(a *app) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "evacuation",
		Short: "Take zones out of service and back, on the users' platform",
		Long: `Evacuate zones of a fleet of "fulmarhinge sidecar": the backend servers of an
evacuated zone get no requests, and their keys move to other zones.

The store is named by --settings with the file of a sidecar, or by --platform
IP:port. The nodes are those of the fleet document, or those that --node leads to.`,
	}
	list := &cobra.Command{
		Use:   "list",
		Short: "Show which zones are evacuated, and which nodes follow",
		Example: `  fulmarhinge evacuation list --settings /etc/fulmarhinge/settings.json
  fulmarhinge evacuation list --node 10.1.0.35:9464`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return a.listEvacuations(cmd.Context()) },
	}
	cmd.AddCommand(list, newEvacuationChangeCmd(a, "start", "Evacuate a zone", true),
		newEvacuationChangeCmd(a, "end", "Take a zone back into service", false))
	return cmd
}

func newEvacuationChangeCmd(a *app, verb, short string, evacuated bool) *cobra.Command {
	var f changeFlags
	cmd := &cobra.Command{
		Use:   verb + " ZONE",
		Short: short,
		Example: fmt.Sprintf(`  fulmarhinge evacuation %s zone-a --settings /etc/fulmarhinge/settings.json --wait
  fulmarhinge evacuation %s zone-a --platform 10.1.9.1:9000`, verb, verb),
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.changeEvacuation(cmd.Context(), f, args[0], evacuated)
		},
	}
	f.register(cmd)
	cmd.Flags().Lookup("wait").Usage = "wait until all nodes that answer follow, at most this long; --wait=10s sets another time"
	return cmd
}

// usersStore returns a client of the users' store that the flags name, nil if they name
// none.
func (a *app) usersStore() (*users.Store, error) {
	address := ""
	switch {
	case len(a.platformURLs) > 0:
		address = strings.TrimSuffix(strings.TrimPrefix(a.platformURLs[0], "http://"), "/")
	case a.settingsFile != "":
		s, err := sidecar.LoadSettings(a.settingsFile)
		if err != nil {
			return nil, err
		}
		address = s.Platform.Address
	default:
		return nil, nil
	}
	return users.NewStore(address, hclog.NewNullLogger()), nil
}

func (a *app) listEvacuations(ctx context.Context) error {
	store, err := a.usersStore()
	if err != nil {
		return err
	}
	if store == nil && len(a.nodes) == 0 {
		return usageError.New("expected --settings FILE, --platform IP:port or --node ADDRESS")
	}
	state := evacuationState{}
	if store != nil {
		if state.Ordered, err = orderedZones(ctx, store); err != nil {
			return err
		}
	}
	members, err := a.usersMembers(ctx, store)
	if err != nil {
		return err
	}
	state.ask(ctx, a.client(), members)
	return a.print(state, state.table())
}

// orderedZones returns the zones that the store has an object for.
func orderedZones(ctx context.Context, store platform.Store) ([]string, error) {
	objects, err := store.List(ctx, users.EvacuationPrefix)
	if err != nil && !platform.ErrNotFound.Has(err) {
		return nil, err
	}
	zones := []string{}
	for _, o := range objects {
		zones = append(zones, strings.TrimPrefix(o.Key, users.EvacuationPrefix))
	}
	return evacuation.Normalize(zones), nil
}

// usersMembers returns the members of the fleet document, or those that --node leads to.
func (a *app) usersMembers(ctx context.Context, store *users.Store) ([]cluster.Member, error) {
	if len(a.nodes) > 0 {
		return a.membersFromNodes(ctx)
	}
	o, err := store.Get(ctx, fleetdoc.StoreKey(store.Era()))
	if platform.ErrNotFound.Has(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	doc, err := fleetdoc.Decode(o.Value)
	if err != nil {
		return nil, err
	}
	var out []cluster.Member
	for _, m := range doc.Members {
		if !m.Evicted {
			out = append(out, cluster.Member{MemberRef: m.MemberRef, Zone: m.Zone, OperatorAddr: m.OperatorAddr})
		}
	}
	slices.SortFunc(out, func(a, b cluster.Member) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// ask asks the members which zones they hold for evacuated.
func (s *evacuationState) ask(ctx context.Context, client *operator.Client, members []cluster.Member) {
	s.Nodes, s.NotAnswered = []nodeZones{}, []unresponsiveNode{}
	for _, answer := range client.StatusAll(ctx, members) {
		if answer.Err != nil {
			s.NotAnswered = append(s.NotAnswered, newUnresponsiveNode(answer.Member, answer.Err))
			continue
		}
		s.Nodes = append(s.Nodes, nodeZones{answer.Value.Name, answer.Value.Zone, answer.Value.EvacuatedZones})
	}
}

// following returns how many nodes hold a zone for evacuated.
func (s *evacuationState) following(zone string) int {
	n := 0
	for _, node := range s.Nodes {
		if slices.Contains(node.Zones, zone) {
			n++
		}
	}
	return n
}

func (s *evacuationState) table() *table {
	t := &table{header: []string{"ZONE", "ORDERED", "EVACUATED AT"}}
	zones := slices.Clone(s.Ordered)
	for _, n := range s.Nodes {
		zones = append(zones, n.Zones...)
	}
	for _, zone := range evacuation.Normalize(zones) {
		t.addRow(zone, yesNo(slices.Contains(s.Ordered, zone)), fmt.Sprintf("%d of %d nodes", s.following(zone), len(s.Nodes)))
	}
	if len(t.rows) == 0 {
		t.addNote("no zone is evacuated")
	}
	addUnresponsiveNotes(t, s.NotAnswered)
	return t
}

// changeEvacuation writes or removes the object of a zone. With --wait it also waits until
// all nodes that answer follow.
func (a *app) changeEvacuation(ctx context.Context, f changeFlags, zone string, evacuated bool) error {
	if zone == "" || url.PathEscape(zone) != zone {
		return usageError.New("%q is not the name of a zone", zone)
	}
	store, err := a.usersStore()
	if err != nil {
		return err
	}
	if store == nil {
		return usageError.New("expected --settings FILE or --platform IP:port")
	}
	if err := setEvacuation(ctx, store, f.timeout, zone, evacuated); err != nil {
		return err
	}
	if f.wait == 0 {
		t := &table{}
		t.addNote("the store has recorded it")
		return a.print(evacuationState{}, t)
	}
	state, err := a.waitEvacuation(ctx, store, f.wait, zone, evacuated)
	if printErr := a.print(state, state.table()); printErr != nil {
		return printErr
	}
	return err
}

// setEvacuation makes the store have the zone's object or not. It tries again after a
// call that failed or whose answer was lost, as the wanted state is the same.
func setEvacuation(ctx context.Context, store platform.Store, timeout time.Duration, zone string, evacuated bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	unknown, backoff := false, platform.DefaultBackoff()
	var earlier error
	for failures := 1; ; failures++ {
		err := trySetEvacuation(ctx, store, users.EvacuationPrefix+zone, evacuated)
		if err == nil {
			return nil
		}
		unknown = unknown || platform.ErrUnknown.Has(err)
		if ctx.Err() != nil && earlier != nil {
			// What the store answered says more than that the time is over.
			err = earlier
		}
		earlier = err
		if backoff.Sleep(ctx, failures) == nil {
			continue
		}
		if unknown && !platform.ErrUnknown.Has(err) {
			// An earlier call may have taken effect.
			return platform.ErrUnknown.New("%v", err)
		}
		return err
	}
}

func trySetEvacuation(ctx context.Context, store platform.Store, key string, evacuated bool) error {
	o, err := store.Get(ctx, key)
	switch {
	case platform.ErrNotFound.Has(err) && !evacuated, err == nil && evacuated:
		return nil
	case platform.ErrNotFound.Has(err):
		_, err = store.Put(ctx, key, 0, []byte("{}"))
		return err
	case err != nil:
		return err
	}
	if err := store.Delete(ctx, key, o.Version); !platform.ErrNotFound.Has(err) {
		return err
	}
	return nil
}

// waitEvacuation waits until all nodes that answer follow a change.
func (a *app) waitEvacuation(ctx context.Context, store *users.Store, wait time.Duration, zone string, evacuated bool) (evacuationState, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var state evacuationState
	var lastErr error
	for {
		members, err := a.usersMembers(ctx, store)
		if err == nil {
			var asked evacuationState
			asked.ask(ctx, a.client(), members)
			if ctx.Err() == nil {
				state = asked
			}
		}
		want := 0
		if evacuated {
			want = len(state.Nodes)
		}
		if err == nil && ctx.Err() == nil && len(state.Nodes) > 0 && state.following(zone) == want {
			return state, nil
		}
		if err != nil && ctx.Err() == nil {
			lastErr = err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			if len(state.Nodes) == 0 && lastErr != nil {
				return state, lastErr
			}
			return state, timeoutError.New("%d of %d nodes hold zone %s for evacuated", state.following(zone), len(state.Nodes), zone)
		}
	}
}

// addEvacuationNotes adds the zones under evacuation to the table of "status".
func addEvacuationNotes(t *table, nodes []operator.Status) {
	var state evacuationState
	var zones []string
	for _, n := range nodes {
		state.Nodes = append(state.Nodes, nodeZones{n.Name, n.Zone, n.EvacuatedZones})
		zones = append(zones, n.EvacuatedZones...)
	}
	for _, zone := range evacuation.Normalize(zones) {
		t.addNote("zone %s is evacuated at %d of %d nodes", zone, state.following(zone), len(nodes))
	}
}

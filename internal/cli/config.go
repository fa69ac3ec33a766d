package cli

import (
	"strconv"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/config"
	"fulmarhinge/internal/contract"
	"fulmarhinge/internal/platform"
)

// configCommands returns the commands that read and edit the configuration.
func configCommands(a *app) []*cobra.Command {
	return []*cobra.Command{newConfigCmd(a), newContractCmd(a), newRouteCmd(a), newServiceCmd(a)}
}

// configFile is a change of several items, each with the version that was
// edited.
type configFile struct {
	Services  []config.Item[config.Service]    `json:"services"`
	Routes    []config.Item[config.Route]      `json:"routes"`
	Contracts []config.Item[contract.Contract] `json:"contracts"`
}

// edit returns one edit that changes all items.
func (f *configFile) edit() config.Edit {
	var edits []config.Edit
	edits = appendSets(edits, config.Services, f.Services)
	edits = appendSets(edits, config.Routes, f.Routes)
	edits = appendSets(edits, config.Contracts, f.Contracts)
	return config.All(edits...)
}

// appendSets appends an edit for each item of a kind.
func appendSets[T any](edits []config.Edit, k config.Kind[T], items []config.Item[T]) []config.Edit {
	for _, i := range items {
		edits = append(edits, k.Set(i.Version, i.Value))
	}
	return edits
}

// recentChanges is the JSON output of "config changes".
type recentChanges struct {
	Revision uint64            `json:"revision"`
	Recent   []config.Accepted `json:"recent"`
}

// sweepResult is the JSON output of "config sweep".
type sweepResult struct {
	Removed int `json:"removed"`
}

// newConfigCmd returns the commands for the whole configuration.
func newConfigCmd(a *app) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Change several items as one revision, list changes and remove unused parts",
	}
	cmd.AddCommand(newConfigApplyCmd(a), newConfigChangesCmd(a), newConfigSweepCmd(a))
	return cmd
}

func newConfigApplyCmd(a *app) *cobra.Command {
	var path string
	var flags changeFlags
	cmd := &cobra.Command{
		Use:   "apply",
		Short: "Add or change several items as one revision",
		Long: `Add or change several items as one revision: each node applies all of them or
none. The file lists the items with the versions that were edited, 0 for new ones:

  {"services": [{"version": 0, "value": {"name": "arquivo"}}],
   "routes": [{"version": 0, "value": {"name": "arquivo", "path_prefix": "/arquivo/",
               "service": "arquivo", "customer_header": "Customer"}}],
   "contracts": []}`,
		Example: `  fulmarhinge config apply --file fleet.json --wait --platform http://10.1.9.1:9000`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			content, err := readFile(cmd, path)
			if err != nil {
				return err
			}
			var file configFile
			if err := decodeStrict(path, content, &file); err != nil {
				return err
			}
			return a.change(cmd.Context(), flags, file.edit())
		},
	}
	cmd.Flags().StringVar(&path, "file", "", `JSON file of the change, or "-" for the standard input`)
	flags.register(cmd)
	return cmd
}

func newConfigChangesCmd(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "changes",
		Short: "List the last accepted changes",
		Long: `List the last accepted changes, newest first. A change whose outcome was reported
as unknown was accepted if its change id is in this list.`,
		Example: `  fulmarhinge config changes --platform http://10.1.9.1:9000`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := a.loadConfig(cmd.Context())
			if err != nil {
				return err
			}
			t := &table{header: []string{"REVISION", "CHANGE"}}
			for _, c := range s.Head.Recent {
				t.addRow(strconv.FormatUint(c.Revision, 10), c.ChangeID)
			}
			return a.print(recentChanges{Revision: s.Config.Revision, Recent: s.Head.Recent}, t)
		},
	}
}

func newConfigSweepCmd(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "sweep",
		Short: "Remove stored parts that no revision uses",
		Long: `Remove stored parts of changes that were not accepted. They are harmless but
take space. The configuration in force does not change.`,
		Example: `  fulmarhinge config sweep --platform http://10.1.9.1:9000`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			store, err := a.store()
			if err != nil {
				return err
			}
			n, err := config.NewEditor(store).Sweep(cmd.Context())
			if err != nil && !platform.ErrNotFound.Has(err) {
				return err
			}
			t := &table{}
			t.addNote("removed %d parts", n)
			return a.print(sweepResult{Removed: n}, t)
		},
	}
}

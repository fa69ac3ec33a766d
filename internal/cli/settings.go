package cli

import (
	"errors"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/settings"
	"fulmarhinge/internal/sidecar"
)

// settingsCheck is the JSON output of "settings check".
type settingsCheck struct {
	OK       bool               `json:"ok"`
	Problems []settings.Problem `json:"problems"`
}

func newSettingsCmd(a *app) *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "Work with settings files"}
	forSidecar := false
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file without starting a node",
		Example: `  fulmarhinge settings check /etc/fulmarhinge/node.json
  fulmarhinge settings check --sidecar /etc/fulmarhinge/settings.json`,
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return a.checkSettings(args[0], forSidecar) },
	}
	check.Flags().BoolVar(&forSidecar, "sidecar", false, "the file is for \"fulmarhinge sidecar\"")
	cmd.AddCommand(check)
	return cmd
}

func (a *app) checkSettings(path string, forSidecar bool) error {
	var err error
	if forSidecar {
		_, err = sidecar.LoadSettings(path)
	} else {
		_, err = settings.Load(path)
	}
	var settingsErr *settings.Error
	if err != nil && !errors.As(err, &settingsErr) {
		return err
	}
	result := settingsCheck{OK: settingsErr == nil, Problems: []settings.Problem{}}
	t := &table{}
	if settingsErr != nil {
		result.Problems = settingsErr.Problems
		for _, p := range settingsErr.Problems {
			t.addRow(p.Path, p.Message)
		}
	} else {
		t.addNote("%s: ok", path)
	}
	if err := a.print(result, t); err != nil {
		return err
	}
	if settingsErr != nil {
		return settingsCheckError.New("%s: number of problems: %d", path, len(settingsErr.Problems))
	}
	return nil
}

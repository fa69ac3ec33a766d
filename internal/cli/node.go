package cli

import (
	"github.com/spf13/cobra"

	"fulmarhinge/internal/logging"
	"fulmarhinge/internal/settings"
	"fulmarhinge/internal/version"
)

func newNodeCmd(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "node --settings FILE",
		Short: "Run the node beside a backend server",
		Long: `Run the node beside a backend server until a signal stops it.

SIGTERM and SIGINT begin a planned stop: the node hands over what it owns,
completes what is in flight and exits. A second signal ends it immediately.`,
		Example: `  fulmarhinge node --settings /etc/fulmarhinge/node.json`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if a.settingsFile == "" {
				return usageError.New("expected --settings FILE")
			}
			s, err := settings.Load(a.settingsFile)
			if err != nil {
				return err
			}
			log := logging.New(logging.Options{Level: s.Log.Level, JSON: s.Log.JSON, Output: a.errOut})
			log.Info("node starts", "name", s.Name, "fleet", s.Fleet, "zone", s.Zone, "version", version.String())
			return runNode(cmd.Context(), s, log)
		},
	}
}

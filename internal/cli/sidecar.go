package cli

import (
	"github.com/spf13/cobra"

	"fulmarhinge/internal/logging"
	"fulmarhinge/internal/sidecar"
	"fulmarhinge/internal/version"
	"fulmarhinge/platform"
)

func newSidecarCmd(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "sidecar [--settings FILE]",
		Short: "Run the node beside a backend server that enforces its own lease",
		Long: `Run the node beside a backend server on the users' platform until a signal
stops it. The settings file is named by --settings or by ` + platform.SettingsVariable + `.

SIGTERM and SIGINT begin a planned stop: the node stops being ready immediately,
answers the requests in flight and exits.`,
		Example: `  fulmarhinge sidecar --settings /etc/fulmarhinge/settings.json`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			path := a.settingsFile
			if path == "" {
				path = platform.SettingsPath()
			}
			if path == "" {
				return usageError.New("expected --settings FILE or %s", platform.SettingsVariable)
			}
			s, err := sidecar.LoadSettings(path)
			if err != nil {
				return err
			}
			out := logging.NewAsync(a.out)
			defer out.Close()
			options := logging.Options{Level: s.Log.LevelName(), JSON: true, Output: out}
			log := logging.New(options)
			log.Info("node starts", "name", s.Name, "version", version.String(), "settings", path)
			return sidecar.Run(cmd.Context(), path, s, platform.Adapter(s, log), log, logging.NewUnlimited(options))
		},
	}
}

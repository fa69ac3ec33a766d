package cli

import (
	"strconv"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/version"
	"fulmarhinge/internal/wire"
)

// versionInfo is the JSON output of "version".
type versionInfo struct {
	Version string `json:"version"`
	// Protocol is the version of the protocol between nodes.
	Protocol int `json:"protocol"`
}

func newVersionCmd(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this build",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			info := versionInfo{Version: version.String(), Protocol: wire.ProtocolVersion}
			t := &table{}
			t.addRow("version", info.Version)
			t.addRow("protocol", strconv.Itoa(info.Protocol))
			return a.print(info, t)
		},
	}
}

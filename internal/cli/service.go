package cli

import (
	"strconv"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/config"
)

// newServiceCmd returns the commands that read and edit services.
func newServiceCmd(a *app) *cobra.Command {
	return newItemCmd(a, itemView[config.Service]{
		kind: config.Services,
		long: `Read and edit services. The number of shards of a service that is divided by
key is fixed when it is added. Set checks_fence only if every backend server of
the service refuses requests with an outdated epoch.

A file for "set" and "diff" looks like this:

  {"name": "painel", "divided_by_key": true, "shards": 112, "checks_fence": false}`,
		header: []string{"SERVICE", "VERSION", "DIVIDED BY KEY", "SHARDS", "CHECKS FENCE"},
		rowCells: func(s config.Service) []string {
			return []string{yesNo(s.DividedByKey), strconv.Itoa(s.Shards), yesNo(s.ChecksFence)}
		},
	})
}

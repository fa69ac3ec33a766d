package cli

import (
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/config"
	"fulmarhinge/internal/contract"
)

// newContractCmd returns the commands that read and edit contracts.
func newContractCmd(a *app) *cobra.Command {
	return newItemCmd(a, itemView[contract.Contract]{
		kind: config.Contracts,
		long: `Read and edit contracts. A contract sets one customer's request rate, burst,
waiting requests and time for a request, in total and by service; the fleet
derives all its limits from it. Services without limits of their own share the
total.

A file for "set" and "diff" looks like this:

  {"customer": "padaria-1",
   "total": {"requests_per_second": 100, "burst": 20, "max_waiting": 10, "max_time": "2s"},
   "services": {"painel": {"requests_per_second": 50, "burst": 10, "max_waiting": 5, "max_time": "1s"}}}`,
		header:   []string{"CUSTOMER", "VERSION", "REQUESTS/S", "BURST", "WAITING", "MAX TIME", "SERVICES"},
		rowCells: contractRow,
	})
}

// contractRow returns the table cells that follow name and version.
func contractRow(c contract.Contract) []string {
	t := c.Total
	return []string{
		strconv.FormatFloat(t.Rate, 'f', -1, 64),
		strconv.Itoa(t.Burst),
		strconv.Itoa(t.MaxWaiting),
		t.MaxTime.D().String(),
		strings.Join(sortedNames(c.Services), ","),
	}
}

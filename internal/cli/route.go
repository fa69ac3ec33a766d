package cli

import (
	"strconv"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/config"
)

// newRouteCmd returns the commands that read and edit routes.
func newRouteCmd(a *app) *cobra.Command {
	return newItemCmd(a, itemView[config.Route]{
		kind: config.Routes,
		long: `Read and edit routes. A route says which requests belong to a service, which
header names the customer, and which path segment, counted from 1, is the key.

A file for "set" and "diff" looks like this:

  {"name": "painel", "path_prefix": "/painel/", "service": "painel",
   "customer_header": "Customer", "key_segment": 2}`,
		header: []string{"ROUTE", "VERSION", "HOST", "PREFIX", "SERVICE", "CUSTOMER HEADER", "KEY SEGMENT"},
		rowCells: func(r config.Route) []string {
			return []string{orDash(r.Host), r.PathPrefix, r.Service, r.CustomerHeader, strconv.Itoa(r.KeySegment)}
		},
	})
}

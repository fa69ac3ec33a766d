// Command fulmarhinge runs a node of a fleet and provides the operators'
// commands for a fleet.
package main

import (
	"os"

	"fulmarhinge/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }

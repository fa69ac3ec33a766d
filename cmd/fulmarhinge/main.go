// Command fulmarhinge runs one node of a fleet, or talks to a fleet for an
// operator.
package main

import (
	"os"

	"fulmarhinge/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }

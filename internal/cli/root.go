// Package cli implements the command line: it runs a node, and lets operators
// query and control the nodes and the platform of a fleet.
package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/node"
	"fulmarhinge/internal/result"
)

// runNode runs a node until ctx is done and its planned stop has ended. Tests
// replace it.
var runNode = node.Run

// Main runs one command and returns its exit code. The first SIGTERM or SIGINT
// cancels the command's context; a second one ends the process.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop)
	return int(run(ctx, args, out, errOut))
}

// run executes one command line.
func run(ctx context.Context, args []string, out, errOut io.Writer) result.ExitCode {
	a := &app{out: out, errOut: errOut}
	root := newRootCmd(a)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return result.ExitOK
	}
	fmt.Fprintln(errOut, "fulmarhinge:", err)
	if !a.commandStarted {
		// No command ran: cobra rejected the command line.
		fmt.Fprintln(errOut, `see "fulmarhinge --help"`)
		return result.ExitUsage
	}
	return exitCode(err)
}

func newRootCmd(a *app) *cobra.Command {
	root := &cobra.Command{
		Use:   "fulmarhinge",
		Short: "Router for servers that own keys exclusively",
		Long: `Fulmarhinge routes each request to the one backend server that owns its key.

One node runs beside each backend server. The other commands query and control
the nodes of a fleet. They find the nodes through the platform (--platform, or
--settings with a node's file), or, while the platform is down, through the
operator address of any one node (--node).`,
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if err := a.checkFlags(); err != nil {
				return err
			}
			a.commandStarted = true
			return nil
		},
	}
	a.addFlags(root.PersistentFlags())
	root.AddCommand(
		newNodeCmd(a),
		newSidecarCmd(a),
		newSettingsCmd(a),
		newStatusCmd(a),
		newTimelineCmd(a),
		newExplainCmd(a),
		newDrainCmd(a),
		newEvictCmd(a),
		newEvacuationCmd(a),
		newVersionCmd(a),
	)
	root.AddCommand(configCommands(a)...)
	return root
}

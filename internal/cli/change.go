package cli

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/config"
)

// Default times of a change.
const (
	// defaultChangeTimeout bounds the time to make a change and, if an answer
	// was lost, to find out whether the change was accepted.
	defaultChangeTimeout = 30 * time.Second
	// defaultInForceWait is the value of --wait without an argument.
	defaultInForceWait = "30s"
)

// changeFlags are the flags of each command that changes the configuration.
type changeFlags struct {
	timeout time.Duration
	wait    time.Duration
}

// register adds the flags to a command.
func (f *changeFlags) register(cmd *cobra.Command) {
	cmd.Flags().DurationVar(&f.timeout, "timeout", defaultChangeTimeout, "maximum time to make the change and, if an answer was lost, to find out whether it was accepted")
	cmd.Flags().DurationVar(&f.wait, "wait", 0, "wait until the change is in force on every node, at most this long; --wait=10s sets another time")
	cmd.Flags().Lookup("wait").NoOptDefVal = defaultInForceWait
}

// changeResult is the JSON form of an accepted change.
type changeResult struct {
	config.Accepted
	// InForce is set if the command waited.
	InForce *inForceResult `json:"in_force,omitempty"`
}

// loadConfig reads the current configuration.
func (a *app) loadConfig(ctx context.Context) (config.Snapshot, error) {
	store, err := a.store()
	if err != nil {
		return config.Snapshot{}, err
	}
	return config.NewEditor(store).Load(ctx)
}

// change makes an edit and prints the revision that was accepted. With --wait
// it also waits until the revision is in force.
func (a *app) change(ctx context.Context, f changeFlags, edit config.Edit) error {
	store, err := a.store()
	if err != nil {
		return err
	}
	accepted, err := applyWithTimeout(ctx, f.timeout, config.NewEditor(store), edit)
	if err != nil {
		return err
	}
	result := changeResult{Accepted: accepted}
	t := &table{}
	t.addNote("accepted as revision %d, change %s", accepted.Revision, accepted.ChangeID)
	if f.wait == 0 {
		return a.print(result, t)
	}
	inForce, err := a.waitInForce(ctx, accepted.Revision, f.wait)
	result.InForce = &inForce
	inForce.addNotes(t)
	if printErr := a.print(result, t); printErr != nil {
		return printErr
	}
	return err
}

// applyWithTimeout makes an edit within the timeout.
func applyWithTimeout(ctx context.Context, timeout time.Duration, e *config.Editor, edit config.Edit) (config.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return e.Apply(ctx, config.AnyRevision, edit)
}

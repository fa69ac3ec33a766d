package cli

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"fulmarhinge/internal/config"
)

// Default times of a change.
const (
	// defaultChangeTimeout bounds the time to make a change and to settle a
	// lost answer.
	defaultChangeTimeout = 30 * time.Second
	// defaultForceWait is how long --wait waits.
	defaultForceWait = "30s"
)

// changeFlags are the flags of each command that changes the configuration.
type changeFlags struct {
	timeout time.Duration
	wait    time.Duration
}

// add adds the flags to a command.
func (f *changeFlags) add(cmd *cobra.Command) {
	cmd.Flags().DurationVar(&f.timeout, "timeout", defaultChangeTimeout, "longest time to make the change and to settle a lost answer")
	cmd.Flags().DurationVar(&f.wait, "wait", 0, "wait until the change is in force on every node, at most so long; write --wait=10s for another time")
	cmd.Flags().Lookup("wait").NoOptDefVal = defaultForceWait
}

// changeResult is the JSON form of an accepted change.
type changeResult struct {
	config.Accepted
	// InForce is there if the command waited.
	InForce *forceResult `json:"in_force,omitempty"`
}

// load reads the present configuration.
func (a *app) load(ctx context.Context) (config.Snapshot, error) {
	store, err := a.store()
	if err != nil {
		return config.Snapshot{}, err
	}
	return config.NewEditor(store).Load(ctx)
}

// change makes an edit, prints the revision that it was accepted as, and waits
// if the flags say so.
func (a *app) change(ctx context.Context, f changeFlags, edit config.Edit) error {
	store, err := a.store()
	if err != nil {
		return err
	}
	accepted, err := applyWithin(ctx, f.timeout, config.NewEditor(store), edit)
	if err != nil {
		return err
	}
	out := changeResult{Accepted: accepted}
	t := &table{}
	t.note("accepted as revision %d, change %s", accepted.Revision, accepted.ChangeID)
	if f.wait == 0 {
		return a.print(out, t)
	}
	force, err := a.awaitInForce(ctx, accepted.Revision, f.wait)
	out.InForce = &force
	force.notes(t)
	if printErr := a.print(out, t); printErr != nil {
		return printErr
	}
	return err
}

// applyWithin makes an edit within a time.
func applyWithin(ctx context.Context, timeout time.Duration, e *config.Editor, edit config.Edit) (config.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return e.Apply(ctx, config.AnyRevision, edit)
}

package cli

import (
	"context"
	"errors"

	"github.com/zeebo/errs"

	"fulmarhinge/internal/config"
	"fulmarhinge/internal/operator"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/settings"
)

// Error classes of the commands.
var (
	// usageError says that the command line is wrong.
	usageError = errs.Class("usage")
	// faultyFile says that a settings file was checked and has faults.
	faultyFile = errs.Class("settings check")
	// timeoutError says that a condition did not hold in time.
	timeoutError = errs.Class("timed out")
)

// exitCodes maps the classes of errors to exit codes.
var exitCodes = []struct {
	class *errs.Class
	code  result.ExitCode
}{
	{&usageError, result.ExitUsage},
	{&faultyFile, result.ExitBadSettings},
	{&timeoutError, result.ExitTimeout},
	{&config.ErrConflict, result.ExitConflict},
	{&config.ErrInvalid, result.ExitInvalid},
	{&config.ErrUnknown, result.ExitUnknown},
	{&platform.ErrConflict, result.ExitConflict},
	{&platform.ErrUnknown, result.ExitUnknown},
	{&platform.ErrUnavailable, result.ExitUnreachable},
	{&operator.ErrUnreachable, result.ExitUnreachable},
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) result.ExitCode {
	for _, e := range exitCodes {
		if e.class.Has(err) {
			return e.code
		}
	}
	var bad *settings.Error
	if errors.As(err, &bad) {
		return result.ExitBadSettings
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return result.ExitTimeout
	}
	return result.ExitFailure
}

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
	// usageError is a wrong command line.
	usageError = errs.Class("usage")
	// settingsCheckError is a settings file that failed its check.
	settingsCheckError = errs.Class("settings check")
	// timeoutError is a condition that was not met in time.
	timeoutError = errs.Class("timed out")
)

// exitCodes maps error classes to exit codes.
var exitCodes = []struct {
	class *errs.Class
	code  result.ExitCode
}{
	{&usageError, result.ExitUsage},
	{&settingsCheckError, result.ExitBadSettings},
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
	var settingsErr *settings.Error
	if errors.As(err, &settingsErr) {
		return result.ExitBadSettings
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return result.ExitTimeout
	}
	return result.ExitFailure
}

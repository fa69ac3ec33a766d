package result

// ExitCode is an exit code of the command line.
type ExitCode int

// The exit codes.
const (
	ExitOK          ExitCode = 0
	ExitFailure     ExitCode = 1
	ExitUsage       ExitCode = 2
	ExitBadSettings ExitCode = 3
	ExitConflict    ExitCode = 4
	ExitInvalid     ExitCode = 5
	ExitUnknown     ExitCode = 6
	ExitUnreachable ExitCode = 7
	ExitTimeout     ExitCode = 8
)

// ExitInfo describes one exit code.
type ExitInfo struct {
	Code    ExitCode
	Name    string
	Meaning string
}

// ExitTable lists every exit code in ascending order.
var ExitTable = []ExitInfo{
	{ExitOK, "ok", "The command did all that was asked."},
	{ExitFailure, "failure", "The command failed for a reason that no other code names."},
	{ExitUsage, "usage", "The command line is wrong."},
	{ExitBadSettings, "bad settings", "The settings file is wrong; the message names the field."},
	{ExitConflict, "conflict", "Another change came first; the message names both versions."},
	{ExitInvalid, "invalid change", "The change was checked and not accepted."},
	{ExitUnknown, "outcome unknown", "The change may have taken effect; read the present state."},
	{ExitUnreachable, "unreachable", "The node or the platform cannot be reached."},
	{ExitTimeout, "timed out", "The wait ended before the condition held."},
}

package header

// Range of the statuses of final responses.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// IsFinalStatus reports whether a status is that of a final response. Others must not
// reach a caller: they say nothing of the request.
func IsFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }

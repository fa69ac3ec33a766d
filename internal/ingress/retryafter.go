package ingress

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

// mayReturn reports whether a refusal tells the caller when to come back: the request has
// not run and will not run later.
func mayReturn(info result.Info) bool {
	return info.Kind == result.NotRun && info.Status >= http.StatusInternalServerError
}

// retryAfter returns the Retry-After value in seconds: when the gate expects capacity,
// within what callers honour.
func (q *request) retryAfter(h *wire.ResponseHead) string {
	decimals := 3
	if result.Code(h.GetCode()) == result.Quarantined {
		decimals = 0
	}
	return strconv.FormatFloat(q.retryDelay(h, rand.Float64()).Seconds(), 'f', decimals, 64)
}

// retryDelay returns the time after which the caller of a refused request may come back.
// spread is in [0, 1).
func (q *request) retryDelay(h *wire.ResponseHead, spread float64) time.Duration {
	after := time.Duration(h.GetRetryAfterMs()) * time.Millisecond
	if result.Code(h.GetCode()) == result.Quarantined {
		// It is refused as well if it comes again sooner.
		return max(after, minRetryAfter)
	}
	deadline := q.deadline
	if q.callerDeadline.After(deadline) {
		deadline = q.callerDeadline
	}
	return boundRetryAfter(after, time.Until(deadline), spread)
}

// boundRetryAfter limits the time that a caller is told to wait to a third of what it has
// left, as callers do not honour more. Callers whose time is limited would all return at
// the same age, so each is given a part of the last quarter of its bound, by spread, which
// is in [0, 1). A wider spread cost parallel calls of one parent more in plays: they succeed or
// fail together when they return together.
func boundRetryAfter(after, left time.Duration, spread float64) time.Duration {
	after = max(after, minRetryAfter)
	if bound := left / retryAfterDivisor; left > 0 && after > bound {
		after = time.Duration(float64(bound) * (1 - spread/4))
	}
	return after
}

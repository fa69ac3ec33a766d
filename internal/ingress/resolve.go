package ingress

import (
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/route"
)

// admit returns the configuration for a new request, or the code with which all requests
// are refused.
func (s *Server) admit() (*route.Config, result.Code) {
	cfg := s.config.Load()
	switch {
	case cfg == nil:
		return nil, result.NotAdmitting
	case s.refusing.Load():
		return nil, result.Draining
	}
	return cfg, result.OK
}

// matchRoute sets the request's route. It returns the code of the refusal if there is none.
func (q *request) matchRoute(cfg *route.Config) result.Code {
	if !utf8.ValidString(q.id) || !utf8.ValidString(q.http.RequestURI) {
		// Neither can stand in a message between nodes.
		return result.BadRequest
	}
	path, _, _ := strings.Cut(q.http.RequestURI, "?")
	if q.route = cfg.Match(q.http.Host, path); q.route == nil {
		return result.NoRoute
	}
	return result.OK
}

// selectService sets the request's service, and its key if the service is divided by keys.
func (q *request) selectService(cfg *route.Config, name string) result.Code {
	q.service = name
	svc, ok := cfg.Services[name]
	if !ok {
		return result.NoService
	}
	if svc.Keyed {
		q.key = q.http.Header.Get(q.server.cfg.Headers.Key)
		if n, err := strconv.Atoi(q.key); err != nil || n < 0 || n > fleet.MaxKey {
			return result.MissingKey
		}
	}
	return result.OK
}

// statedRemaining returns the time that the caller says it has left, 0 if it does not.
func (q *request) statedRemaining() time.Duration {
	ms, err := strconv.ParseInt(q.http.Header.Get(q.server.cfg.Headers.Deadline), 10, 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// setDeadline sets the request's deadline from the caller's remaining time, the route's
// timeout and a planned stop. It returns the code of the refusal if the stop is too close.
func (q *request) setDeadline(remaining time.Duration) result.Code {
	q.deadline = q.received.Add(defaultTimeout)
	if remaining > 0 {
		q.deadline = q.received.Add(remaining - callerMargin)
		q.callerDeadline = q.deadline
	}
	if t := q.route.Timeout; t > 0 && q.received.Add(t).Before(q.deadline) {
		q.deadline = q.received.Add(t)
	}
	var accepted bool
	if q.deadline, accepted = q.server.stop.Load().Bound(q.received, q.deadline); !accepted {
		return result.Draining
	}
	return result.OK
}

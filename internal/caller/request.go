package caller

import (
	"net/http"
	"strconv"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/config"
	"fulmarhinge/internal/header"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/view"
	"fulmarhinge/internal/wire"
)

// request is a parsed request of a caller.
type request struct {
	id       string
	service  config.Service
	customer string
	key      string
	// timeout bounds the total time that the request may take.
	timeout time.Duration
	// maxWaiting is how many requests of the customer may wait on this node.
	maxWaiting int
	// idempotent is true if the method may run twice without a further effect.
	idempotent  bool
	httpRequest *http.Request
	body        *replayBody
	headers     []*wire.Header
}

// idempotentMethods are the methods that may run more than once without a
// further effect.
var idempotentMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true,
	http.MethodPut: true, http.MethodDelete: true,
}

// parse finds the service, customer and key of a request, and checks its
// limits.
func (s *Server) parse(v *view.View, r *http.Request) (*request, *result.Error) {
	if refusal := s.validate(r); refusal != nil {
		return nil, refusal
	}
	route := s.routesFor(v.Config).match(r.Host, r.URL.Path)
	if route == nil {
		return nil, result.Errorf(result.NoRoute, "No route matches host %q and path %q.", r.Host, truncate(r.URL.Path))
	}
	svc, ok := v.Config.Services[route.Service]
	if !ok {
		return nil, result.Errorf(result.NoService, "Route %s names service %s, which is not configured.", route.Name, route.Service)
	}
	req := &request{service: svc, httpRequest: r, idempotent: idempotentMethods[r.Method]}
	req.customer = r.Header.Get(route.CustomerHeader)
	if req.customer == "" {
		return nil, result.Errorf(result.MissingCustomer, "The header %s, which names the customer, is missing.", route.CustomerHeader)
	}
	customerContract, ok := v.Config.Contracts[req.customer]
	if !ok {
		return nil, result.Errorf(result.UnknownCustomer, "No contract exists for customer %q.", truncate(req.customer))
	}
	if svc.DividedByKey {
		req.key = pathSegment(r, route.KeySegment)
		if req.key == "" {
			return nil, result.Errorf(result.MissingKey, "Segment %d of the path, which is the key, is missing.", route.KeySegment)
		}
	}
	req.timeout = customerContract.MaxTime(svc.Name)
	req.maxWaiting = customerContract.Total.MaxWaiting
	if terms, ok := customerContract.Services[svc.Name]; ok {
		req.maxWaiting = min(req.maxWaiting, terms.MaxWaiting)
	}
	return req, req.applyTimeoutHeader(r)
}

// applyTimeoutHeader lowers the request's timeout to the one that the caller
// asks for.
func (req *request) applyTimeoutHeader(r *http.Request) *result.Error {
	text := r.Header.Get(header.RequestTimeoutMs)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return result.Errorf(result.BadRequest, "The header %s must be a number of milliseconds above 0.", header.RequestTimeoutMs)
	}
	req.timeout = min(req.timeout, time.Duration(ms)*time.Millisecond)
	return nil
}

// validate refuses requests that are too large or can't be forwarded.
func (s *Server) validate(r *http.Request) *result.Error {
	size := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	switch {
	case size > s.cfg.Limits.MaxHeaderBytes:
		return result.Errorf(result.HeaderTooLarge, "The header has %d bytes, the limit is %d.", size, s.cfg.Limits.MaxHeaderBytes)
	case r.ContentLength > s.cfg.Limits.MaxBodyBytes:
		return result.Errorf(result.BodyTooLarge, "The body has %d bytes, the limit is %d.", r.ContentLength, s.cfg.Limits.MaxBodyBytes)
	case r.URL.Path == "" || r.URL.Path[0] != '/':
		return result.Errorf(result.BadRequest, "The request target must be a path.")
	case r.Method == http.MethodConnect:
		return result.Errorf(result.BadRequest, "The method CONNECT is not supported.")
	default:
		return nil
	}
}

// maxQuotedBytes bounds how much of a request's text an error message quotes.
const maxQuotedBytes = 80

func truncate(s string) string {
	if len(s) > maxQuotedBytes {
		return s[:maxQuotedBytes] + "..."
	}
	return s
}

// hasIdempotencyKey reports whether the owner's gate recognises a repetition of
// the request by its idempotency key, so that sending it again after a broken
// stream returns the response of the first run and never causes a second run.
func (req *request) hasIdempotencyKey() bool {
	return req.service.DividedByKey && req.httpRequest.Header.Get(header.IdempotencyKey) != ""
}

// wireHead returns the request head that is sent to a gate.
func (req *request) wireHead(v *view.View, unit cluster.Unit, timeLeft time.Duration) *wire.RequestHead {
	shard := int32(-1)
	if req.service.DividedByKey {
		shard = int32(unit.Shard)
	}
	return &wire.RequestHead{
		Id: req.id, Method: req.httpRequest.Method, Path: req.httpRequest.URL.RequestURI(), Headers: req.headers,
		Service: req.service.Name, Customer: req.customer, Key: req.key, Shard: shard,
		IdempotencyKey: req.httpRequest.Header.Get(header.IdempotencyKey),
		DeadlineMs:     uint64(max(timeLeft.Milliseconds(), 1)),
		ContentLength:  req.httpRequest.ContentLength, ConfigRevision: v.Config.Revision,
	}
}

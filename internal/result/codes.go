package result

import "net/http"

// The result codes. A code never changes its meaning, and the number of a code
// that is no longer used is not reused.
const (
	OK Code = 1000

	MissingCustomer      Code = 2001
	UnknownCustomer      Code = 2002
	MissingKey           Code = 2003
	NoRoute              Code = 2004
	NoService            Code = 2005
	BadRequest           Code = 2006
	HeaderTooLarge       Code = 2007
	BodyTooLarge         Code = 2008
	SlowSender           Code = 2009
	NoOwner              Code = 2101
	Moved                Code = 2102
	LeaseLapsed          Code = 2103
	BackendNotReady      Code = 2104
	BackendShed          Code = 2105
	StaleFence           Code = 2106
	BackendBusy          Code = 2107
	BackendUnreachable   Code = 2108
	Quarantined          Code = 2109
	ZoneEvacuated        Code = 2110
	OverContract         Code = 2201
	WaitingFull          Code = 2202
	DeadlineBefore       Code = 2203
	CancelledBefore      Code = 2204
	Draining             Code = 2301
	NotAdmitting         Code = 2302
	PeerUnreachable      Code = 2303
	PeerMalformed        Code = 2304
	MemoryExhausted      Code = 2320
	IdempotencyTableFull Code = 2401
	IdempotencyKeyBad    Code = 2402

	AnswerCut              Code = 3001
	DeadlineAfter          Code = 3002
	CancelledAfter         Code = 3003
	LeaseLapsedDuring      Code = 3004
	OwnerLost              Code = 3005
	RequestCut             Code = 3006
	IdempotencyKeyTooOld   Code = 3101
	IdempotencyAnswerLarge Code = 3102
	IdempotencyFirstFailed Code = 3103
)

// Info describes one code.
type Info struct {
	Code Code
	Name string
	Kind Kind
	// Status is the HTTP status of a response that the router itself generates.
	Status int
	// Retryable is true if the response carries Retry-After.
	Retryable bool
	// Meaning is one sentence for human readers.
	Meaning string
}

// Table lists every code in ascending order. docs/RESULT-CODES.md is generated from it.
var Table = []Info{
	{OK, "ok", Answered, http.StatusOK, false, "The backend server's whole answer follows; the status is its own."},

	{MissingCustomer, "missing customer", NotRun, http.StatusBadRequest, false, "The header that names the customer is absent or empty."},
	{UnknownCustomer, "unknown customer", NotRun, http.StatusForbidden, false, "No contract exists for the customer."},
	{MissingKey, "missing key", NotRun, http.StatusBadRequest, false, "The path lacks the segment that is the key."},
	{NoRoute, "no route", NotRun, http.StatusNotFound, false, "No route matches the host and path."},
	{NoService, "no service", NotRun, http.StatusNotFound, false, "The route names a service that the configuration does not have."},
	{BadRequest, "bad request", NotRun, http.StatusBadRequest, false, "The request is malformed."},
	{HeaderTooLarge, "header too large", NotRun, http.StatusRequestHeaderFieldsTooLarge, false, "The request header is larger than the limit."},
	{BodyTooLarge, "body too large", NotRun, http.StatusRequestEntityTooLarge, false, "The request body is larger than the limit."},
	{SlowSender, "slow sender", NotRun, http.StatusRequestTimeout, false, "The caller sent its request too slowly."},

	{NoOwner, "no owner yet", NotRun, http.StatusServiceUnavailable, true, "No backend server owns the key yet, or its owner does not serve it yet."},
	{Moved, "moved", NotRun, http.StatusServiceUnavailable, true, "The key is owned by another node."},
	{LeaseLapsed, "lease lapsed", NotRun, http.StatusServiceUnavailable, true, "The owner's lease does not hold, so it may not serve."},
	{BackendNotReady, "backend not ready", NotRun, http.StatusServiceUnavailable, true, "No backend server of the service is ready."},
	{BackendShed, "backend shed", NotRun, http.StatusServiceUnavailable, true, "The backend server refused the request because of its load."},
	{StaleFence, "stale fence", NotRun, http.StatusServiceUnavailable, true, "The backend server refused an outdated epoch or lease."},
	{BackendBusy, "backend busy", NotRun, http.StatusServiceUnavailable, true, "No slot of the backend server became free in time."},
	{BackendUnreachable, "backend unreachable", NotRun, http.StatusBadGateway, true, "No connection to the backend server could be made, or nothing was written to it."},
	{Quarantined, "quarantined", NotRun, http.StatusServiceUnavailable, true, "Several backend servers ended while they ran this request, so it is sent to none of them for now."},
	{ZoneEvacuated, "zone evacuated", NotRun, http.StatusServiceUnavailable, true, "The zone of the only backend servers that may serve the request is under evacuation."},

	{OverContract, "over contract", NotRun, http.StatusTooManyRequests, true, "The customer is above the load of its contract."},
	{WaitingFull, "waiting full", NotRun, http.StatusTooManyRequests, true, "As many requests of the customer wait as its contract allows."},
	{DeadlineBefore, "deadline before dispatch", NotRun, http.StatusGatewayTimeout, true, "The deadline passed before the request was sent to a backend server."},
	{CancelledBefore, "cancelled before dispatch", NotRun, http.StatusServiceUnavailable, false, "The caller left before the request was sent to a backend server."},

	{Draining, "draining", NotRun, http.StatusServiceUnavailable, true, "The node is stopping and could not forward the request."},
	{NotAdmitting, "not admitting", NotRun, http.StatusServiceUnavailable, true, "The node cannot apply the configuration that is in force."},
	{PeerUnreachable, "peer unreachable", NotRun, http.StatusServiceUnavailable, true, "The owner's node cannot be reached."},
	{PeerMalformed, "peer malformed", NotRun, http.StatusBadGateway, false, "A peer sent a request that cannot be read."},

	{MemoryExhausted, "memory exhausted", NotRun, http.StatusServiceUnavailable, true, "The node has no memory for the request's body."},

	{IdempotencyTableFull, "idempotency table full", NotRun, http.StatusServiceUnavailable, true, "The owner cannot remember another idempotency key."},
	{IdempotencyKeyBad, "idempotency key bad", NotRun, http.StatusBadRequest, false, "The idempotency key is not a UUIDv7, lies in the future, or was used for another request."},

	{AnswerCut, "cut answer", Unknown, http.StatusBadGateway, false, "The backend server's answer was cut or malformed, or its status alone says that the request was not run."},
	{DeadlineAfter, "deadline after dispatch", Unknown, http.StatusGatewayTimeout, false, "The deadline passed after the request was sent to a backend server."},
	{CancelledAfter, "cancelled after dispatch", Unknown, http.StatusBadGateway, false, "The caller left after the request was sent to a backend server."},
	{LeaseLapsedDuring, "lease lapsed during run", Unknown, http.StatusBadGateway, false, "The owner's lease lapsed while the backend server ran the request."},
	{OwnerLost, "owner lost", Unknown, http.StatusBadGateway, false, "The connection to the owner's node broke after the request was sent to it."},
	{RequestCut, "cut request", Unknown, http.StatusBadRequest, false, "The request body ended early, or broke a limit, after its start was sent to a backend server."},

	{IdempotencyKeyTooOld, "idempotency key too old", Unknown, http.StatusConflict, false, "The idempotency key is older than the present ownership, so an earlier run is not excluded."},
	{IdempotencyAnswerLarge, "idempotency answer not kept", Unknown, http.StatusConflict, false, "The request ran already; its answer was too large to keep."},
	{IdempotencyFirstFailed, "idempotency outcome unknown", Unknown, http.StatusConflict, false, "The request was sent to a backend server already and its outcome is unknown."},
}

var byCode = indexTable()

func indexTable() map[Code]Info {
	m := make(map[Code]Info, len(Table))
	for _, info := range Table {
		m[info.Code] = info
	}
	return m
}

// Lookup returns the description of a code. For a code that is not in the table,
// which a newer peer may send, the kind is derived from the range: 2xxx is not run.
// Any other code counts as outcome unknown, the kind that guarantees least.
func Lookup(c Code) Info {
	if info, ok := byCode[c]; ok {
		return info
	}
	info := Info{Code: c, Name: "unlisted", Kind: Unknown, Status: http.StatusBadGateway}
	if c/1000 == 2 {
		info.Kind = NotRun
		info.Status = http.StatusServiceUnavailable
	}
	return info
}

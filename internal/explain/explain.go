// Package explain holds the shapes of a question to a node where a request would go, and of
// the answer. The entry of a node answers, and the operator endpoint passes it on.
package explain

import "time"

// Query describes a request that is not sent.
type Query struct {
	Method, Host string
	// Path begins with a slash and may have a query.
	Path string
	// Key is that of the request, empty if it has none.
	Key string
	// Remaining is the time that the caller has left, 0 if it does not say.
	Remaining time.Duration
}

// Explanation says where a request would go from a node at this moment. What the gate at
// its end would decide is not part of it.
type Explanation struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Config and Document are the versions of the configuration and of the fleet document
	// that decide, 0 and empty if none is known. Document is era.revision.
	Config   uint64 `json:"config"`
	Document string `json:"document,omitempty"`
	// Route is empty if none matches.
	Route    string `json:"route,omitempty"`
	Priority int    `json:"priority"`
	// TargetMs is the latency target in milliseconds, 0 if there is none. DeadlineMs is the
	// time that the entry gives the request, in milliseconds.
	TargetMs   int64 `json:"target_ms,omitempty"`
	DeadlineMs int64 `json:"deadline_ms,omitempty"`
	// Refusal is set if the request is refused whatever its service.
	Refusal *Refusal `json:"refusal,omitempty"`
	// Services are those of the route, with their share of its requests.
	Services []Service `json:"services"`
}

// Refusal is a response that the entry generates itself.
type Refusal struct {
	Code   uint32 `json:"code"`
	Result string `json:"result"`
	Status int    `json:"status"`
	// RetryAfterMs is the longest Retry-After that the caller would get, in milliseconds; 0
	// if the response has none.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// Waits is true if the request waits for a change first, and is refused only if there is
	// none by its deadline.
	Waits bool `json:"waits,omitempty"`
}

// Service says where requests go that the route's split gives to one service.
type Service struct {
	Service string `json:"service"`
	// Share is the part of the route's requests, from 0 to 1.
	Share   float64  `json:"share"`
	Keyed   bool     `json:"keyed"`
	Refusal *Refusal `json:"refusal,omitempty"`
	// Row holds the key; nil if the service is not divided by keys or no row has the key.
	Row *Row `json:"row,omitempty"`
	// Chosen is the member to whose gate the request would be sent, empty if to none.
	Chosen     string `json:"chosen,omitempty"`
	ChosenZone string `json:"chosen_zone,omitempty"`
	// Reason is "owner" for a service that is divided by keys. Else it says whether the
	// request leaves the zone: "stays", "no-server", "target" or "gain".
	Reason string `json:"reason,omitempty"`
	// PredictedMs is the predicted time until the response, in milliseconds.
	PredictedMs float64 `json:"predicted_ms,omitempty"`
	// Candidates are the servers of a service that is not divided by keys, the soonest
	// first, then those that are excluded. Omitted counts those that are not listed.
	Candidates []Candidate `json:"candidates,omitempty"`
	Omitted    int         `json:"omitted,omitempty"`
}

// Row is the row of the fleet document that holds a key.
type Row struct {
	From  int    `json:"from"`
	To    int    `json:"to"`
	Epoch uint64 `json:"epoch"`
	// Owner is empty if the row has none. Next is the member that the row moves to, empty if
	// it does not move.
	Owner         string `json:"owner,omitempty"`
	OwnerZone     string `json:"owner_zone,omitempty"`
	ZoneEvacuated bool   `json:"zone_evacuated"`
	Next          string `json:"next,omitempty"`
}

// Candidate is a server of a service that is not divided by keys, as the entry knows it.
type Candidate struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Excluded says why the server is no candidate, empty if it is one. All fields below are
	// then 0.
	Excluded string `json:"excluded,omitempty"`
	// PredictedMs is the predicted time until the response in milliseconds, without the
	// random part of the choice.
	PredictedMs float64 `json:"predicted_ms"`
	// LateShare is the probability to miss the target, from 0 to 1; 1 without a target.
	LateShare float64 `json:"late_share"`
	// ColdMs is the rest of the slow start, in milliseconds.
	ColdMs int64 `json:"cold_ms"`
	// Limit and Rate are in requests per second, 0 if there is none. WaitMs is the wait for
	// them in milliseconds.
	Limit  float64 `json:"limit,omitempty"`
	Rate   float64 `json:"rate,omitempty"`
	WaitMs int64   `json:"wait_ms"`
	// AvoidedMs is how long the server is avoided after a failure, in milliseconds.
	AvoidedMs int64 `json:"avoided_ms"`
	// Running, Waiting and Slots are the load in the last report, which is ReportAgeMs
	// milliseconds old; -1 if there was none. InFlight counts the requests of this node.
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	Slots       int   `json:"slots"`
	ReportAgeMs int64 `json:"report_age_ms"`
	InFlight    int   `json:"in_flight"`
	// MayBeChosen is true if the random part of the choice can give the request to this
	// server.
	MayBeChosen bool `json:"may_be_chosen"`
}

// Package header names the HTTP headers that nodes, callers and backend
// servers exchange, and removes those that hold for one connection only.
package header

import (
	"net/http"
	"net/textproto"
	"strings"

	"fulmarhinge/internal/wire"
)

// Prefix starts the name of every header that only nodes may set. They are
// removed from what callers and backend servers send.
const Prefix = "Fulmarhinge-"

// Headers of answers to callers.
const (
	Code      = Prefix + "Code"
	Result    = Prefix + "Result"
	RequestID = Prefix + "Request-Id"
	Owner     = Prefix + "Owner"
)

// Headers of requests to backend servers.
const (
	Unit  = Prefix + "Unit"
	Epoch = Prefix + "Epoch"
	// LeaseUntil is a reading of the boot-time clock in nanoseconds.
	LeaseUntil = Prefix + "Lease-Until"
	Customer   = Prefix + "Customer"
	Key        = Prefix + "Key"
	// DeadlineMs is the time left in milliseconds.
	DeadlineMs = Prefix + "Deadline-Ms"
)

// Headers of answers from backend servers that mean that nothing ran.
const (
	Fence      = Prefix + "Fence"
	FenceStale = "stale"
	Shed       = Prefix + "Shed"
)

// Headers of requests from callers.
const (
	IdempotencyKey = "Idempotency-Key"
	// RequestTimeoutMs lowers the deadline below that of the contract.
	RequestTimeoutMs = "Request-Timeout-Ms"
)

// connectionHeaders hold for one connection and are never passed on.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	// The length travels apart, and a node answers 100-continue itself.
	"Content-Length": true, "Expect": true,
}

// Forward returns the headers of h that may be passed on, in wire form.
func Forward(h http.Header) []*wire.Header {
	listed := listedInConnection(h)
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		if connectionHeaders[name] || listed[name] || strings.HasPrefix(name, Prefix) {
			continue
		}
		for _, v := range values {
			out = append(out, &wire.Header{Name: name, Value: v})
		}
	}
	return out
}

func listedInConnection(h http.Header) map[string]bool {
	var listed map[string]bool
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if listed == nil {
				listed = map[string]bool{}
			}
			listed[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}

// Apply adds headers in wire form to h.
func Apply(h http.Header, headers []*wire.Header) {
	for _, w := range headers {
		h.Add(w.GetName(), w.GetValue())
	}
}

// Package header defines the HTTP headers that nodes, callers and backend
// servers exchange, and removes hop-by-hop headers.
package header

import (
	"net/http"
	"net/textproto"
	"strings"
	"unicode/utf8"

	"fulmarhinge/internal/wire"
)

// Prefix is the prefix of the headers that only nodes may set. Headers with this
// prefix are removed from messages of callers and backend servers.
const Prefix = "Fulmarhinge-"

// Headers of responses to callers.
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
	// LeaseUntil is when the lease expires, as a reading of the boot-time clock
	// in nanoseconds.
	LeaseUntil = Prefix + "Lease-Until"
	Customer   = Prefix + "Customer"
	Key        = Prefix + "Key"
	// DeadlineMs is the time left until the deadline in milliseconds.
	DeadlineMs = Prefix + "Deadline-Ms"
)

// Headers of responses from backend servers that mean that the request was not
// executed.
const (
	Fence      = Prefix + "Fence"
	FenceStale = "stale"
	Shed       = Prefix + "Shed"
)

// Headers of requests from callers.
const (
	IdempotencyKey = "Idempotency-Key"
	// RequestTimeoutMs is a timeout in milliseconds, for a deadline shorter than
	// that of the contract.
	RequestTimeoutMs = "Request-Timeout-Ms"
)

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	// The content length has its own field in the message between nodes, and a
	// node answers 100-continue itself.
	"Content-Length": true, "Expect": true,
}

// Encode returns a header in wire form. The bytes of a value have no stated encoding.
func Encode(name, value string) *wire.Header {
	if utf8.ValidString(value) {
		return &wire.Header{Name: name, Value: value}
	}
	return &wire.Header{Name: name, RawValue: []byte(value)}
}

// Value returns the value of a header in wire form.
func Value(h *wire.Header) string {
	if raw := h.GetRawValue(); len(raw) > 0 {
		return string(raw)
	}
	return h.GetValue()
}

// Forward returns the headers of h that may be forwarded, in wire form.
func Forward(h http.Header) []*wire.Header {
	listed := listedInConnection(h)
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		if hopByHopHeaders[name] || listed[name] || strings.HasPrefix(name, Prefix) {
			continue
		}
		for _, v := range values {
			out = append(out, Encode(name, v))
		}
	}
	return out
}

// listedInConnection returns the header names listed in the Connection header,
// which apply to a single connection too.
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
		h.Add(w.GetName(), Value(w))
	}
}

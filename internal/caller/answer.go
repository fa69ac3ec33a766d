package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"fulmarhinge/internal/header"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

var errAnswer = errs.Class("answer")

// refusalBody is the JSON body of an answer that the router itself makes.
type refusalBody struct {
	Code         uint32 `json:"code"`
	Result       string `json:"result"`
	Message      string `json:"message"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

// answer writes one answer to the caller.
type answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	method  string
	// owner is the caller address of the owner's node, if known.
	owner string
	// closing is true if the connection ends after this answer.
	closing bool
	load    *load
	// sent is when the present attempt began.
	sent time.Time

	// code is the result that the request ended with, once it is known.
	code    result.Code
	started bool
	length  int64
	written int64
}

// Dispatched implements backend.ResponseSink.
func (a *answer) Dispatched() {}

// Head implements backend.ResponseSink.
func (a *answer) Head(h *wire.ResponseHead) error {
	if h.GetId() != a.id {
		return errAnswer.New("answer to %q on the stream of %q", h.GetId(), a.id)
	}
	if s := h.GetStatus(); s < http.StatusOK || s > 999 || a.started {
		return errAnswer.New("head with status %d out of place", s)
	}
	a.started = true
	a.length = h.GetContentLength()
	if a.load != nil {
		now := time.Now()
		a.load.report(h.GetInFlight(), now)
		a.load.succeeded(now.Sub(a.sent), now)
	}
	header.Apply(a.w.Header(), h.GetHeaders())
	a.stamp(result.OK)
	if a.length >= 0 && bodyAllowed(int(h.GetStatus())) {
		a.w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	a.w.WriteHeader(int(h.GetStatus()))
	return nil
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// stamp sets the headers that every answer carries.
func (a *answer) stamp(c result.Code) {
	a.code = c
	h := a.w.Header()
	h.Set(header.Code, strconv.Itoa(int(c)))
	h.Set(header.Result, result.Lookup(c).Kind.String())
	if a.id != "" {
		h.Set(header.RequestID, a.id)
	}
	if a.owner != "" {
		h.Set(header.Owner, a.owner)
	}
	if a.closing {
		h.Set("Connection", "close")
	}
}

// Write implements backend.ResponseSink. A piece that does not end an answer
// of known length is sent on at once, so that a slow answer is not held back.
func (a *answer) Write(p []byte) (int, error) {
	if a.load != nil {
		a.load.advance(time.Now())
	}
	if a.method == http.MethodHead {
		return len(p), nil
	}
	n, err := a.w.Write(p)
	a.written += int64(n)
	if err != nil || a.written == a.length {
		return n, err
	}
	return n, a.control.Flush()
}

// refuse writes an answer of the router's own.
func (a *answer) refuse(e *result.Error) {
	info := result.Lookup(e.Code)
	if e.Owner != "" {
		a.owner = e.Owner
	}
	a.stamp(e.Code)
	h := a.w.Header()
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	body, err := json.Marshal(refusalBody{
		Code: uint32(e.Code), Result: info.Kind.String(), Message: e.Message,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	})
	if err != nil {
		panic("caller: refusal cannot be encoded: " + err.Error())
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	a.w.WriteHeader(info.Status)
	if a.method != http.MethodHead {
		_, _ = a.w.Write(body)
	}
}

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

var errResponse = errs.Class("response")

// refusalBody is the JSON body of a response that the router generates itself.
type refusalBody struct {
	Code         uint32 `json:"code"`
	Result       string `json:"result"`
	Message      string `json:"message"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

// response writes one HTTP response to the caller. It implements
// backend.ResponseSink.
type response struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	requestID string
	method    string
	// ownerAddr is the caller address of the owner's node; empty if unknown.
	ownerAddr string
	// closeConn is true if the connection is closed after this response.
	closeConn bool
	load      *backendLoad
	// attemptStart is when the current attempt was sent.
	attemptStart time.Time

	// code is the result that the request ended with; zero until it is known.
	code          result.Code
	headSent      bool
	contentLength int64
	writtenBytes  int64
}

// Dispatched implements backend.ResponseSink.
func (r *response) Dispatched() {}

// Head implements backend.ResponseSink.
func (r *response) Head(h *wire.ResponseHead) error {
	if h.GetId() != r.requestID {
		return errResponse.New("response to request %q on the stream of request %q", h.GetId(), r.requestID)
	}
	if s := h.GetStatus(); !header.IsFinalStatus(int(s)) || r.headSent {
		return errResponse.New("unexpected response head with status %d", s)
	}
	r.headSent = true
	r.contentLength = h.GetContentLength()
	if r.load != nil {
		now := time.Now()
		r.load.recordReport(h.GetInFlight(), now)
		r.load.recordResponse(now.Sub(r.attemptStart), now)
	}
	header.Apply(r.w.Header(), h.GetHeaders())
	r.setResultHeaders(result.OK)
	if r.contentLength >= 0 && bodyAllowed(int(h.GetStatus())) {
		r.w.Header().Set("Content-Length", strconv.FormatInt(r.contentLength, 10))
	}
	r.w.WriteHeader(int(h.GetStatus()))
	return nil
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// setResultHeaders sets the headers that every response carries.
func (r *response) setResultHeaders(c result.Code) {
	r.code = c
	h := r.w.Header()
	h.Set(header.Code, strconv.Itoa(int(c)))
	h.Set(header.Result, result.Lookup(c).Kind.String())
	if r.requestID != "" {
		h.Set(header.RequestID, r.requestID)
	}
	if r.ownerAddr != "" {
		h.Set(header.Owner, r.ownerAddr)
	}
	if r.closeConn {
		h.Set("Connection", "close")
	}
}

// Write implements backend.ResponseSink. It flushes after every chunk except
// the last one of a response of known length, so that a slow response is not
// delayed by buffering.
func (r *response) Write(p []byte) (int, error) {
	if r.load != nil {
		r.load.recordProgress(time.Now())
	}
	if r.method == http.MethodHead {
		return len(p), nil
	}
	n, err := r.w.Write(p)
	r.writtenBytes += int64(n)
	if err != nil || r.writtenBytes == r.contentLength {
		return n, err
	}
	return n, r.control.Flush()
}

// refuse writes a response that the router generates itself.
func (r *response) refuse(e *result.Error) {
	info := result.Lookup(e.Code)
	if e.Owner != "" {
		r.ownerAddr = e.Owner
	}
	r.setResultHeaders(e.Code)
	h := r.w.Header()
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
		panic("caller: encoding of a refusal failed: " + err.Error())
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	r.w.WriteHeader(info.Status)
	if r.method != http.MethodHead {
		_, _ = r.w.Write(body)
	}
}

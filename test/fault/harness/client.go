package harness

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"fulmarhinge/standin/pattern"
)

// Headers between callers and nodes.
const (
	headerCustomer       = "Customer"
	headerIdempotencyKey = "Idempotency-Key"
	headerWorkMs         = "X-Work-Ms"
	headerAttempt        = "X-Attempt"
	headerCode           = "Fulmarhinge-Code"
	headerResult         = "Fulmarhinge-Result"
	headerOwner          = "Fulmarhinge-Owner"
)

// Call is one request to send.
type Call struct {
	// ID identifies the request and is the same for all its attempts.
	ID       string
	Attempt  string
	Customer string
	Path     string
	Key      string
	// IdempotencyKey, if set, makes the call a POST.
	IdempotencyKey string
	// Size is the length of the answer's body in bytes.
	Size int64
	// Work is how long the request takes at the backend server; 0 means the
	// server's default.
	Work time.Duration
}

// NewClient returns an HTTP client for callers.
func NewClient() *http.Client {
	const connectTimeout = 500 * time.Millisecond
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,
	}}
}

// Send sends the call to one entry and classifies the outcome.
func Send(ctx context.Context, client *http.Client, entry string, c Call) Attempt {
	a := Attempt{ID: c.Attempt, Request: c.ID, IdempotencyKey: c.IdempotencyKey, Key: c.Key, Entry: entry, Sent: time.Now()}
	a.Class = a.send(ctx, client, entry, c)
	a.Ended = time.Now()
	return a
}

func (a *Attempt) send(ctx context.Context, client *http.Client, entry string, c Call) Class {
	req, err := c.request(ctx, entry)
	if err != nil {
		a.Detail = err.Error()
		return Wrong
	}
	resp, err := client.Do(a.countSends(req))
	if err != nil {
		a.Detail = err.Error()
		if isDialError(err) {
			return Unreached
		}
		return Incomplete
	}
	defer resp.Body.Close()
	a.Status = resp.StatusCode
	a.Owner = resp.Header.Get(headerOwner)
	code, _ := strconv.ParseUint(resp.Header.Get(headerCode), 10, 32)
	a.Code = uint32(code)
	switch resp.Header.Get(headerResult) {
	case "not-run":
		return a.recordRefusal(resp, NotRun)
	case "unknown":
		return a.recordRefusal(resp, Unknown)
	}
	if resp.StatusCode != http.StatusOK {
		if a.Code == 0 {
			return a.recordRefusal(resp, NoResultCode)
		}
		return a.recordRefusal(resp, OtherStatus)
	}
	return a.checkBody(resp.Body, c)
}

// countSends counts how often the client library sends the request: it repeats a
// GET by itself if a kept-alive connection breaks.
func (a *Attempt) countSends(req *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.Sends++ }}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}

// recordRefusal stores the start of the body as the detail and returns class.
func (a *Attempt) recordRefusal(resp *http.Response, class Class) Class {
	const maxDetailBytes = 300
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetailBytes))
	a.Detail = strings.TrimSpace(string(b))
	_, _ = io.Copy(io.Discard, resp.Body)
	return class
}

// checkBody checks the body of an answer. It distinguishes an incomplete body,
// which the transport reports as an error, from a complete one that is wrong.
func (a *Attempt) checkBody(body io.Reader, c Call) Class {
	r := &lastErrorReader{Reader: body}
	_, err := pattern.Check(r, c.ID, c.Size)
	if err == nil {
		return Answered
	}
	a.Detail = err.Error()
	if r.err != nil && !errors.Is(r.err, io.EOF) {
		return Incomplete
	}
	return Wrong
}

// lastErrorReader records the error that ended the stream.
type lastErrorReader struct {
	io.Reader
	err error
}

// Read reads from the stream and records an error.
func (r *lastErrorReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		r.err = err
	}
	return n, err
}

func (c Call) request(ctx context.Context, entry string) (*http.Request, error) {
	q := url.Values{"id": {c.ID}, "size": {strconv.FormatInt(c.Size, 10)}}
	target := fmt.Sprintf("http://%s%s?%s", entry, c.Path, q.Encode())
	method := http.MethodGet
	var body io.Reader
	if c.IdempotencyKey != "" {
		method = http.MethodPost
		body = strings.NewReader("body of " + c.ID)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, err
	}
	// Without GetBody the client library can't repeat a POST by itself.
	req.GetBody = nil
	req.Header.Set(headerCustomer, c.Customer)
	// The attempt is not part of the URL because a retry under the same
	// idempotency key must be an identical request.
	req.Header.Set(headerAttempt, c.Attempt)
	if c.IdempotencyKey != "" {
		req.Header.Set(headerIdempotencyKey, c.IdempotencyKey)
	}
	if c.Work > 0 {
		req.Header.Set(headerWorkMs, strconv.FormatInt(c.Work.Milliseconds(), 10))
	}
	return req, nil
}

// isDialError reports whether no connection was established, so that no part of
// the request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

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
	// ID is the identity of the request, the same for all its attempts.
	ID       string
	Attempt  string
	Customer string
	Path     string
	Key      string
	// IdempotencyKey makes the call a POST.
	IdempotencyKey string
	// Size is how many bytes of pattern the answer holds.
	Size int64
	// Work is how long the request takes at the backend server; zero leaves
	// it to that server.
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

// Send sends the call to one entry and classifies what comes of it.
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
		return Cut
	}
	defer resp.Body.Close()
	a.Status = resp.StatusCode
	a.Owner = resp.Header.Get(headerOwner)
	code, _ := strconv.ParseUint(resp.Header.Get(headerCode), 10, 32)
	a.Code = uint32(code)
	switch resp.Header.Get(headerResult) {
	case "not-run":
		return a.refusal(resp, NotRun)
	case "unknown":
		return a.refusal(resp, Unknown)
	}
	if resp.StatusCode != http.StatusOK {
		if a.Code == 0 {
			return a.refusal(resp, Unnumbered)
		}
		return a.refusal(resp, Other)
	}
	return a.checkBody(resp.Body, c)
}

// countSends notes when the client library sends a request again by itself,
// which it does to a GET whose kept connection broke.
func (a *Attempt) countSends(req *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.Sends++ }}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}

// refusal keeps the start of the body as the detail.
func (a *Attempt) refusal(resp *http.Response, class Class) Class {
	const keep = 300
	b, _ := io.ReadAll(io.LimitReader(resp.Body, keep))
	a.Detail = strings.TrimSpace(string(b))
	_, _ = io.Copy(io.Discard, resp.Body)
	return class
}

// checkBody tells a cut answer, which the transport reports, from one that
// ends cleanly and is wrong.
func (a *Attempt) checkBody(body io.Reader, c Call) Class {
	r := &endReader{Reader: body}
	_, err := pattern.Check(r, c.ID, c.Size)
	if err == nil {
		return Answered
	}
	a.Detail = err.Error()
	if r.end != nil && !errors.Is(r.end, io.EOF) {
		return Cut
	}
	return Wrong
}

// endReader remembers the error that ended the stream.
type endReader struct {
	io.Reader
	end error
}

// Read reads and remembers.
func (r *endReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		r.end = err
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
	// Without a second body the client library never sends a POST again.
	req.GetBody = nil
	req.Header.Set(headerCustomer, c.Customer)
	// Not in the URL: a repetition under one idempotency key must be the same
	// request.
	req.Header.Set(headerAttempt, c.Attempt)
	if c.IdempotencyKey != "" {
		req.Header.Set(headerIdempotencyKey, c.IdempotencyKey)
	}
	if c.Work > 0 {
		req.Header.Set(headerWorkMs, strconv.FormatInt(c.Work.Milliseconds(), 10))
	}
	return req, nil
}

// isDialError reports whether no connection came about, so that nothing of the
// request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

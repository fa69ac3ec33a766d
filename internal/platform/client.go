package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/dghubble/sling"
	"github.com/hashicorp/go-hclog"
)

// Defaults of the client.
const (
	// DefaultTimeout bounds one call, except for watches.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchIdleTimeout is the time without any line, keep-alives
	// included, after which a watch counts as broken.
	DefaultWatchIdleTimeout = 3 * WatchKeepAlive
	// maxListBytes bounds the response to a list request.
	maxListBytes = 256 << 20
	// maxWatchLineBytes bounds one line of a watch, which carries an object with
	// its value in base64, and maxPutResponseBytes the response to a write.
	maxWatchLineBytes   = 2 * MaxValueBytes
	maxPutResponseBytes = 4 << 10
	// maxErrorBytes bounds how much of an error response's body is read.
	maxErrorBytes = 512
)

// Options configure a Client.
type Options struct {
	// URLs are the addresses of the platform, such as "http://127.0.0.1:7000".
	// The next one is tried when a call certainly had no effect.
	URLs []string
	// Timeout bounds one call, except for watches; 0 means DefaultTimeout.
	Timeout time.Duration
	// WatchIdleTimeout is how long a watch may go without a line; 0 means
	// DefaultWatchIdleTimeout.
	WatchIdleTimeout time.Duration
	// Budget limits the rate of calls; the zero value means no limit.
	Budget Budget
	// Logger receives one line for each switch to another URL; nil discards them.
	Logger hclog.Logger
}

// Client is a Store over HTTP. It is safe for concurrent use.
type Client struct {
	urls    []string
	timeout time.Duration
	// watchIdleTimeout bounds the time between two lines of a watch.
	watchIdleTimeout time.Duration
	http             *http.Client
	log              hclog.Logger
	limiters         *limiters
	// currentURL, modulo the number of URLs, is the index of the URL in use.
	currentURL atomic.Uint32
}

var _ Store = (*Client)(nil)

// NewClient returns a client. It does not open a connection yet.
func NewClient(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.WatchIdleTimeout == 0 {
		o.WatchIdleTimeout = DefaultWatchIdleTimeout
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: o.Timeout}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{
		urls:             o.URLs,
		timeout:          o.Timeout,
		watchIdleTimeout: o.WatchIdleTimeout,
		http:             &http.Client{Transport: transport},
		log:              o.Logger.Named("platform"),
		limiters:         newLimiters(o.Budget),
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	o := Object{Key: key}
	err := c.read(ctx, getRequest(objectPath(key)), func(r *http.Response) error {
		version, err := strconv.ParseUint(r.Header.Get(VersionHeader), 10, 64)
		if err != nil {
			return ErrUnavailable.New("get %s: response has no valid version", key)
		}
		o.Version = version
		o.Value, err = io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
		return ErrUnavailable.Wrap(err)
	})
	countCall(callGet, err)
	if err != nil {
		return Object{}, err
	}
	return o, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var out []Object
	req := getRequest(ListPath, prefixQuery{Prefix: prefix})
	err := c.read(ctx, req, func(r *http.Response) error {
		out = nil
		return ErrUnavailable.Wrap(json.NewDecoder(io.LimitReader(r.Body, maxListBytes)).Decode(&out))
	})
	countCall(callList, err)
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, expected uint64, value []byte) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge.New("%s: %d bytes, at most %d are stored", key, len(value), MaxValueBytes)
	}
	var response PutResponse
	build := func(s *sling.Sling) *sling.Sling {
		return setPrecondition(s.Put(objectPath(key)), expected).Body(bytes.NewReader(value))
	}
	err := c.write(ctx, build, func(r *http.Response) error {
		// The change has taken effect; a response whose version cannot be
		// decoded counts as lost.
		return ErrUnknown.Wrap(json.NewDecoder(io.LimitReader(r.Body, maxPutResponseBytes)).Decode(&response))
	})
	countCall(callPut, err)
	return response.Version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	build := func(s *sling.Sling) *sling.Sling {
		return setPrecondition(s.Delete(objectPath(key)), expected)
	}
	err := c.write(ctx, build, func(*http.Response) error { return nil })
	countCall(callDelete, err)
	return err
}

// Watch implements Store. Opening a watch counts as one read in the budget.
func (c *Client) Watch(ctx context.Context, prefix string, ready func(), fn func(Object)) error {
	if err := waitForBudget(ctx, c.limiters.reads, c.timeout); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A connection that hangs without breaking would look like a platform
	// without changes.
	idleTimer := time.AfterFunc(c.timeout, cancel)
	defer idleTimer.Stop()
	resp, _, err := c.send(ctx, getRequest(WatchPath, prefixQuery{Prefix: prefix}))
	countCall(callWatch, ErrUnavailable.Wrap(err))
	if err != nil {
		c.switchURL(err)
		return ErrUnavailable.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		err := statusError(resp, false)
		c.switchURL(err)
		return err
	}
	openWatches.Inc()
	defer openWatches.Dec()
	return readWatch(resp.Body, func() { idleTimer.Reset(c.watchIdleTimeout) }, ready, fn)
}

// readWatch passes the lines of a watch to the callbacks until the watch breaks.
// It calls beforeLine before it reads each line.
func readWatch(body io.Reader, beforeLine, ready func(), fn func(Object)) error {
	// The decoder reads ahead, so that the bound of a line includes what is read of
	// the next ones.
	limited := &io.LimitedReader{R: body}
	d := json.NewDecoder(limited)
	for {
		beforeLine()
		limited.N = maxWatchLineBytes
		var line WatchLine
		if err := d.Decode(&line); err != nil {
			return ErrUnavailable.Wrap(fmt.Errorf("read of the watch failed: %w", err))
		}
		if line.Ready && ready != nil {
			ready()
		}
		if line.Object != nil {
			fn(*line.Object)
		}
	}
}

// requestBuilder adds the method, path and headers to a request whose base URL is
// set.
type requestBuilder func(*sling.Sling) *sling.Sling

// getRequest returns the builder of a GET request, with at most one query struct.
func getRequest(path string, query ...any) requestBuilder {
	return func(s *sling.Sling) *sling.Sling {
		s = s.Get(path)
		for _, q := range query {
			s = s.QueryStruct(q)
		}
		return s
	}
}

// read makes a call that changes nothing: if its response is lost, the error is
// ErrUnavailable.
func (c *Client) read(ctx context.Context, req requestBuilder, decode func(*http.Response) error) error {
	if err := waitForBudget(ctx, c.limiters.reads, c.timeout); err != nil {
		return err
	}
	return c.tryEachURL(ctx, req, false, decode)
}

// write makes a call that changes an object: if its response is lost, the error
// is ErrUnknown.
func (c *Client) write(ctx context.Context, req requestBuilder, decode func(*http.Response) error) error {
	if err := waitForBudget(ctx, c.limiters.writes, c.timeout); err != nil {
		return err
	}
	return c.tryEachURL(ctx, req, true, decode)
}

// tryEachURL sends a call to one URL after another while it fails with
// ErrUnavailable, which for a write means that it had no effect.
func (c *Client) tryEachURL(
	ctx context.Context, req requestBuilder, mutating bool, decode func(*http.Response) error,
) error {
	lastErr := ErrUnavailable.New("no platform URL is set")
	for range c.urls {
		lastErr = c.callCurrentURL(ctx, req, mutating, decode)
		if !ErrUnavailable.Has(lastErr) || ctx.Err() != nil {
			return lastErr
		}
		c.switchURL(lastErr)
	}
	return lastErr
}

// callCurrentURL makes one call to the URL in use.
func (c *Client) callCurrentURL(
	ctx context.Context, req requestBuilder, mutating bool, decode func(*http.Response) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, sent, err := c.send(ctx, req)
	if err != nil {
		if sent && mutating {
			return ErrUnknown.Wrap(err)
		}
		return ErrUnavailable.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 == 2 {
		return decode(resp)
	}
	return statusError(resp, mutating)
}

// send sends a request to the URL in use. The flag that it returns is true if a
// connection was available to write the request to, so that it may have arrived.
func (c *Client) send(ctx context.Context, req requestBuilder) (*http.Response, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	r, err := req(sling.New().Base(c.urls[c.urlIndex()])).Request()
	if err != nil {
		return nil, false, err
	}
	resp, err := c.http.Do(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	return resp, sent.Load(), err
}

// urlIndex returns the index of the URL in use.
func (c *Client) urlIndex() int { return int(c.currentURL.Load()) % len(c.urls) }

// switchURL switches to the next URL, if there is another one.
func (c *Client) switchURL(cause error) {
	if len(c.urls) == 1 {
		return
	}
	from := c.urls[c.urlIndex()]
	c.currentURL.Add(1)
	c.log.Warn("platform URL failed, trying the next", "url", from, "error", cause)
}

// statusError returns the error for a response that is not a success.
func statusError(r *http.Response, mutating bool) error {
	body, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorBytes))
	text := r.Status + ": " + strings.TrimSpace(string(body))
	switch r.StatusCode {
	case http.StatusNotFound:
		return ErrNotFound.New("%s", text)
	case http.StatusPreconditionFailed:
		return ErrConflict.New("%s", text)
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge.New("%s", text)
	}
	// 4xx and 503 mean that the call was refused before any change. After other
	// 5xx, such as 500 and 504, the outcome is unknown.
	refused := r.StatusCode < http.StatusInternalServerError || r.StatusCode == http.StatusServiceUnavailable
	if mutating && !refused {
		return ErrUnknown.New("%s", text)
	}
	return ErrUnavailable.New("%s", text)
}

// objectPath returns the path of an object. Each segment is escaped separately, so
// that the slashes of the key are kept.
func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return ObjectsPath + strings.Join(parts, "/")
}

// setPrecondition sets the condition of an update: the object's version must be
// the given one, or, if that is 0, the key must not exist.
func setPrecondition(s *sling.Sling, version uint64) *sling.Sling {
	if version == 0 {
		return s.Set("If-None-Match", "*")
	}
	return s.Set("If-Match", strconv.Quote(strconv.FormatUint(version, 10)))
}

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
	// DefaultTimeout bounds one call, a watch excepted.
	DefaultTimeout = 2 * time.Second
	// DefaultWatchSilence is how long a watch may be without a line, a keep-alive
	// included, before it counts as broken.
	DefaultWatchSilence = 3 * WatchKeepAlive
	// maxListBytes bounds the answer to a list.
	maxListBytes = 256 << 20
	// maxErrorBytes bounds how much of an error's body is read.
	maxErrorBytes = 512
)

// Options configure a Client.
type Options struct {
	// URLs are the addresses of the platform, such as "http://127.0.0.1:7000".
	// The next one is tried when a call was surely refused.
	URLs []string
	// Timeout bounds one call, a watch excepted; 0 means DefaultTimeout.
	Timeout time.Duration
	// WatchSilence is how long a watch may be without a line; 0 means
	// DefaultWatchSilence.
	WatchSilence time.Duration
	// Budget limits the calls; the zero value is no limit.
	Budget Budget
	// Logger gets one line for each switch to another URL; nil discards.
	Logger hclog.Logger
}

// Client is a Store over HTTP. It is safe for concurrent use.
type Client struct {
	urls    []string
	timeout time.Duration
	// watchSilence bounds the time between two lines of a watch.
	watchSilence time.Duration
	http         *http.Client
	log          hclog.Logger
	budget       *limiters
	// current is the index of the URL that answered last.
	current atomic.Uint32
}

var _ Store = (*Client)(nil)

// NewClient returns a client; it opens no connection yet.
func NewClient(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.WatchSilence == 0 {
		o.WatchSilence = DefaultWatchSilence
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
		urls:         o.URLs,
		timeout:      o.Timeout,
		watchSilence: o.WatchSilence,
		http:         &http.Client{Transport: transport},
		log:          o.Logger.Named("platform"),
		budget:       newLimiters(o.Budget),
	}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	o := Object{Key: key}
	err := c.read(ctx, getRequest(objectPath(key)), func(r *http.Response) error {
		version, err := strconv.ParseUint(r.Header.Get(VersionHeader), 10, 64)
		if err != nil {
			return ErrUnavailable.New("get %s: answer without a version", key)
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
	var answer PutAnswer
	build := func(s *sling.Sling) *sling.Sling {
		return expect(s.Put(objectPath(key)), expected).Body(bytes.NewReader(value))
	}
	err := c.write(ctx, build, func(r *http.Response) error {
		// The change has taken effect; without its version the answer is lost.
		return ErrUnknown.Wrap(json.NewDecoder(r.Body).Decode(&answer))
	})
	countCall(callPut, err)
	return answer.Version, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	build := func(s *sling.Sling) *sling.Sling {
		return expect(s.Delete(objectPath(key)), expected)
	}
	err := c.write(ctx, build, func(*http.Response) error { return nil })
	countCall(callDelete, err)
	return err
}

// Watch implements Store. The budget counts the opening of a watch as a read.
func (c *Client) Watch(ctx context.Context, prefix string, ready func(), fn func(Object)) error {
	if err := wait(ctx, c.budget.reads, c.timeout); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A connection that hangs without breaking would look like a platform where
	// nothing changes.
	silence := time.AfterFunc(c.timeout, cancel)
	defer silence.Stop()
	resp, _, err := c.send(ctx, getRequest(WatchPath, prefixQuery{Prefix: prefix}))
	countCall(callWatch, ErrUnavailable.Wrap(err))
	if err != nil {
		c.nextURL(err)
		return ErrUnavailable.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		err := statusError(resp, false)
		c.nextURL(err)
		return err
	}
	watchesWaiting.Inc()
	defer watchesWaiting.Dec()
	return readWatch(resp.Body, func() { silence.Reset(c.watchSilence) }, ready, fn)
}

// readWatch hands the lines of a watch on until it breaks; alive is called
// before each one.
func readWatch(body io.Reader, alive, ready func(), fn func(Object)) error {
	d := json.NewDecoder(body)
	for {
		alive()
		var line WatchLine
		if err := d.Decode(&line); err != nil {
			return ErrUnavailable.Wrap(fmt.Errorf("watch broke: %w", err))
		}
		if line.Ready && ready != nil {
			ready()
		}
		if line.Object != nil {
			fn(*line.Object)
		}
	}
}

// request adds method, path and headers to a request whose base URL is set.
type request func(*sling.Sling) *sling.Sling

// getRequest is a GET of a path, with at most one query struct.
func getRequest(path string, query ...any) request {
	return func(s *sling.Sling) *sling.Sling {
		s = s.Get(path)
		for _, q := range query {
			s = s.QueryStruct(q)
		}
		return s
	}
}

// read makes a call without effect: a lost answer is ErrUnavailable.
func (c *Client) read(ctx context.Context, req request, accept func(*http.Response) error) error {
	if err := wait(ctx, c.budget.reads, c.timeout); err != nil {
		return err
	}
	return c.try(ctx, req, false, accept)
}

// write makes a call with effect: a lost answer is ErrUnknown.
func (c *Client) write(ctx context.Context, req request, accept func(*http.Response) error) error {
	if err := wait(ctx, c.budget.writes, c.timeout); err != nil {
		return err
	}
	return c.try(ctx, req, true, accept)
}

// try makes a call to each URL in turn, as long as each one surely changed
// nothing.
func (c *Client) try(ctx context.Context, req request, effect bool, accept func(*http.Response) error) error {
	last := ErrUnavailable.New("no platform URL is set")
	for range c.urls {
		last = c.once(ctx, req, effect, accept)
		if !ErrUnavailable.Has(last) || ctx.Err() != nil {
			return last
		}
		c.nextURL(last)
	}
	return last
}

// once makes one call to the current URL.
func (c *Client) once(ctx context.Context, req request, effect bool, accept func(*http.Response) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, sent, err := c.send(ctx, req)
	if err != nil {
		if sent && effect {
			return ErrUnknown.Wrap(err)
		}
		return ErrUnavailable.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 == 2 {
		return accept(resp)
	}
	return statusError(resp, effect)
}

// send sends a request to the current URL. The flag sent is true once a
// connection was there to write it to: from then on it may arrive.
func (c *Client) send(ctx context.Context, req request) (*http.Response, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	r, err := req(sling.New().Base(c.urls[c.index()])).Request()
	if err != nil {
		return nil, false, err
	}
	resp, err := c.http.Do(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	return resp, sent.Load(), err
}

// index returns the index of the URL in use.
func (c *Client) index() int { return int(c.current.Load()) % len(c.urls) }

// nextURL moves on to the next URL.
func (c *Client) nextURL(cause error) {
	if len(c.urls) == 1 {
		return
	}
	from := c.urls[c.index()]
	c.current.Add(1)
	c.log.Warn("platform URL failed, trying the next", "url", from, "error", cause)
}

// statusError returns the error of an answer that is not a success.
func statusError(r *http.Response, effect bool) error {
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
	// A 4xx and a 503 are refusals before any change; what a 500 or a 504 did
	// is not known.
	refused := r.StatusCode < http.StatusInternalServerError || r.StatusCode == http.StatusServiceUnavailable
	if effect && !refused {
		return ErrUnknown.New("%s", text)
	}
	return ErrUnavailable.New("%s", text)
}

// objectPath returns the path of an object. Each segment is escaped by itself
// so that the slashes of the key stay.
func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return ObjectsPath + strings.Join(parts, "/")
}

// expect sets the condition of an update: 0 means that the key must be free.
func expect(s *sling.Sling, version uint64) *sling.Sling {
	if version == 0 {
		return s.Set("If-None-Match", "*")
	}
	return s.Set("If-Match", strconv.Quote(strconv.FormatUint(version, 10)))
}

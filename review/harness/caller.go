//go:build review

package harness

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Reply is what a caller got for one attempt.
type Reply struct {
	// Status is 0 if there was no complete answer.
	Status int
	Seal   string
	Body   string
	Err    error
}

// Caller sends requests to the node on its machine.
type Caller struct {
	client *http.Client
	node   *Node
}

// NewCaller returns a caller on the machine of a node.
func NewCaller(n *Node) *Caller {
	return &Caller{node: n, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// Send sends one attempt with its own id and returns the reply.
func (c *Caller) Send(method, host, path, id, body string, budget time.Duration) Reply {
	return c.SendKeyed(method, host, path, id, "", body, budget)
}

// SendKeyed is Send for a request with a key.
func (c *Caller) SendKeyed(method, host, path, id, key, body string, budget time.Duration) Reply {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	var in io.Reader
	if body != "" {
		in = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.Callers+path, in)
	if err != nil {
		return Reply{Err: err}
	}
	// The client must not repeat a request by itself.
	r.GetBody = nil
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	if key != "" {
		r.Header.Set("X-Shard-Key", key)
	}
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	resp, err := c.client.Do(r)
	if err != nil {
		return Reply{Err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return Reply{Err: err}
	}
	return Reply{Status: resp.StatusCode, Seal: resp.Header.Get("X-Server-Seal"), Body: string(b)}
}

// Leave sends a GET with a time budget and leaves after the given time.
func (c *Caller) Leave(method, host, path, id string, budget, after time.Duration) Reply {
	ctx, cancel := context.WithTimeout(context.Background(), after)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.Callers+path, nil)
	if err != nil {
		return Reply{Err: err}
	}
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	resp, err := c.client.Do(r)
	if err != nil {
		return Reply{Err: err}
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return Reply{Err: err}
	}
	return Reply{Status: resp.StatusCode, Seal: resp.Header.Get("X-Server-Seal")}
}

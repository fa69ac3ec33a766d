package upstream

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// ErrMalformedCold is the class of errors of a slow start that cannot be read.
var ErrMalformedCold = errs.Class("malformed slow start")

// maxColdMs bounds the slow start that a server may state.
const maxColdMs = 3600_000

// Health is the answer of a server to a health check.
type Health struct {
	// Instance is the id of the server, empty if it is not stated.
	Instance string
	// ColdLeft is how much longer the server is cold, 0 if it is warm. ColdErr is set if
	// what it states cannot be read; its class is ErrMalformedCold.
	ColdLeft time.Duration
	ColdErr  error
}

// Check sends a health check on a new connection and returns once the server has
// answered it, whatever its status: it reads and answers. Written is called once the check was
// written, at least in part; errors before that are of class ErrNotSent.
func (c *Client) Check(ctx context.Context, path string, written func()) (Health, error) {
	cn, err := c.pool.dial(ctx)
	if err != nil {
		return Health{}, ErrNotSent.Wrap(err)
	}
	defer cn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		if err := cn.SetDeadline(deadline); err != nil {
			return Health{}, ErrNotSent.Wrap(err)
		}
	}
	_, err = cn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + c.pool.address + "\r\nConnection: close\r\n\r\n"))
	written()
	if err != nil {
		return Health{}, ErrUnknownOutcome.Wrap(err)
	}
	resp, err := cn.readHead(nil)
	if err != nil {
		return Health{}, ErrUnknownOutcome.Wrap(err)
	}
	return c.health(resp.Header), nil
}

func (c *Client) health(h http.Header) Health {
	var out Health
	if c.headers.Instance != "" {
		out.Instance = h.Get(c.headers.Instance)
	}
	if c.headers.Cold == "" {
		return out
	}
	text := h.Get(c.headers.Cold)
	if text == "" {
		return out
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > maxColdMs {
		out.ColdErr = ErrMalformedCold.New("%q", text)
		return out
	}
	out.ColdLeft = time.Duration(ms) * time.Millisecond
	return out
}

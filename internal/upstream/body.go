package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
)

const (
	// maxResponseBytes bounds the body of a response, which is buffered whole
	// before it is forwarded, and all bodies above freeBodyBytes that are read at
	// the same time: a faulty server may send bodies without end on all its slots.
	maxResponseBytes = 16 << 20
	// freeBodyBytes is the size up to which a body is read in any case.
	freeBodyBytes = 1 << 20
)

var (
	errTooLarge = errors.New("the answer is too large")
	errNoMemory = errors.New("no memory for a large answer before the deadline")
)

// readBody reads the whole body of a response. A large one waits until the memory for
// it is free, or ctx ends.
func (c *Client) readBody(ctx context.Context, resp *http.Response) ([]byte, error) {
	if resp.Body == http.NoBody {
		// The header of such a response may state the length that a body would have.
		return nil, nil
	}
	if resp.ContentLength > maxResponseBytes {
		return nil, errTooLarge
	}
	if resp.ContentLength < 0 {
		return c.readUnknownLength(ctx, resp.Body)
	}
	if resp.ContentLength > freeBodyBytes {
		if c.largeBodies.Acquire(ctx, resp.ContentLength) != nil {
			return nil, errNoMemory
		}
		defer c.largeBodies.Release(resp.ContentLength)
	}
	body := make([]byte, resp.ContentLength)
	_, err := io.ReadFull(resp.Body, body)
	return body, err
}

// readUnknownLength reads a body whose length is not stated.
func (c *Client) readUnknownLength(ctx context.Context, r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, freeBodyBytes+1))
	if err != nil || len(body) <= freeBodyBytes {
		return body, err
	}
	if c.largeBodies.Acquire(ctx, maxResponseBytes) != nil {
		return nil, errNoMemory
	}
	defer c.largeBodies.Release(maxResponseBytes)
	rest := io.LimitReader(r, maxResponseBytes+1-int64(len(body)))
	body, err = io.ReadAll(io.MultiReader(bytes.NewReader(body), rest))
	if err == nil && len(body) > maxResponseBytes {
		err = errTooLarge
	}
	return body, err
}

package backend

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

// executeOnce handles a request with an idempotency key whose method is not
// idempotent. It executes the request, or replays the result of the first
// request with the key. The request is already counted as in flight.
func (g *Gate) executeOnce(ctx context.Context, r *request) *result.Error {
	now := time.Now()
	key, refusal := parseIdempotencyKey(r.head.GetIdempotencyKey(), now, g.idempotency.limits.MaxClockSkew)
	if refusal != nil {
		return refusal
	}
	id := idempotencyID{unit: shardOf(r.unit), customer: r.head.GetCustomer(), key: key}
	for {
		rec, isNew, refusal := g.idempotency.begin(id, fingerprint(r.head), now, g.priorUse(r, now))
		if refusal != nil {
			return refusal
		}
		if isNew {
			return g.executeFirst(ctx, r, rec)
		}
		select {
		case <-rec.done:
		case <-ctx.Done():
			return g.waitInterrupted(ctx)
		}
		if rec.refusal == nil || rec.refusal.Kind() != result.NotRun {
			return rec.replay(r)
		}
		// The first request did not run, so this one tries to execute.
	}
}

// waitInterrupted returns the result for a retry whose context ended before the
// first execution did. The first execution may be running on the backend server,
// so the result is unknown and not "not run".
func (g *Gate) waitInterrupted(ctx context.Context) *result.Error {
	if contextRefusal(ctx).Code == result.DeadlineBefore {
		return result.New(result.DeadlineAfter)
	}
	return result.New(result.CancelledAfter)
}

// executeFirst executes the request and records the result. A caller that
// disconnects is expected to retry with the same key, so the execution is not
// cancelled: it continues up to its deadline and its response is stored.
func (g *Gate) executeFirst(ctx context.Context, r *request, rec *idempotencyRecord) *result.Error {
	capture := &captureSink{ResponseSink: r.sink}
	r.sink = capture
	r.detached = true
	refusal := g.dispatchInSlot(ctx, r)
	g.idempotency.finish(rec, refusal, capture.response())
	if refusal == nil && capture.callerGone {
		return result.New(result.CancelledAfter)
	}
	return refusal
}

// replay sends the result of the first execution.
func (rec *idempotencyRecord) replay(r *request) *result.Error {
	switch {
	case rec.refusal != nil:
		return result.New(result.IdempotencyFirstFailed)
	case rec.response == nil:
		return result.New(result.IdempotencyAnswerLarge)
	}
	head := proto.Clone(rec.response.head).(*wire.ResponseHead)
	head.Id = r.head.GetId()
	if r.sink.Head(head) != nil {
		return result.New(result.CancelledAfter)
	}
	if _, err := r.sink.Write(rec.response.body); err != nil {
		return result.New(result.CancelledAfter)
	}
	return nil
}

// captureSink stores a small response while it forwards it. After the caller has
// disconnected, it still receives the rest of a response that can be stored.
type captureSink struct {
	ResponseSink
	head       *wire.ResponseHead
	body       []byte
	tooLarge   bool
	callerGone bool
}

// Head implements ResponseSink.
func (c *captureSink) Head(h *wire.ResponseHead) error {
	c.head = h
	c.tooLarge = h.GetContentLength() > maxStoredResponseBytes
	if err := c.ResponseSink.Head(h); err != nil {
		return c.markCallerGone()
	}
	return nil
}

// Write implements ResponseSink.
func (c *captureSink) Write(p []byte) (int, error) {
	if len(c.body)+len(p) > maxStoredResponseBytes {
		c.tooLarge = true
		c.body = nil
	}
	if !c.tooLarge {
		c.body = append(c.body, p...)
	}
	if c.callerGone {
		return len(p), c.markCallerGone()
	}
	if _, err := c.ResponseSink.Write(p); err != nil {
		return len(p), c.markCallerGone()
	}
	return len(p), nil
}

// errCallerGone stops a response that has no receiver and is too large to store.
var errCallerGone = errAborted.New("caller disconnected")

// markCallerGone records that the caller has disconnected, and returns an error
// if the rest of the response is not needed.
func (c *captureSink) markCallerGone() error {
	c.callerGone = true
	if c.tooLarge {
		return errCallerGone
	}
	return nil
}

// response returns the captured response, or nil if it is too large or missing.
func (c *captureSink) response() *storedResponse {
	if c.head == nil || c.tooLarge || proto.Size(c.head) > maxStoredResponseBytes {
		return nil
	}
	return &storedResponse{head: c.head, body: c.body}
}

package backend

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

// runOnce runs a request that is not idempotent and has an idempotency key, or
// answers it from the run that had the key first. The request is counted as in
// flight.
func (g *Gate) runOnce(ctx context.Context, r *run) *result.Error {
	now := time.Now()
	key, refusal := parseKey(r.head.GetIdempotencyKey(), now, g.table.limits.ClockBound)
	if refusal != nil {
		return refusal
	}
	id := idempotencyID{unit: shardOf(r.unit), customer: r.head.GetCustomer(), key: key}
	for {
		rec, first, refusal := g.table.begin(id, fingerprint(r.head), now, g.past(r, now))
		if refusal != nil {
			return refusal
		}
		if first {
			return g.runFirst(ctx, r, rec)
		}
		select {
		case <-rec.done:
		case <-ctx.Done():
			return g.waitedInVain(ctx)
		}
		if rec.refusal == nil || rec.refusal.Kind() != result.NotRun {
			return rec.repeat(r)
		}
		// The first run turned out not to have run: this one may take over.
	}
}

// waitedInVain is the result of a repetition whose first run has not ended.
// The request may be running, so it is not said to be not run.
func (g *Gate) waitedInVain(ctx context.Context) *result.Error {
	if endedBefore(ctx).Code == result.DeadlineBefore {
		return result.New(result.DeadlineAfter)
	}
	return result.New(result.CancelledAfter)
}

// runFirst runs the request and records the outcome. A caller that leaves is
// expected to ask again with its key, so the run is then not cancelled: it goes
// on to its deadline and its answer is kept.
func (g *Gate) runFirst(ctx context.Context, r *run, rec *record) *result.Error {
	c := &captureSink{ResponseSink: r.sink}
	r.sink = c
	r.detached = true
	refusal := g.runInSlot(ctx, r)
	g.table.finish(rec, refusal, c.answer())
	if refusal == nil && c.failed {
		return result.New(result.CancelledAfter)
	}
	return refusal
}

// repeat answers from the first run.
func (rec *record) repeat(r *run) *result.Error {
	switch {
	case rec.refusal != nil:
		return result.New(result.IdempotencyFirstFailed)
	case rec.kept == nil:
		return result.New(result.IdempotencyAnswerLarge)
	}
	head := proto.Clone(rec.kept.head).(*wire.ResponseHead)
	head.Id = r.head.GetId()
	if r.sink.Head(head) != nil {
		return result.New(result.CancelledAfter)
	}
	if _, err := r.sink.Write(rec.kept.body); err != nil {
		return result.New(result.CancelledAfter)
	}
	return nil
}

// captureSink keeps a small answer while it passes. If the caller is gone it
// still takes the rest of an answer that can be kept.
type captureSink struct {
	ResponseSink
	head   *wire.ResponseHead
	body   []byte
	large  bool
	failed bool
}

// Head implements ResponseSink.
func (c *captureSink) Head(h *wire.ResponseHead) error {
	c.head = h
	c.large = h.GetContentLength() > maxKeptAnswer
	if err := c.ResponseSink.Head(h); err != nil {
		return c.fail()
	}
	return nil
}

// Write implements ResponseSink.
func (c *captureSink) Write(p []byte) (int, error) {
	if len(c.body)+len(p) > maxKeptAnswer {
		c.large = true
		c.body = nil
	}
	if !c.large {
		c.body = append(c.body, p...)
	}
	if c.failed {
		return len(p), c.fail()
	}
	if _, err := c.ResponseSink.Write(p); err != nil {
		return len(p), c.fail()
	}
	return len(p), nil
}

// errCallerGone stops an answer that nobody takes and that is too large to keep.
var errCallerGone = errSealed.New("caller gone")

// fail notes that the caller is gone and says whether to stop.
func (c *captureSink) fail() error {
	c.failed = true
	if c.large {
		return errCallerGone
	}
	return nil
}

// answer returns what was captured, or nil.
func (c *captureSink) answer() *keptAnswer {
	if c.head == nil || c.large || proto.Size(c.head) > maxKeptAnswer {
		return nil
	}
	return &keptAnswer{head: c.head, body: c.body}
}

package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/control"
	"fulmarhinge/internal/platform"
)

// Limits of the calls to the platform.
const (
	// maxConcurrentCalls is the maximum number of calls in flight.
	maxConcurrentCalls = 64
)

// platformIO makes the platform calls that the control machine requests and
// posts their results as events.
type platformIO struct {
	store  platform.Store
	post   func(control.Event)
	log    hclog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	// callSlots limits the calls in flight to maxConcurrentCalls.
	callSlots chan struct{}

	mu          sync.Mutex
	cancelWatch context.CancelFunc
	// lastAnswerNs is the time of the last answer of the platform, in
	// nanoseconds since the Unix epoch; 0 before the first answer.
	lastAnswerNs atomic.Int64
}

func newPlatformIO(store platform.Store, post func(control.Event), log hclog.Logger) *platformIO {
	ctx, cancel := context.WithCancel(context.Background())
	return &platformIO{
		store: store, post: post, log: log.Named("platform"),
		ctx: ctx, cancel: cancel, callSlots: make(chan struct{}, maxConcurrentCalls),
	}
}

func (p *platformIO) close() { p.cancel() }

// startCall runs a call in its own goroutine, once fewer than
// maxConcurrentCalls are in flight.
func (p *platformIO) startCall(call func(ctx context.Context) control.Event) {
	go func() {
		select {
		case p.callSlots <- struct{}{}:
		case <-p.ctx.Done():
			return
		}
		defer func() { <-p.callSlots }()
		if e := call(p.ctx); p.ctx.Err() == nil {
			p.post(e)
		}
	}()
}

// recordResult records the time of an answer, or logs a failed call. A conflict
// or a missing object is an answer.
func (p *platformIO) recordResult(err error) {
	if err == nil || platform.ErrConflict.Has(err) || platform.ErrNotFound.Has(err) {
		p.lastAnswerNs.Store(time.Now().UnixNano())
		return
	}
	p.log.Warn("platform call failed", "error", err)
}

func (p *platformIO) write(w control.Write) {
	p.startCall(func(ctx context.Context) control.Event {
		version, err := p.store.Put(ctx, w.Key, w.ExpectedVersion, w.Value)
		p.recordResult(err)
		return control.WriteDone{ID: w.ID, Outcome: writeOutcome(err), Version: version}
	})
}

// writeOutcome returns the outcome of a write that returned err. Errors that do
// not prove whether the write was applied count as unknown.
func writeOutcome(err error) control.Outcome {
	switch {
	case err == nil:
		return control.Applied
	case platform.ErrConflict.Has(err):
		return control.Conflict
	case platform.ErrUnavailable.Has(err), platform.ErrTooLarge.Has(err):
		return control.NotApplied
	default:
		return control.OutcomeUnknown
	}
}

func (p *platformIO) read(key string) {
	p.startCall(func(ctx context.Context) control.Event {
		o, err := p.store.Get(ctx, key)
		p.recordResult(err)
		o.Key = key
		if platform.ErrNotFound.Has(err) {
			return control.ReadDone{Object: platform.Object{Key: key}}
		}
		return control.ReadDone{Object: o, Failed: err != nil}
	})
}

func (p *platformIO) list(prefix string) {
	p.startCall(func(ctx context.Context) control.Event {
		objects, err := p.store.List(ctx, prefix)
		p.recordResult(err)
		return control.Listed{Prefix: prefix, Objects: objects, Failed: err != nil}
	})
}

// setWatching starts or stops the watch of the platform. Each time the watch
// opens, the followed prefixes are listed, since a watch reports only later
// changes.
func (p *platformIO) setWatching(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on == (p.cancelWatch != nil) {
		return
	}
	if !on {
		p.cancelWatch()
		p.cancelWatch = nil
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.cancelWatch = cancel
	go p.runWatch(ctx)
}

func (p *platformIO) runWatch(ctx context.Context) {
	backoff := platform.DefaultBackoff()
	for failures := 1; ctx.Err() == nil; failures++ {
		err := p.store.Watch(ctx, "", p.relist, func(o platform.Object) {
			failures = 0
			p.lastAnswerNs.Store(time.Now().UnixNano())
			p.post(control.Observed{Objects: []platform.Object{o}})
		})
		if ctx.Err() != nil {
			return
		}
		p.log.Warn("platform watch failed", "error", err)
		_ = backoff.Sleep(ctx, max(failures, 1))
	}
}

// relist reads objects that may have changed while no watch was open.
func (p *platformIO) relist() {
	for _, prefix := range control.FollowedPrefixes() {
		p.list(prefix)
	}
}

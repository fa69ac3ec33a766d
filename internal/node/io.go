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
	// maxCalls is how many calls may be on their way at a time.
	maxCalls = 64
)

// platformIO carries out what the machine asks of the platform, and posts the
// answers as events.
type platformIO struct {
	store  platform.Store
	post   func(control.Event)
	log    hclog.Logger
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{}

	mu        sync.Mutex
	stopWatch context.CancelFunc
	// answered is when the platform last answered, in ns since the epoch.
	answered atomic.Int64
}

func newPlatformIO(store platform.Store, post func(control.Event), log hclog.Logger) *platformIO {
	ctx, cancel := context.WithCancel(context.Background())
	return &platformIO{
		store: store, post: post, log: log.Named("platform"),
		ctx: ctx, cancel: cancel, slots: make(chan struct{}, maxCalls),
	}
}

func (p *platformIO) close() { p.cancel() }

// start runs one call in a goroutine of its own, once there is room for it.
func (p *platformIO) start(call func(ctx context.Context) control.Event) {
	go func() {
		select {
		case p.slots <- struct{}{}:
		case <-p.ctx.Done():
			return
		}
		defer func() { <-p.slots }()
		if e := call(p.ctx); p.ctx.Err() == nil {
			p.post(e)
		}
	}()
}

func (p *platformIO) noteAnswer(err error) {
	if err == nil || platform.ErrConflict.Has(err) || platform.ErrNotFound.Has(err) {
		p.answered.Store(time.Now().UnixNano())
		return
	}
	p.log.Warn("call failed", "error", err)
}

func (p *platformIO) write(w control.Write) {
	p.start(func(ctx context.Context) control.Event {
		version, err := p.store.Put(ctx, w.Key, w.Expected, w.Value)
		p.noteAnswer(err)
		return control.WriteDone{ID: w.ID, Outcome: outcome(err), Version: version}
	})
}

// outcome says what an error of a write tells of it. Whatever is not surely
// one of the others counts as unknown.
func outcome(err error) control.Outcome {
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
	p.start(func(ctx context.Context) control.Event {
		o, err := p.store.Get(ctx, key)
		p.noteAnswer(err)
		o.Key = key
		if platform.ErrNotFound.Has(err) {
			return control.ReadDone{Object: platform.Object{Key: key}}
		}
		return control.ReadDone{Object: o, Failed: err != nil}
	})
}

func (p *platformIO) list(prefix string) {
	p.start(func(ctx context.Context) control.Event {
		objects, err := p.store.List(ctx, prefix)
		p.noteAnswer(err)
		return control.Listed{Prefix: prefix, Objects: objects, Failed: err != nil}
	})
}

// watch starts or stops the watch of the platform. A watch that was opened is
// followed by lists, since it carries only what changes from then on.
func (p *platformIO) watch(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on == (p.stopWatch != nil) {
		return
	}
	if !on {
		p.stopWatch()
		p.stopWatch = nil
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.stopWatch = cancel
	go p.keepWatching(ctx)
}

func (p *platformIO) keepWatching(ctx context.Context) {
	backoff := platform.DefaultBackoff()
	for failures := 1; ctx.Err() == nil; failures++ {
		err := p.store.Watch(ctx, "", p.relist, func(o platform.Object) {
			failures = 0
			p.answered.Store(time.Now().UnixNano())
			p.post(control.Observed{Objects: []platform.Object{o}})
		})
		if ctx.Err() != nil {
			return
		}
		p.log.Warn("watch broke", "error", err)
		_ = backoff.Sleep(ctx, max(failures, 1))
	}
}

// relist reads what may have changed while no watch was open.
func (p *platformIO) relist() {
	for _, prefix := range control.Prefixes() {
		p.list(prefix)
	}
}

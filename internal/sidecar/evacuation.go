package sidecar

import (
	"context"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/evacuation"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/platform"
)

const (
	// evacuationListInterval is the time between two lists of the evacuations, in case
	// the watch does not deliver a change. It leaves most of the 5 s in which an
	// evacuation takes effect to a change of the leader and the spread of the document.
	evacuationListInterval = 1200 * time.Millisecond
	// evacuationRetryInterval is the time between two lists after one that failed.
	evacuationRetryInterval = 300 * time.Millisecond
	// evacuationIdleInterval is the time after which a node that does not read the
	// evacuations checks whether its settings ask for it.
	evacuationIdleInterval = time.Second
)

var evacuationListErrors = metrics.NewCounter("fulmarhinge_evacuation_list_errors_total")

// evacuationReader reads the zones under evacuation from the platform while this node
// leads. Events of a watch only cause another list, as they may be skipped or repeated.
type evacuationReader struct {
	node *Node
	// changed is signalled on a change of the leader and on an event of the watch.
	changed chan struct{}
	leads   bool
	// failing is true after a list that failed, so that an outage is logged once.
	failing bool
}

func newEvacuationReader(n *Node) *evacuationReader {
	return &evacuationReader{node: n, changed: make(chan struct{}, 1)}
}

// leaderChanged tells the reader that this node may have begun or ceased to lead. Only
// the control goroutine calls it.
func (e *evacuationReader) leaderChanged() {
	if leads := e.node.gauges.isLeader.Load(); leads != e.leads {
		e.leads = leads
		e.signal()
	}
}

func (e *evacuationReader) signal() {
	select {
	case e.changed <- struct{}{}:
	default:
		// The reader has not handled the signal before this one yet, and lists after it.
	}
}

func (e *evacuationReader) active() bool {
	return e.node.gauges.isLeader.Load() && e.node.settings.Load().Bounds.EvacuationSeconds > 0
}

// run reads the evacuations until ctx ends, while this node leads.
func (e *evacuationReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if e.active() {
			e.lead(ctx)
			continue
		}
		e.wait(ctx, evacuationIdleInterval)
	}
}

func (e *evacuationReader) wait(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-e.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lead watches and lists until this node no longer leads.
func (e *evacuationReader) lead(ctx context.Context) {
	watchCtx, cancel := context.WithCancel(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.watch(watchCtx)
	}()
	for e.active() && ctx.Err() == nil {
		interval := evacuationListInterval
		if !e.list(ctx) {
			interval = evacuationRetryInterval
		}
		e.wait(ctx, interval)
	}
	cancel()
	<-stopped
}

// watch signals each change until ctx ends. A watch that breaks is opened again.
func (e *evacuationReader) watch(ctx context.Context) {
	backoff := platform.DefaultBackoff()
	backoff.Max = maxWatchBackoff
	for failures := 1; ctx.Err() == nil; failures++ {
		err := e.node.adapter.Store.Watch(ctx, e.node.adapter.EvacuationPrefix,
			func() { failures = 0; e.signal() }, func(platform.Object) { e.signal() })
		if err != nil && ctx.Err() == nil {
			e.node.log.Debug("watch of the evacuations ended", "error", err)
		}
		if backoff.Sleep(ctx, max(failures, 1)) != nil {
			return
		}
	}
}

// list passes the zones under evacuation to the state machine, and reports whether it
// could read them.
func (e *evacuationReader) list(ctx context.Context) bool {
	era, sent := e.node.adapter.Era(), clock.Now()
	objects, err := e.node.adapter.Store.List(ctx, e.node.adapter.EvacuationPrefix)
	if platform.ErrNotFound.Has(err) {
		// The store knows no object of the kind.
		objects, err = nil, nil
	}
	e.record(ctx, err)
	if err != nil || e.node.adapter.Era() != era {
		// A list during which the era changed may be of either era.
		return false
	}
	zones := make([]string, 0, len(objects))
	for _, o := range objects {
		zones = append(zones, strings.TrimPrefix(o.Key, e.node.adapter.EvacuationPrefix))
	}
	e.node.loop.enqueue(fleet.EvacuationsListed{Listing: evacuation.Listing{Zones: zones, Era: era, SentAt: sent}})
	return true
}

// record counts a failed list, and logs when lists begin and cease to fail.
func (e *evacuationReader) record(ctx context.Context, err error) {
	switch {
	case ctx.Err() != nil:
		return
	case err != nil && !e.failing:
		e.node.log.Warn("platform lost", "for", "evacuations", "error", err)
	case err == nil && e.failing:
		e.node.log.Info("platform regained", "for", "evacuations")
	}
	if err != nil {
		evacuationListErrors.Inc()
	}
	e.failing = err != nil
}

// evacuatedZones returns the zones under evacuation that this node knows of.
func (n *Node) evacuatedZones() []string {
	if v := n.view.Load(); v != nil {
		return v.Doc.Evacuations
	}
	return nil
}

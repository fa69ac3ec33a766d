package sidecar

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/ingress"
	"fulmarhinge/internal/logging"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/wire"
)

const (
	// tickInterval is the resolution of all timers of the control goroutine.
	tickInterval = 40 * time.Millisecond
	// loadSampleInterval is the interval between two load samples.
	loadSampleInterval = 400 * time.Millisecond
	// eventQueueSize is the capacity of the control goroutine's event queue.
	eventQueueSize = 1024
	// writeResolveTimeout limits a write, including the reads and retries that
	// determine its outcome if the response is lost.
	writeResolveTimeout = 4 * time.Second
	// resolveBackoffBase and resolveBackoffMax bound the backoff between two attempts.
	resolveBackoffBase = 40 * time.Millisecond
	resolveBackoffMax  = 300 * time.Millisecond
	// probeSilence is the time without a liveness report after which the backend
	// server's address is probed, and probeInterval the time between two probes.
	probeSilence  = 1200 * time.Millisecond
	probeInterval = 300 * time.Millisecond
	// probeTimeout limits one probe; the server is on the same VM.
	probeTimeout = 200 * time.Millisecond
	// longControlDelay is the delay of a tick above which it is logged, at most once
	// in controlDelayLogInterval. Peers take a leader that is late by more for silent.
	longControlDelay        = 300 * time.Millisecond
	controlDelayLogInterval = time.Second
)

// controlLoop is the control goroutine, which owns the fleet state machine.
type controlLoop struct {
	node       *Node
	events     chan fleet.Event
	calls      chan func()
	done       chan struct{}
	lastSample time.Time
	lastReport time.Time
	lastProbe  time.Time
	lastTick   time.Time
	// delayLoggedAt is when a late tick was last logged.
	delayLoggedAt time.Time
	// usage is what the process had used at usageAt, the last load sample.
	usage      processUsage
	usageAt    time.Time
	lastNotice fleet.ServerNotice
	handovers  handoverTimer
	// platformLost is true while reads and writes of the fleet document fail.
	platformLost bool
	// suspectsLoaded is true once the suspects of the first document are known.
	suspectsLoaded bool
	// suspectsChanged holds a signal if the table of suspects has changed since the state
	// machine was told of it.
	suspectsChanged chan struct{}
}

func newControlLoop(n *Node) *controlLoop {
	return &controlLoop{
		node: n, events: make(chan fleet.Event, eventQueueSize), calls: make(chan func()), done: make(chan struct{}),
		suspectsChanged: make(chan struct{}, 1),
	}
}

// enqueue adds an event to the queue; it blocks while the queue is full.
func (l *controlLoop) enqueue(e fleet.Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// enqueueLater is enqueue for callers that hold a lock which the control goroutine takes: it
// does not block. Events may then arrive in another order.
func (l *controlLoop) enqueueLater(e fleet.Event) {
	select {
	case l.events <- e:
	default:
		go l.enqueue(e)
	}
}

// enqueueMessage adds a peer's message to the queue, or drops it if the queue is full:
// peers resend important messages.
func (l *controlLoop) enqueueMessage(from cluster.MemberRef, m *wire.Control) {
	select {
	case l.events <- fleet.Message{From: from, Body: m}:
	default:
	}
}

// runSync runs f on the control goroutine and waits for it. It reports false if the
// control goroutine has ended.
func (l *controlLoop) runSync(f func()) bool {
	finished := make(chan struct{})
	select {
	case l.calls <- func() { defer close(finished); f() }:
		<-finished
		return true
	case <-l.done:
		return false
	}
}

// handleReport handles a liveness report of the backend server. A report that is not
// recorded is not acknowledged either.
func (l *controlLoop) handleReport(r fleet.Report) fleet.Grant {
	g := fleet.Grant{Stale: true}
	l.runSync(func() {
		g = l.node.machine.Report(clock.Now(), r)
		if g.Stale {
			reportsStale.Inc()
			l.node.decisions.Named("fleet").Info("stale or out-of-sequence liveness report", "id", r.ID, "born", r.StartedMs, "seq", r.Seq)
			return
		}
		if !l.lastReport.IsZero() {
			reportSeconds.Update(time.Since(l.lastReport).Seconds())
		}
		if g.Renews {
			grantsMade.Inc()
			l.handovers.complete(g.Rows)
			l.node.gauges.rowsHeld.Store(int64(len(g.Rows)))
		}
		l.lastReport = time.Now()
		server := l.node.machine.Server()
		since, _ := l.leavingSince(server.Instance)
		l.node.gate.ReportCold(server.Instance, r.ColdLeft)
		l.node.gate.SetServer(&server, since)
	})
	return g
}

// handleDeregistration handles the backend server's announcement that it is leaving. It
// reports whether that is recorded.
func (l *controlLoop) handleDeregistration(d fleet.Deregistration) bool {
	recorded := false
	l.runSync(func() {
		l.node.machine.Deregister(clock.Now(), d)
		l.markLeaving()
		recorded = true
	})
	return recorded
}

// markLeaving tells the gate if the server that it has is known to be leaving.
func (l *controlLoop) markLeaving() {
	instance := l.serverInstance()
	if since, left := l.leavingSince(instance); left {
		l.node.gate.MarkLeaving(instance, since)
	}
}

// leavingSince returns since when a server instance is known to be leaving.
func (l *controlLoop) leavingSince(instance fleet.Instance) (time.Time, bool) {
	since, left := l.node.machine.LeavingSince(instance)
	return time.Now().Add(-clock.Now().Sub(since)), left
}

// notifyBackendDown queues the event that the backend server's address refuses
// connections, or drops it if the queue is full.
func (l *controlLoop) notifyBackendDown() {
	select {
	case l.events <- fleet.ServerDown{Instance: l.serverInstance()}:
	default:
	}
}

// serverInstance returns the instance of the backend server on this VM, or the zero
// value if there is none.
func (l *controlLoop) serverInstance() fleet.Instance {
	if s := l.node.gate.Server(); s != nil {
		return s.Instance
	}
	return fleet.Instance{}
}

// run processes events, calls and ticks until ctx ends.
func (l *controlLoop) run(ctx context.Context) {
	defer close(l.done)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.calls:
			l.contained(f)
		case e := <-l.events:
			l.contained(func() { l.step(e) })
		case <-l.suspectsChanged:
			l.contained(l.stepSuspects)
		case <-t.C:
			l.tick()
		}
		l.processReady(ctx)
	}
}

// contained handles one input. A panic on an input that was not foreseen must not end
// the process, and with it the service of all other keys.
func (l *controlLoop) contained(f func()) {
	defer logging.ContainPanic(l.node.log, "in", "control goroutine")
	f()
}

func (l *controlLoop) step(e fleet.Event) {
	switch e := e.(type) {
	case fleet.DocumentRead:
		l.recordPlatformResult(e.Err)
	case fleet.DocumentWritten:
		if !platform.ErrConflict.Has(e.Err) {
			l.recordPlatformResult(e.Err)
		}
	}
	if serverDown, ok := e.(fleet.ServerDown); ok && serverDown.Instance == l.serverInstance() && serverDown.Instance.StartedMs != 0 {
		l.node.log.Warn("backend server down", "id", serverDown.Instance.ID, "born", serverDown.Instance.StartedMs)
		l.node.gate.SetServer(nil, time.Time{})
	}
	l.node.machine.Step(clock.Now(), e)
}

// recordPlatformResult tracks whether reads and writes of the fleet document succeed,
// and logs each change.
func (l *controlLoop) recordPlatformResult(err error) {
	switch {
	case err != nil && !l.platformLost:
		l.node.log.Warn("platform lost", "for", "fleet document", "error", err)
		l.node.recordEvent("platform lost", []any{"error", err})
	case err == nil && l.platformLost:
		l.node.log.Info("platform regained", "for", "fleet document")
		l.node.recordEvent("platform regained", nil)
	}
	l.platformLost = err != nil
}

// recordDelay records how late a tick is: the process lacked processor time, or events
// took long to handle.
func (l *controlLoop) recordDelay(now time.Time) {
	last := l.lastTick
	l.lastTick = now
	if last.IsZero() {
		return
	}
	delay := max(now.Sub(last)-tickInterval, 0)
	controlDelay.Update(delay.Seconds())
	if delay > longControlDelay && now.Sub(l.delayLoggedAt) > controlDelayLogInterval {
		l.delayLoggedAt = now
		args := []any{"delay_ms", delay.Milliseconds(), "queued_events", len(l.events), "leads", l.node.machine.Leads(),
			"used_in_ms", now.Sub(l.usageAt).Milliseconds()}
		l.node.log.Warn("control goroutine delayed", append(args, readUsage().logArgs(l.usage)...)...)
	}
}

func (l *controlLoop) tick() {
	now := time.Now()
	l.recordDelay(now)
	l.node.ingress.Heartbeat()
	if now.Sub(l.lastSample) >= loadSampleInterval {
		l.lastSample = now
		l.usage, l.usageAt = readUsage(), now
		spans, meanWork := l.node.gate.Sample()
		l.node.machine.Step(clock.Now(), fleet.LoadSampled{Spans: spans, MeanServiceTime: meanWork})
		l.node.ingress.Flush()
		l.stepSuspects()
	}
	if notice := l.node.gate.Notice(); notice != l.lastNotice || notice.Limited || notice.Leaving || notice.ColdLeft > 0 {
		l.lastNotice = notice
		l.node.machine.Step(clock.Now(), notice)
	}
	l.probeBackend(now)
	l.node.machine.Step(clock.Now(), fleet.Tick{})
}

// notifySuspectsChanged makes the control goroutine pass a change of the table of suspects
// to the state machine.
func (l *controlLoop) notifySuspectsChanged() {
	select {
	case l.suspectsChanged <- struct{}{}:
	default:
	}
}

// stepSuspects passes what is known of requests under which backend servers have ended
// to the state machine.
func (l *controlLoop) stepSuspects() {
	now, table := clock.Now(), l.node.suspects
	l.node.machine.Step(now, fleet.SuspectsChanged{
		Digest: table.Digest(now), Stored: table.StoredEntries(now), Complete: l.suspectsLoaded, Ends: table.Learned(),
	})
	l.node.machine.Step(now, fleet.Tick{})
}

// probeBackend connects to a backend server that has stopped reporting: a refused
// connection means that its process has ended.
func (l *controlLoop) probeBackend(now time.Time) {
	if l.node.gate.Server() == nil || now.Sub(l.lastReport) < probeSilence || now.Sub(l.lastProbe) < probeInterval {
		return
	}
	l.lastProbe = now
	go func() {
		conn, err := net.DialTimeout("tcp", l.node.settings.Load().BackendAddress, probeTimeout)
		if err == nil {
			_ = conn.Close()
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.notifyBackendDown()
		}
	}()
}

// processReady carries out the pending output of the state machine. It publishes the
// held rows and the view before it sends messages and starts reads or writes.
func (l *controlLoop) processReady(ctx context.Context) {
	n := l.node
	r := n.machine.Ready()
	if r.Held != nil {
		n.gate.SetHeld(r.Held)
	}
	if r.Document != nil {
		l.markLeaving()
		if !l.suspectsLoaded {
			n.suspects.Merge(clock.Now(), r.Document.Suspects)
			l.suspectsLoaded = true
		}
		v := ingress.NewView(r.Document, r.Version)
		n.view.Store(v)
		n.ingress.SetView(v)
		n.ingress.SetRetryShare(l.retryShare(len(r.Document.Members)))
		n.gate.SetZoneEvacuated(r.Document.IsEvacuated(n.settings.Load().Zone))
		n.gate.Wake()
		l.handovers.update(r.Document, n.self.Name, r.Held)
		n.gauges.documentVersion.Store(r.Version)
	}
	n.gauges.leaseUntil.Store(int64(n.machine.LeaseUntil()))
	n.gauges.isLeader.Store(n.machine.Leads())
	n.evacuator.leaderChanged()
	n.gauges.forwardsConfig.Store(n.machine.ForwardsConfig())
	n.config.setWatches(n.machine.WatchesConfig())
	for _, note := range r.Notes {
		args := formatArgs(note.Args)
		n.decisions.Named("fleet").Info(note.Text, args...)
		n.recordEvent(note.Text, args)
	}
	for _, m := range r.Messages {
		n.transport.Send(m.Addr, m.Body)
	}
	for _, d := range r.Configs {
		n.config.syncPeer(d)
	}
	for _, addr := range r.Suspects {
		n.spreader.syncPeer(addr)
	}
	if r.Read {
		go l.readDocument(ctx)
	}
	if r.ReadConfig {
		go n.config.read(ctx)
	}
	if r.Write != nil {
		go l.writeDocument(ctx, r.Write)
	}
}

func (l *controlLoop) retryShare(nodes int) ingress.RetryShare {
	b := l.node.settings.Load().Bounds
	return ingress.RetryShare{Ratio: b.RetryRatio, Extra: b.RetryExtra, Window: secondsToDuration(b.RetryWindowSeconds), Nodes: nodes}
}

// maxEarlierEras bounds how many earlier eras are searched for a document.
const maxEarlierEras = 8

// readDocument reads the fleet document of the store's era. If there is none, it reads
// the last one of an earlier era that the store's copy contains.
func (l *controlLoop) readDocument(ctx context.Context) {
	sent := clock.Now()
	era := l.node.adapter.Era()
	o, err := l.getDocument(ctx, era)
	if now := l.node.adapter.Era(); err == nil && now != era {
		// The response was the first one of a later era, which has another key.
		era = now
		o, err = l.getDocument(ctx, era)
	}
	for e := era; err == nil && o.Version == 0 && e > 1 && era-e < maxEarlierEras; {
		e--
		o, err = l.getDocument(ctx, e)
		o.Version = platform.NewVersion(e, platform.RevisionOf(o.Version))
		if platform.RevisionOf(o.Version) == 0 {
			o.Version = 0
		}
	}
	if err == nil {
		l.node.gauges.lastPlatformRead.Store(int64(clock.Now()))
	}
	l.enqueue(fleet.DocumentRead{Object: o, Era: era, SentAt: sent, Err: err})
}

// getDocument reads the document of an era; its version is 0 if it does not exist.
func (l *controlLoop) getDocument(ctx context.Context, era uint64) (platform.Object, error) {
	o, err := l.node.adapter.Store.Get(ctx, fleet.StoreKey(era))
	if platform.ErrNotFound.Has(err) {
		return platform.Object{}, nil
	}
	return o, err
}

func (l *controlLoop) writeDocument(ctx context.Context, w *fleet.Write) {
	sent := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, writeResolveTimeout)
	defer cancel()
	backoff := platform.DefaultBackoff()
	backoff.Base, backoff.Max = resolveBackoffBase, resolveBackoffMax
	version, err := platform.PutAndResolve(ctx, l.node.adapter.Store, backoff, fleet.StoreKey(w.Era), w.Expected, w.Value, fleet.ChangeIDOf)
	l.enqueue(fleet.DocumentWritten{Version: version, SentAt: sent, Err: err})
}

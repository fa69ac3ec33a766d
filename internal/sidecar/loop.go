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
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/wire"
)

const (
	// tickEvery is the resolution of all waits of the control goroutine.
	tickEvery = 40 * time.Millisecond
	// sampleEvery is the time between two samples of the load.
	sampleEvery = 400 * time.Millisecond
	// eventQueue is how many events may wait for the control goroutine.
	eventQueue = 1024
	// settleFor bounds how long a write without an answer is settled.
	settleFor = 4 * time.Second
	// settleBase and settleMax bound the waits between two tries.
	settleBase = 40 * time.Millisecond
	settleMax  = 300 * time.Millisecond
	// probeAfter is the silence after which the backend server's address is
	// tried, and probeEvery the time between two tries.
	probeAfter = 1200 * time.Millisecond
	probeEvery = 300 * time.Millisecond
	// probeTimeout bounds one try; the server is on the same VM.
	probeTimeout = 200 * time.Millisecond
)

// loop runs the control goroutine, which owns the machine.
type loop struct {
	node     *Node
	events   chan fleet.Event
	calls    chan func()
	done     chan struct{}
	sampled  time.Time
	reported time.Time
	probed   time.Time
	gaps     gaps
	// away is true while the platform does not answer for the document.
	away bool
}

func newLoop(n *Node) *loop {
	return &loop{node: n, events: make(chan fleet.Event, eventQueue), calls: make(chan func()), done: make(chan struct{})}
}

// post queues an event; it waits while the queue is full.
func (l *loop) post(e fleet.Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// postMessage queues a peer's message, or drops it if the queue is full: peers
// send again what matters.
func (l *loop) postMessage(from cluster.MemberRef, m *wire.Control) {
	select {
	case l.events <- fleet.Message{From: from, Body: m}:
	default:
	}
}

// call runs f on the control goroutine; it reports false if that has ended.
func (l *loop) call(f func()) bool {
	ran := make(chan struct{})
	select {
	case l.calls <- func() { f(); close(ran) }:
		<-ran
		return true
	case <-l.done:
		return false
	}
}

// report answers a liveness report.
func (l *loop) report(r fleet.Report) fleet.Grant {
	var g fleet.Grant
	ok := l.call(func() {
		g = l.node.machine.Report(clock.Now(), r)
		if g.Stale {
			reportsStale.Inc()
			l.node.decisions.Named("fleet").Info("report of an earlier life or out of turn", "id", r.ID, "born", r.Born, "seq", r.Seq)
			return
		}
		if !l.reported.IsZero() {
			reportSeconds.Update(time.Since(l.reported).Seconds())
		}
		if g.Renews {
			grantsMade.Inc()
			l.gaps.granted(g.Rows)
			l.node.gauges.rows.Store(int64(len(g.Rows)))
		}
		l.reported = time.Now()
		l.node.gate.SetServer(&fleet.Server{Life: r.Life, Service: r.Service, Slots: r.Slots, Ready: r.Ready})
	})
	if !ok {
		return fleet.Grant{Stale: true}
	}
	return g
}

// depart takes the word of the backend server that it leaves.
func (l *loop) depart(id string) bool {
	known := false
	l.call(func() {
		if known = l.node.machine.Depart(clock.Now(), id); known {
			l.node.gate.Leave()
		}
	})
	return known
}

// backendDown is told that the backend server's address refuses connections.
func (l *loop) backendDown() {
	select {
	case l.events <- fleet.ServerDown{Life: l.currentLife()}:
	default:
	}
}

func (l *loop) currentLife() fleet.Life {
	if s := l.node.gate.Server(); s != nil {
		return s.Life
	}
	return fleet.Life{}
}

// run is the control goroutine.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.calls:
			f()
		case e := <-l.events:
			l.step(e)
		case <-t.C:
			l.tick()
		}
		l.carryOut(ctx)
	}
}

func (l *loop) step(e fleet.Event) {
	switch e := e.(type) {
	case fleet.DocumentRead:
		l.reached(e.Err)
	case fleet.DocumentWritten:
		if !platform.ErrConflict.Has(e.Err) {
			l.reached(e.Err)
		}
	}
	if down, ok := e.(fleet.ServerDown); ok && down.Life == l.currentLife() && down.Life.Born != 0 {
		l.node.log.Warn("backend server down", "id", down.Life.ID, "born", down.Life.Born)
		l.node.gate.SetServer(nil)
	}
	l.node.machine.Step(clock.Now(), e)
}

// reached notes whether the platform answered for the fleet's document.
func (l *loop) reached(err error) {
	switch {
	case err != nil && !l.away:
		l.node.log.Warn("platform lost", "for", "fleet document", "error", err)
		l.node.record("platform lost", []any{"error", err})
	case err == nil && l.away:
		l.node.log.Info("platform regained", "for", "fleet document")
		l.node.record("platform regained", nil)
	}
	l.away = err != nil
}

func (l *loop) tick() {
	now := time.Now()
	l.node.entry.Alive()
	if now.Sub(l.sampled) >= sampleEvery {
		l.sampled = now
		spans, mean := l.node.gate.Sample()
		l.node.machine.Step(clock.Now(), fleet.LoadSampled{Spans: spans, Work: mean})
		l.node.entry.Flush()
	}
	l.probe(now)
	l.node.machine.Step(clock.Now(), fleet.Tick{})
}

// probe tries the address of a backend server that has stopped reporting: a
// refused connection says that its process has ended.
func (l *loop) probe(now time.Time) {
	if l.node.gate.Server() == nil || now.Sub(l.reported) < probeAfter || now.Sub(l.probed) < probeEvery {
		return
	}
	l.probed = now
	go func() {
		conn, err := net.DialTimeout("tcp", l.node.settings.Load().BackendAddress, probeTimeout)
		if err == nil {
			_ = conn.Close()
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.backendDown()
		}
	}()
}

// carryOut publishes what has changed before anything else is acted on.
func (l *loop) carryOut(ctx context.Context) {
	n := l.node
	r := n.machine.Ready()
	if r.Held != nil {
		n.gate.SetHeld(r.Held)
	}
	if r.View != nil {
		v := ingress.NewView(r.View, r.Version)
		n.view.Store(v)
		n.entry.SetView(v)
		n.entry.SetBudget(l.share(len(r.View.Members)))
		n.gate.Wake()
		l.gaps.learned(r.View, n.self.Name, r.Held)
		n.gauges.document.Store(r.Version)
	}
	n.gauges.lease.Store(int64(n.machine.LeaseUntil()))
	n.gauges.leads.Store(n.machine.Leads())
	for _, note := range r.Notes {
		args := noteArgs(note.Args)
		n.decisions.Named("fleet").Info(note.Text, args...)
		n.record(note.Text, args)
	}
	for _, m := range r.Messages {
		n.transport.Send(m.Addr, m.Body)
	}
	for _, d := range r.Configs {
		n.config.differs(d)
	}
	if r.Read {
		go l.read(ctx)
	}
	if r.Write != nil {
		go l.write(ctx, r.Write)
	}
}

func (l *loop) share(nodes int) ingress.Share {
	b := l.node.settings.Load().Bounds
	return ingress.Share{Ratio: b.RetryRatio, Extra: b.RetryExtra, Window: duration(b.RetryWindow), Nodes: nodes}
}

func (l *loop) read(ctx context.Context) {
	sent := clock.Now()
	o, err := l.node.outside.Store.Get(ctx, fleet.DocumentKey)
	if platform.ErrNotFound.Has(err) {
		o, err = platform.Object{Key: fleet.DocumentKey}, nil
	}
	if err == nil {
		l.node.gauges.answered.Store(int64(clock.Now()))
	}
	l.post(fleet.DocumentRead{Object: o, SentAt: sent, Err: err})
}

func (l *loop) write(ctx context.Context, w *fleet.Write) {
	sent := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, settleFor)
	defer cancel()
	backoff := platform.DefaultBackoff()
	backoff.Base, backoff.Max = settleBase, settleMax
	version, err := platform.PutSettled(ctx, l.node.outside.Store, backoff, fleet.DocumentKey, w.Expected, w.Value, fleet.ChangeIDOf)
	l.post(fleet.DocumentWritten{Version: version, SentAt: sent, Err: err})
}

// Package sidecar runs a node beside a backend server that enforces its own
// hold: it puts the parts together and runs the control goroutine.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/gate"
	"fulmarhinge/internal/ingress"
	"fulmarhinge/internal/operator"
	"fulmarhinge/internal/peer"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/route"
	"fulmarhinge/internal/timeline"
	"fulmarhinge/internal/upstream"
	"fulmarhinge/internal/wire"
)

// Outside is what the node knows of the platform that it runs on.
type Outside struct {
	Store platform.Store
	// ConfigKey is the object that holds the operator's configuration, and
	// DecodeConfig reads it.
	ConfigKey    string
	DecodeConfig func(value []byte) (*route.Config, error)
	Callers      ingress.Headers
	Servers      upstream.Headers
	// ReadyPath is asked whether the node is ready.
	ReadyPath string
	// Reports returns the handler of the calls that the backend server makes.
	Reports func(ReportCalls) http.Handler
}

// ReportCalls is what the backend server's calls lead to.
type ReportCalls struct {
	Address, Service string
	Report           func(fleet.Report) fleet.Grant
	Depart           func(id string) bool
	Refused          func(why string)
}

// Node is one running node.
type Node struct {
	settings atomic.Pointer[Settings]
	outside  Outside
	log      hclog.Logger
	// decisions takes lines that are bounded where they are made.
	decisions hclog.Logger
	self      cluster.MemberRef

	machine   *fleet.Machine
	loop      *loop
	transport *peer.Transport
	client    *upstream.Client
	gate      *gate.Gate
	entry     *ingress.Server
	config    *configKeeper
	view      atomic.Pointer[ingress.View]
	gauges    gauges
	metrics   *metrics.Set
	// events holds the newest decisions of the control goroutine.
	events *timeline.Ring
	// drain begins the planned stop.
	drain     context.CancelFunc
	stopping  atomic.Bool
	listeners []net.Listener
	operator  *operator.Server
	serving   sync.WaitGroup
}

const (
	// memoryPart is the part of the memory limit at which the collector works
	// harder; the rest is for what the kernel holds for sockets.
	memoryPart = 0.55
	// collectAt lets the heap grow before a collection: it is small.
	collectAt = 150
)

// Run runs a node until ctx ends, and then stops it within the grace. Changes of
// the settings file at path are taken over; an empty path is not watched.
//
// Lines on decisions go to decisions as they are; log bounds repeated ones.
func Run(ctx context.Context, path string, s *Settings, o Outside, log, decisions hclog.Logger) error {
	debug.SetMemoryLimit(int64(memoryPart * float64(s.Resources.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(collectAt)
	n := newNode(s, o, log, decisions)
	ctx, n.drain = context.WithCancel(ctx)
	defer n.drain()
	if err := n.listen(); err != nil {
		return err
	}
	live, cancel := context.WithCancel(context.Background())
	defer cancel()
	go n.loop.run(live)
	go n.config.run(live)
	if path != "" {
		go n.reload(live, path)
	}
	n.serve(live)
	log.Info("node started", "member", n.self.String(), "zone", s.Zone, "service", s.Service,
		"callers", s.Listen.Callers, "peers", s.Listen.Peers, "backend", s.BackendAddress)
	<-ctx.Done()
	n.stop(cancel)
	return nil
}

func newNode(s *Settings, o Outside, log, decisions hclog.Logger) *Node {
	now := time.Now()
	n := &Node{
		outside: o, log: log, decisions: decisions, metrics: metrics.NewSet(),
		self: cluster.MemberRef{Name: s.Name, Incarnation: uint64(now.UnixNano())},
	}
	n.settings.Store(s)
	n.events = timeline.NewRing(n.self, keptEvents, timeline.NewClock(time.Now))
	timing := fleet.DefaultTiming()
	timing.MaxHold = duration(s.Bounds.MaxHold)
	n.machine = fleet.New(clock.Now(), fleet.Params{
		Self: n.self, Addr: s.Listen.peerAddress(), Zone: s.Zone, Weight: s.Resources.CPUShare * s.Resources.LinkMbps,
		Operator: s.Listen.Metrics, Nonce: fmt.Sprintf("%x", now.UnixNano()), Timing: timing,
	})
	n.loop = newLoop(n)
	n.client = upstream.NewClient(s.BackendAddress, o.Servers)
	n.gate = gate.New(gate.Config{Client: n.client, Logger: log, Owns: n.owns, Down: n.loop.backendDown,
		LinkMbps: s.Resources.LinkMbps, Drain: duration(s.Bounds.Drain)})
	n.transport = peer.New(peer.Config{
		Fleet: "fleet", Self: n.self, Listen: s.Listen.Peers, DialFrom: s.Listen.PeersFrom, Logger: log,
	}, n.onControl, n.gate.ServeStream)
	n.entry = ingress.New(ingress.Config{
		Self: n.self, Zone: s.Zone, Service: s.Service, Headers: o.Callers, Gate: n.gate, Peers: n.transport, Logger: log,
		Decisions: decisions,
	})
	n.entry.SampleServed(s.Log.ServedOneIn)
	n.config = newConfigKeeper(n)
	n.register()
	return n
}

// owns reports whether the fleet's document gives a key to this node.
func (n *Node) owns(service string, key int) bool {
	v := n.view.Load()
	if v == nil {
		return false
	}
	t := v.Doc.Tables[service]
	i := t.Locate(key)
	return i >= 0 && t[i].Owner == n.self.Name && t[i].Next == ""
}

func (n *Node) onControl(from cluster.MemberRef, m *wire.Control) {
	if n.config.message(from, m) {
		return
	}
	n.loop.postMessage(from, m)
}

// listen binds everything before anything is served.
func (n *Node) listen() error {
	if err := n.transport.Listen(); err != nil {
		return err
	}
	l := n.settings.Load().Listen
	for _, addr := range []string{l.Callers, l.Reports, l.Ready} {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		n.listeners = append(n.listeners, ln)
	}
	op, err := operator.New(operator.Config{Listen: l.Metrics, Metrics: n.metrics}, n, n.log)
	if err != nil {
		// Requests are served without it.
		n.log.Error("no endpoint for operators and metrics", "error", err)
		return nil
	}
	n.operator = op
	return nil
}

const (
	// controlHeaderTime bounds the calls of the backend server and platform.
	controlHeaderTime = 5 * time.Second
	controlIdle       = 30 * time.Second
)

// serve starts the servers on the bound listeners.
func (n *Node) serve(ctx context.Context) {
	n.start("peers", func() error { return n.transport.Serve(ctx) })
	n.start("callers", func() error { return n.entry.Serve(n.listeners[0]) })
	reports := n.outside.Reports(ReportCalls{
		Address: n.settings.Load().BackendAddress, Service: n.settings.Load().Service,
		Report: n.loop.report, Depart: n.loop.depart,
		Refused: func(why string) {
			reportsBad.Inc()
			n.log.Warn("report of the backend server refused", "why", why)
		},
	})
	if n.operator != nil {
		n.start("operators", func() error { return n.operator.Run(ctx) })
	}
	handlers := []http.Handler{reports, http.HandlerFunc(n.readiness)}
	for i, h := range handlers {
		srv := &http.Server{Handler: h, ReadHeaderTimeout: controlHeaderTime, IdleTimeout: controlIdle}
		ln := n.listeners[i+1]
		context.AfterFunc(ctx, func() { _ = srv.Close() })
		n.start(ln.Addr().String(), func() error { return srv.Serve(ln) })
	}
}

// start runs a server until it ends, and logs an end that was not asked for.
func (n *Node) start(what string, serve func() error) {
	n.serving.Add(1)
	go func() {
		defer n.serving.Done()
		if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) && !n.stopping.Load() {
			n.log.Error("server ended", "server", what, "error", err)
		}
	}()
}

func (n *Node) readiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != n.outside.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !n.entry.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

const (
	// stopPoll is the time between two looks at what is in flight.
	stopPoll = 20 * time.Millisecond
	// quietFor is how long nothing must have been in flight before the node
	// ends: callers may have requests on the way.
	quietFor = 400 * time.Millisecond
	// refusePart is the part of the grace after which new requests of callers
	// are refused, so that those before them can end.
	refusePart = 0.5
	// stopReserve is left of the grace for closing.
	stopReserve = 400 * time.Millisecond
	// stayFor is how long the node serves on at least: callers learn that it is
	// not ready by asking twice, a second apart.
	stayFor = 2300 * time.Millisecond
)

// stop ends the node: not ready at once, everything in flight is answered.
func (n *Node) stop(cancel context.CancelFunc) {
	begun := time.Now()
	n.stopping.Store(true)
	n.entry.Stop()
	n.loop.post(fleet.StopRequested{})
	n.log.Info("node stops", "in_flight", n.entry.InFlight(), "at_gate", n.gate.InFlight())
	grace := duration(n.settings.Load().Bounds.Grace)
	end := begun.Add(grace - stopReserve)
	quiet := time.Now()
	for time.Now().Before(end) && (time.Since(quiet) < quietFor || time.Since(begun) < stayFor) {
		time.Sleep(stopPoll)
		if time.Since(begun) > time.Duration(refusePart*float64(grace)) {
			// Other nodes ask for what this one owns until it is gone; they hold
			// such requests until its next process answers.
			n.entry.Refuse()
			n.gate.Close()
		}
		if n.entry.InFlight() > 0 {
			quiet = time.Now()
		}
	}
	n.gate.Close()
	n.entry.Refuse()
	ctx, done := context.WithDeadline(context.Background(), end.Add(stopReserve/2))
	defer done()
	err := n.entry.Shutdown(ctx)
	for n.gate.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(stopPoll)
	}
	if err != nil {
		n.log.Warn("connections of callers cut", "error", err)
	}
	cancel()
	n.transport.Close()
	n.log.Info("node stopped", "took", time.Since(begun).Round(time.Millisecond).String())
}

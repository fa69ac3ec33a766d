// Package sidecar runs a node on the VM of a backend server that enforces its own
// lease. It connects the components and runs the control goroutine.
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

	"fulmarhinge/internal/bodymem"
	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/gate"
	"fulmarhinge/internal/ingress"
	"fulmarhinge/internal/listener"
	"fulmarhinge/internal/operator"
	"fulmarhinge/internal/peer"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/quarantine"
	"fulmarhinge/internal/route"
	"fulmarhinge/internal/stopping"
	"fulmarhinge/internal/timeline"
	"fulmarhinge/internal/upstream"
	"fulmarhinge/internal/wire"
)

// PlatformAdapter holds what depends on the platform that the node runs on.
type PlatformAdapter struct {
	Store platform.Store
	// Era returns the highest era that the store has answered with, 0 if none.
	Era func() uint64
	// ConfigKey is the key of the object with the operator's configuration, and
	// DecodeConfig decodes its value.
	ConfigKey    string
	DecodeConfig func(value []byte) (*route.Config, error)
	// EvacuationPrefix is the prefix of the keys of the objects that evacuate zones; the
	// rest of a key is the zone's name.
	EvacuationPrefix string
	CallerHeaders    ingress.Headers
	ServerHeaders    upstream.Headers
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// Rows bounds the rows in the response to a liveness report.
	Rows fleet.RowLimit
	// NewReportHandler returns the handler of the backend server's calls.
	NewReportHandler func(ReportCallbacks) http.Handler
}

// ReportCallbacks holds the address and the service that the backend server must
// report, and the callbacks for its calls.
type ReportCallbacks struct {
	Address, Service string
	Report           func(fleet.Report) fleet.Grant
	Deregister       func(fleet.Deregistration) bool
	Refused          func(why string)
}

// Node is one running node.
type Node struct {
	settings atomic.Pointer[Settings]
	adapter  PlatformAdapter
	log      hclog.Logger
	// decisions receives log lines whose rate is limited by the component that
	// writes them.
	decisions hclog.Logger
	self      cluster.MemberRef

	machine   *fleet.Machine
	loop      *controlLoop
	transport *peer.Transport
	client    *upstream.Client
	memory    *bodymem.Pool
	gate      *gate.Gate
	ingress   *ingress.Server
	config    *configWatcher
	evacuator *evacuationReader
	suspects  *quarantine.Table
	spreader  *suspectSpreader
	view      atomic.Pointer[ingress.View]
	gauges    gauges
	metrics   *metrics.Set
	// events holds the newest events of the control goroutine.
	events *timeline.Ring
	// drain starts the planned stop.
	drain     context.CancelFunc
	stopping  atomic.Bool
	listeners []net.Listener
	operator  *operator.Server
	// background counts the goroutines that Run waits for before it returns.
	background sync.WaitGroup
}

const (
	// memoryLimitFraction is the fraction of the memory setting that is passed to
	// the Go runtime as its memory limit; the rest is for kernel socket buffers.
	memoryLimitFraction = 0.55
	// gcPercent is above the default of 100, because the heap is small.
	gcPercent = 150
)

// Run runs a node until ctx ends, and then stops it within the grace period. Changes
// of the settings file at path are applied; an empty path is not watched. All addresses
// can be bound again once Run returns.
//
// Lines written to decisions are not filtered, because the components that write them
// limit their own rate; log suppresses repeated lines.
func Run(ctx context.Context, path string, s *Settings, adapter PlatformAdapter, log, decisions hclog.Logger) error {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Resources.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	n := newNode(s, adapter, log, decisions)
	ctx, n.drain = context.WithCancel(ctx)
	defer n.drain()
	if err := n.listen(); err != nil {
		n.closeListeners()
		return err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.background.Go(func() { n.loop.run(runCtx) })
	n.background.Go(func() { n.config.run(runCtx) })
	n.background.Go(func() { n.evacuator.run(runCtx) })
	if path != "" {
		n.background.Go(func() { n.watchSettings(runCtx, path) })
	}
	n.serve(runCtx)
	log.Info("node started", "member", n.self.String(), "zone", s.Zone, "service", s.Service,
		"callers", s.Listen.Callers, "peers", s.Listen.Peers, "backend", s.BackendAddress)
	<-ctx.Done()
	n.stop(cancel)
	return nil
}

func newNode(s *Settings, adapter PlatformAdapter, log, decisions hclog.Logger) *Node {
	now := time.Now()
	n := &Node{
		adapter: adapter, log: log, decisions: decisions, metrics: metrics.NewSet(),
		self: cluster.MemberRef{Name: s.Name, Incarnation: uint64(now.UnixNano())},
	}
	n.settings.Store(s)
	n.events = timeline.NewRing(n.self, maxEvents, timeline.NewClock(time.Now))
	timing := fleet.DefaultTiming()
	timing.MaxHold = secondsToDuration(s.Bounds.MaxHoldSeconds)
	n.machine = fleet.New(clock.Now(), fleet.Params{
		Self: n.self, Addr: s.Listen.peerAddress(), Zone: s.Zone, Weight: s.Resources.CPUShare * s.Resources.LinkMbps,
		LinkMbps:     s.Resources.LinkMbps,
		OperatorAddr: s.Listen.Metrics, Nonce: fmt.Sprintf("%x", now.UnixNano()), Timing: timing, NewFleet: s.Platform.NewFleet,
		Rows: adapter.Rows,
	})
	n.loop = newControlLoop(n)
	n.suspects, n.spreader = quarantine.New(), newSuspectSpreader(n)
	n.client = upstream.NewClient(s.BackendAddress, adapter.ServerHeaders)
	n.memory = bodymem.New(s.Resources.bodyMemory())
	n.gate = gate.New(gate.Config{Memory: n.memory, Client: n.client, Logger: log, Owns: n.owns, OnConnectionRefused: n.loop.notifyBackendDown,
		LinkMbps: s.Resources.LinkMbps, DrainPeriod: secondsToDuration(s.Bounds.DrainSeconds),
		Suspects: n.suspects, OnSuspects: n.spreader.spread, AwaitZone: s.Bounds.EvacuationSeconds > 0})
	n.transport = peer.New(peer.Config{
		Fleet: "fleet", Self: n.self, Listen: s.Listen.Peers, DialFrom: s.Listen.PeersFrom, Logger: log,
	}, n.handleControl, n.gate.ServeStream)
	n.ingress = ingress.New(ingress.Config{
		Self: n.self, Zone: s.Zone, Service: s.Service, Headers: adapter.CallerHeaders, Gate: n.gate, Peers: n.transport, Logger: log,
		Decisions: decisions, Suspects: n.suspects,
	})
	n.ingress.SetServedSampling(s.Log.ServedOneIn)
	n.config, n.evacuator = newConfigWatcher(n), newEvacuationReader(n)
	n.config.updateSlowStart()
	n.registerGauges()
	return n
}

// owns reports whether the fleet document assigns a key to this node.
func (n *Node) owns(service string, key int) bool {
	v := n.view.Load()
	if v == nil {
		return false
	}
	t := v.Doc.Tables[service]
	i := t.Locate(key)
	return i >= 0 && t[i].Owner == n.self.Name && t[i].Next == ""
}

func (n *Node) handleControl(from cluster.MemberRef, m *wire.Control) {
	if n.config.handleMessage(from, m) || n.spreader.handleMessage(from, m) {
		return
	}
	n.loop.enqueueMessage(from, m)
}

// listen binds all listeners before any of them is served.
func (n *Node) listen() error {
	if err := n.transport.Listen(); err != nil {
		return err
	}
	l := n.settings.Load().Listen
	if err := n.listenHTTP(l); err != nil {
		return err
	}
	op, err := operator.New(operator.Config{Listen: l.Metrics, Metrics: n.metrics}, n, n.log)
	if err != nil {
		// The node can serve requests without the operator endpoint.
		n.log.Error("operator and metrics endpoint failed to start", "error", err)
		return nil
	}
	n.operator = op
	return nil
}

const (
	// controlHeaderTimeout limits how long the backend server and the platform may
	// take to send a request header.
	controlHeaderTimeout = 5 * time.Second
	controlIdleTimeout   = 30 * time.Second
)

// serve starts the servers on the bound listeners.
func (n *Node) serve(ctx context.Context) {
	n.startServer("peers", func() error { return n.transport.Serve(ctx) })
	n.startServer("callers", func() error { return n.ingress.Serve(n.listeners[0]) })
	reports := n.adapter.NewReportHandler(ReportCallbacks{
		Address: n.settings.Load().BackendAddress, Service: n.settings.Load().Service,
		Report: n.loop.handleReport, Deregister: n.loop.handleDeregistration,
		Refused: func(why string) {
			reportsRefused.Inc()
			n.log.Warn("liveness report of the backend server rejected", "why", why)
		},
	})
	if n.operator != nil {
		n.startServer("operators", func() error { return n.operator.Run(ctx) })
	}
	handlers := []http.Handler{reports, http.HandlerFunc(n.handleReady)}
	for i, h := range handlers {
		srv := listener.NewServer(h, controlHeaderTimeout, controlIdleTimeout)
		ln := n.listeners[i+1]
		context.AfterFunc(ctx, func() { _ = srv.Close() })
		n.startServer(ln.Addr().String(), func() error { return srv.Serve(ln) })
	}
}

// startServer runs a server in the background and logs an error if it ends before
// the node stops.
func (n *Node) startServer(name string, serve func() error) {
	n.background.Go(func() {
		if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) && !n.stopping.Load() {
			n.log.Error("server ended unexpectedly", "server", name, "error", err)
		}
	})
}

// closeListeners closes what listen has opened.
func (n *Node) closeListeners() {
	n.transport.Close()
	for _, ln := range n.listeners {
		_ = ln.Close()
	}
}

func (n *Node) handleReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != n.adapter.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !n.ingress.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

const (
	// stopPollInterval is the interval at which requests in flight are checked.
	stopPollInterval = 20 * time.Millisecond
	// minIdleTime is the time without a request in flight that must pass before the
	// node ends, because requests of callers may still be on the network.
	minIdleTime = 400 * time.Millisecond
	// refuseAfterFraction is the fraction of the grace period after which new
	// requests of callers are refused, so that earlier ones can complete.
	refuseAfterFraction = 0.5
	// shutdownReserve is the part of the grace period that is reserved for closing
	// connections.
	shutdownReserve = 400 * time.Millisecond
	// minDrainTime is the minimum time that the node keeps serving: callers notice
	// that it is not ready with two readiness checks, one second apart.
	minDrainTime = 2300 * time.Millisecond
)

// stop stops the node: it reports immediately that it is not ready, and completes the
// requests in flight within the grace period.
func (n *Node) stop(cancel context.CancelFunc) {
	start := time.Now()
	n.stopping.Store(true)
	grace := secondsToDuration(n.settings.Load().Bounds.GraceSeconds)
	deadline := start.Add(grace - shutdownReserve)
	// What is accepted is answered before the process ends.
	window := &stopping.Window{AcceptUntil: start.Add(minDrainTime), EndsAt: deadline}
	n.ingress.StartDraining(window)
	n.gate.StartDraining(window)
	n.loop.enqueue(fleet.StopRequested{})
	n.log.Info("node stops", "in_flight", n.ingress.InFlight(), "at_gate", n.gate.InFlight())
	lastBusy := time.Now()
	for time.Now().Before(deadline) && (time.Since(lastBusy) < minIdleTime || time.Since(start) < minDrainTime) {
		time.Sleep(stopPollInterval)
		if time.Since(start) > time.Duration(refuseAfterFraction*float64(grace)) {
			// Until this node has ended, other nodes send it the requests for its
			// rows. They retry requests that it refuses until its next process is
			// ready.
			n.ingress.RefuseRequests()
			n.gate.Close()
		}
		if n.ingress.InFlight() > 0 {
			lastBusy = time.Now()
		}
	}
	n.gate.Close()
	n.ingress.RefuseRequests()
	ctx, cancelShutdown := context.WithDeadline(context.Background(), deadline.Add(shutdownReserve/2))
	defer cancelShutdown()
	err := n.ingress.Shutdown(ctx)
	for n.gate.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(stopPollInterval)
	}
	if err != nil {
		n.log.Warn("caller connections closed with requests in flight", "error", err)
	}
	cancel()
	n.closeListeners()
	// The next process of this node binds the same addresses.
	n.background.Wait()
	n.log.Info("node stopped", "took", time.Since(start).Round(time.Millisecond).String())
}

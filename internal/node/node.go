// Package node assembles and runs one node: the control goroutine, the
// listeners, and the calls to the platform.
package node

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"fulmarhinge/internal/backend"
	"fulmarhinge/internal/caller"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/control"
	"fulmarhinge/internal/lease"
	"fulmarhinge/internal/operator"
	"fulmarhinge/internal/peer"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/settings"
	"fulmarhinge/internal/timeline"
	"fulmarhinge/internal/view"
)

// eventRingSize is the number of timeline events that a node keeps.
const eventRingSize = 8192

// bootIDFile holds the id that the kernel generates at each boot.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Node is a running node.
type Node struct {
	settings         *settings.Settings
	log              hclog.Logger
	store            *platform.Client
	source           *view.Source
	ring             *timeline.Ring
	timelineClock    *timeline.Clock
	peers            *peer.Transport
	gate             *backend.Gate
	announceListener *backend.Listener
	callerServer     *caller.Server
	operator         *operator.Server
	loop             *loop

	backendMu sync.Mutex
	backend   *backend.Announcement
}

// Run runs a node until ctx is done and the planned stop that follows has
// ended. The error names the part that could not start or has failed.
func Run(ctx context.Context, s *settings.Settings, log hclog.Logger) error {
	n, err := newNode(s, log)
	if err != nil {
		return err
	}
	if err := n.listen(); err != nil {
		n.peers.Close()
		return err
	}
	return n.run(ctx)
}

func newNode(s *settings.Settings, log hclog.Logger) (*Node, error) {
	bootID, err := os.ReadFile(bootIDFile)
	if err != nil {
		return nil, fmt.Errorf("read boot id: %w", err)
	}
	n := &Node{settings: s, log: log, source: &view.Source{}}
	n.store = platform.NewClient(platform.Options{
		URLs: s.Platform.URLs, Timeout: s.Platform.Timeout.D(), Logger: log,
	})
	n.timelineClock = timeline.NewClock(time.Now)
	n.ring = timeline.NewRing(cluster.MemberRef{Name: s.Name}, eventRingSize, n.timelineClock)
	n.gate = backend.NewGate(n.source, log)
	n.gate.SetIdempotency(backend.IdempotencyLimits{
		MaxEntries: s.Limits.IdempotencyEntries,
		MaxAge:     s.Limits.IdempotencyAge.D(),
	})
	n.peers = peer.New(peer.Config{
		Fleet: s.Fleet, Self: cluster.MemberRef{Name: s.Name},
		Listen: s.Peer.Listen, DialFrom: s.Peer.DialFrom, Logger: log,
	}, n.onControl, n.gate.ServeStream)
	n.registerMetrics()
	n.announceListener = backend.NewListener(s.Backend.Listen, log, n.onBackend)
	n.loop = newLoop(n, control.New(controlParams(s, strings.TrimSpace(string(bootID)))))
	n.callerServer = caller.New(caller.Config{Listen: s.Caller.Listen, Limits: caller.Limits{
		MaxHeaderBytes:  s.Limits.MaxHeaderBytes,
		MaxBodyBytes:    s.Limits.MaxBodyBytes,
		BodyIdleTimeout: s.Limits.BodyIdleTimeout.D(),
	}}, n.source, n.peers, n.gate, n.loop.limiter, log)
	return n, nil
}

// controlParams returns the parameters of the control machine.
func controlParams(s *settings.Settings, bootID string) control.Params {
	return control.Params{
		Self: cluster.Member{
			MemberRef:    cluster.MemberRef{Name: s.Name},
			PeerAddr:     s.Peer.Advertise,
			CallerAddr:   s.Caller.Advertise,
			OperatorAddr: s.Operator.Advertise,
			Zone:         s.Zone,
			Region:       s.Region,
			BootID:       bootID,
		},
		Nonce: uuid.NewString(),
		Lease: lease.Params{
			PromiseDuration: s.Lease.Promise.D(),
			RenewInterval:   s.Lease.RenewInterval.D(),
			DriftPercent:    s.Lease.DriftPercent,
		},
		WitnessCount: s.Lease.Witnesses,
		StopTimeout:  s.Limits.StopTimeout.D(),
	}
}

// listen binds all addresses. The peer address is bound first, because this
// proves that an earlier process of this node has ended.
func (n *Node) listen() error {
	if err := n.peers.Listen(); err != nil {
		return fmt.Errorf("peer.listen: %w", err)
	}
	if err := n.callerServer.Listen(); err != nil {
		return fmt.Errorf("caller.listen: %w", err)
	}
	if err := n.announceListener.Listen(); err != nil {
		return fmt.Errorf("backend.listen: %w", err)
	}
	operatorServer, err := operator.New(operator.Config{Listen: n.settings.Operator.Listen}, n, n.log)
	if err != nil {
		return fmt.Errorf("operator.listen: %w", err)
	}
	n.operator = operatorServer
	return nil
}

// run serves until ctx is done and the planned stop that follows has ended. The
// peer listener stays open until the planned stop has finished its requests,
// since its bound address shows that the process is alive.
func (n *Node) run(ctx context.Context) error {
	baseCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, runCtx := errgroup.WithContext(baseCtx)
	g.Go(func() error { return n.peers.Serve(runCtx) })
	g.Go(n.callerServer.Serve)
	g.Go(func() error { return n.announceListener.Serve(runCtx) })
	g.Go(func() error { return n.operator.Run(runCtx) })
	g.Go(func() error { return n.loop.run(runCtx) })
	g.Go(func() error { return n.sampleLoads(runCtx) })
	stop := context.AfterFunc(ctx, n.loop.requestDrain)
	defer stop()
	select {
	case <-n.loop.done:
		n.finishInFlight()
	case <-runCtx.Done():
		_ = n.callerServer.Shutdown(runCtx)
	}
	cancel()
	return g.Wait()
}

// finishInFlight completes a planned stop: it waits for the requests of
// callers, then for the requests of peers at the gate.
func (n *Node) finishInFlight() {
	ctx, cancel := context.WithTimeout(context.Background(), n.maxRequestTime()+shutdownGrace)
	defer cancel()
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.log.Named("node").Warn("requests in flight were cut off at the end of the planned stop", "error", err)
	}
	for n.gate.Total() > 0 && ctx.Err() == nil {
		time.Sleep(gatePollInterval)
	}
	n.log.Named("node").Info("planned stop completed")
}

// shutdownGrace is added to the longest request time to bound the end of a
// planned stop.
const shutdownGrace = 2 * time.Second

// maxRequestTime returns the longest time that an admitted request may still
// take.
func (n *Node) maxRequestTime() time.Duration {
	longest := n.settings.Limits.StopTimeout.D()
	v := n.source.Current()
	if v == nil || v.Config == nil {
		return longest
	}
	for name := range v.Config.Services {
		longest = max(longest, v.Config.MaxTime(name))
	}
	return longest
}

// gatePollInterval is the time between two checks for requests in flight at the
// end of a planned stop.
const gatePollInterval = 10 * time.Millisecond

// onBackend handles an announcement of the backend server; nil means that the
// announcements have stopped.
func (n *Node) onBackend(a *backend.Announcement) {
	n.backendMu.Lock()
	n.backend = a
	n.backendMu.Unlock()
	n.gate.SetBackend(a)
	n.ring.Add(backendEvent(a))
	n.loop.post(control.BackendChanged{Info: backendInfo(a)})
}

func backendInfo(a *backend.Announcement) *cluster.BackendInfo {
	if a == nil {
		return nil
	}
	return &cluster.BackendInfo{Service: a.Service, Slots: a.Slots, Ready: a.Ready && !a.Leaving}
}

func backendEvent(a *backend.Announcement) timeline.Event {
	e := timeline.Event{Kind: timeline.KindBackend, Text: "backend server stopped sending announcements"}
	if a != nil {
		e.Text = fmt.Sprintf("backend server of %s at %s: ready %t, leaving %t", a.Service, a.Address, a.Ready, a.Leaving)
	}
	return e
}

// loadSampleInterval is the time between two samples of the gate's load.
const loadSampleInterval = 2 * time.Second

// sampleLoads posts the load measured at the gate to the control goroutine.
func (n *Node) sampleLoads(ctx context.Context) error {
	t := time.NewTicker(loadSampleInterval)
	defer t.Stop()
	averages := newRateAverages()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			n.loop.post(control.LoadSampled{Rates: averages.update(n.gate.Loads(), now.Sub(last))})
			last = now
		}
	}
}

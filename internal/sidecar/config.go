package sidecar

import (
	"context"
	"strings"
	"sync"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/route"
	"fulmarhinge/internal/wire"
)

const (
	// maxWatchBackoff is the maximum backoff before a failed watch is reopened.
	maxWatchBackoff = 400 * time.Millisecond
	// spreadTime is how long a change may take to reach a member before it is sent to
	// the member again.
	spreadTime = 400 * time.Millisecond
	// configLinkShare is the part of the VM's link that a configuration on its way to
	// all members is taken to have.
	configLinkShare = 0.5
)

// configWatcher keeps the operator's configuration up to date with a watch of the
// platform and by exchanging versions with peers.
type configWatcher struct {
	node *Node
	mu   sync.Mutex
	// config is the configuration in force, and value its stored form. The
	// operator's version orders configurations: the store's revisions are given
	// out again when it comes back from an older copy.
	config *route.Config
	value  []byte
	// seen is the store's version of the last object that was decoded.
	seen uint64
	// appliedAt is the time at which the configuration was applied.
	appliedAt time.Time
	// deliveries holds when members were last sent the configuration.
	deliveries deliveries
	// modeChanged is signalled when the node begins or ceases to watch the platform.
	modeChanged chan struct{}
}

func newConfigWatcher(n *Node) *configWatcher {
	return &configWatcher{node: n, modeChanged: make(chan struct{}, 1)}
}

// run keeps the configuration up to date until ctx ends. It watches the platform while
// the fleet state machine asks for it, and otherwise relies on the leader.
func (w *configWatcher) run(ctx context.Context) {
	w.read(ctx)
	for ctx.Err() == nil {
		if !w.node.gauges.watchesConfig.Load() {
			w.awaitModeChange(ctx)
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			w.watch(watchCtx)
		}()
		for w.node.gauges.watchesConfig.Load() && ctx.Err() == nil {
			w.awaitModeChange(ctx)
		}
		cancel()
		<-stopped
	}
}

func (w *configWatcher) awaitModeChange(ctx context.Context) {
	select {
	case <-w.modeChanged:
	case <-ctx.Done():
	}
}

// setWatches tells the watcher whether to watch the platform.
func (w *configWatcher) setWatches(watches bool) {
	if w.node.gauges.watchesConfig.Swap(watches) == watches {
		return
	}
	select {
	case w.modeChanged <- struct{}{}:
	default:
		// The watcher has not handled the change before this one yet.
	}
}

// read reads the configuration from the platform. The fleet state machine asks for it
// again if it fails.
func (w *configWatcher) read(ctx context.Context) {
	o, err := w.node.adapter.Store.Get(ctx, w.node.adapter.ConfigKey)
	if err != nil {
		w.node.log.Info("configuration not read from the platform", "error", err)
		return
	}
	w.applyStored(o)
}

// watch watches the configuration in the platform until ctx ends.
func (w *configWatcher) watch(ctx context.Context) {
	kind, _, _ := strings.Cut(w.node.adapter.ConfigKey, "/")
	unavailable := false
	backoff := platform.DefaultBackoff()
	backoff.Max = maxWatchBackoff
	for failures := 1; ctx.Err() == nil; failures++ {
		err := w.node.adapter.Store.Watch(ctx, kind+"/", func() {
			failures = 0
			if unavailable {
				unavailable = false
				w.node.log.Info("platform regained", "for", "configuration")
			}
		}, w.applyStored)
		if err != nil && !unavailable && ctx.Err() == nil {
			unavailable = true
			w.node.log.Warn("platform lost", "for", "configuration", "error", err)
		}
		if backoff.Sleep(ctx, max(failures, 1)) != nil {
			return
		}
	}
}

// applyStored activates the configuration that the store holds, if it is newer than the
// active one.
func (w *configWatcher) applyStored(o platform.Object) {
	if o.Key != w.node.adapter.ConfigKey || len(o.Value) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Version <= w.seen {
		return
	}
	w.seen = o.Version
	if w.apply(o.Value, platform.FormatVersion(o.Version)) {
		w.spread()
	}
}

// spread sends the configuration in force on: the leader to all members, another node
// to the leader if it is one of those that do so. Members that miss it get it when their next
// status reaches the leader, or read it themselves.
func (w *configWatcher) spread() {
	v := w.node.view.Load()
	if v == nil {
		return
	}
	if !w.node.gauges.isLeader.Load() {
		if !w.node.gauges.forwardsConfig.Load() {
			return
		}
		if leader := v.Doc.Members[v.Doc.Leader.Name]; leader != nil && leader.Name != w.node.self.Name {
			w.node.transport.Send(leader.Addr, w.objectMessage(w.config.Version, w.value))
		}
		return
	}
	w.deliveries.reset(deliveryTime(len(w.value), len(v.Doc.Members), w.node.settings.Load().Resources.LinkMbps))
	for name, mem := range v.Doc.Members {
		if name != w.node.self.Name && !mem.Evicted && w.deliveries.due(time.Now(), mem.Addr) {
			w.node.transport.Send(mem.Addr, w.objectMessage(w.config.Version, w.value))
		}
	}
}

// apply activates a configuration if it is newer than the active one, and reports
// whether it did. The source is the store's version, or the peer that sent the
// configuration.
func (w *configWatcher) apply(value []byte, source string) bool {
	c, err := w.node.adapter.DecodeConfig(value)
	if err != nil {
		w.node.log.Error("configuration is invalid", "source", source, "error", err)
		return false
	}
	if w.config != nil && c.Version <= w.config.Version {
		if c.Version < w.config.Version {
			w.node.log.Warn("configuration older than the active one", "source", source, "version", c.Version, "in_force", w.config.Version)
		}
		return false
	}
	w.config, w.value, w.appliedAt = c, value, time.Now()
	w.node.ingress.SetConfig(c)
	w.node.gate.SetHealthPath(c.Services[w.node.settings.Load().Service].HealthPath)
	w.node.gate.SetSlowStart(slowStart(w.node.settings.Load().Bounds, w.node.settings.Load().Service, c))
	args := []any{"version", c.Version, "source", source, "services", len(c.Services), "routes", c.RouteCount()}
	w.node.log.Info("configuration in force", args...)
	w.node.recordEvent("configuration in force", args)
	w.node.loop.enqueueLater(fleet.ConfigChanged{Version: c.Version, KeyedServices: c.KeyedServices()})
	return true
}

// applyReceived activates the configuration that a peer has sent, if it is newer. The
// leader sends it on to all members.
func (w *configWatcher) applyReceived(from cluster.MemberRef, o *wire.Object) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.config != nil && o.GetVersion() <= w.config.Version {
		return
	}
	if w.apply(o.GetValue(), from.Name) && w.node.gauges.isLeader.Load() {
		w.spread()
	}
}

// active returns the version and the stored form of the configuration in force, and when
// it was applied. The version is 0 if there is none.
func (w *configWatcher) active() (version uint64, value []byte, appliedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.config != nil {
		version = w.config.Version
	}
	return version, w.value, w.appliedAt
}

// syncPeer handles a member that has another version of the configuration: a member
// with an older version is sent this node's configuration, and one with a newer version
// is asked for its own. Shortly after a change nothing is sent, because the change may
// still be on its way to the member.
func (w *configWatcher) syncPeer(d fleet.ConfigDiffers) {
	version, value, appliedAt := w.active()
	switch {
	case time.Since(appliedAt) < spreadTime:
	case d.Version < version && w.deliveries.due(time.Now(), d.Addr):
		w.node.transport.Send(d.Addr, w.objectMessage(version, value))
	case d.Version > version:
		w.node.transport.Send(d.Addr, w.versionMessage(version))
	}
}

// objectMessage returns a message with the configuration.
func (w *configWatcher) objectMessage(version uint64, value []byte) *wire.Control {
	c := &wire.Control{FromName: w.node.self.Name, FromIncarnation: w.node.self.Incarnation}
	c.Body = &wire.Control_Objects{Objects: &wire.Objects{Objects: []*wire.Object{
		{Key: w.node.adapter.ConfigKey, Version: version, Value: value},
	}}}
	return c
}

// versionMessage returns a message with this node's version; a peer with a newer
// version replies with its configuration.
func (w *configWatcher) versionMessage(version uint64) *wire.Control {
	c := &wire.Control{FromName: w.node.self.Name, FromIncarnation: w.node.self.Incarnation}
	c.Body = &wire.Control_Versions{Versions: &wire.Versions{
		Have: []*wire.KeyVersion{{Key: w.node.adapter.ConfigKey, Version: version}},
	}}
	return c
}

// handleMessage handles a peer's message if it is about the configuration, and reports
// whether it is.
func (w *configWatcher) handleMessage(from cluster.MemberRef, m *wire.Control) bool {
	switch b := m.GetBody().(type) {
	case *wire.Control_Versions:
		w.handleVersions(from, b.Versions)
		return true
	case *wire.Control_Objects:
		if len(b.Objects.GetObjects()) == 1 && b.Objects.GetObjects()[0].GetKey() == w.node.adapter.ConfigKey {
			w.applyReceived(from, b.Objects.GetObjects()[0])
			return true
		}
	}
	return false
}

// handleVersions synchronizes with a peer that has sent its version.
func (w *configWatcher) handleVersions(from cluster.MemberRef, in *wire.Versions) {
	v := w.node.view.Load()
	if v == nil || len(in.GetHave()) != 1 {
		return
	}
	if m := v.Doc.Members[from.Name]; m != nil {
		w.syncPeer(fleet.ConfigDiffers{Addr: m.Addr, Version: in.GetHave()[0].GetVersion()})
	}
}

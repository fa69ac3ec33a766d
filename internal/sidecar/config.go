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
	// watchRetry bounds the wait before a broken watch is opened again.
	watchRetry = 400 * time.Millisecond
	// watchTime is how long a node's own watch is given to tell it of a change
	// before it hears of it from the leader.
	watchTime = 400 * time.Millisecond
	// readEvery is the time between two reads by the leader, for the case that
	// every watch has gone silent.
	readEvery = 1200 * time.Millisecond
)

// configKeeper follows the operator's configuration: by a watch, and by what
// the other nodes have.
type configKeeper struct {
	node *Node
	mu   sync.Mutex
	// object is the newest configuration as it stands in the platform.
	object platform.Object
	config *route.Config
	// changedAt is when the object was taken.
	changedAt time.Time
}

func newConfigKeeper(n *Node) *configKeeper { return &configKeeper{node: n} }

// run follows the platform until ctx ends.
func (k *configKeeper) run(ctx context.Context) {
	go k.reread(ctx)
	kind, _, _ := strings.Cut(k.node.outside.ConfigKey, "/")
	lost := false
	backoff := platform.DefaultBackoff()
	backoff.Max = watchRetry
	for failures := 1; ctx.Err() == nil; failures++ {
		err := k.node.outside.Store.Watch(ctx, kind+"/", func() {
			failures = 0
			if lost {
				lost = false
				k.node.log.Info("platform regained", "for", "configuration")
			}
		}, k.take)
		if err != nil && !lost && ctx.Err() == nil {
			lost = true
			k.node.log.Warn("platform lost", "for", "configuration", "error", err)
		}
		if backoff.Sleep(ctx, max(failures, 1)) != nil {
			return
		}
	}
}

// take puts a newer configuration in force; versions never go back.
func (k *configKeeper) take(o platform.Object) {
	if o.Key != k.node.outside.ConfigKey || len(o.Value) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if o.Version <= k.object.Version {
		return
	}
	c, err := k.node.outside.DecodeConfig(o.Value)
	if err != nil {
		k.node.log.Error("configuration cannot be used", "revision", o.Version, "error", err)
		return
	}
	if k.config != nil && c.Version < k.config.Version {
		k.node.log.Error("configuration is older than the one in force", "revision", o.Version, "version", c.Version, "in_force", k.config.Version)
		return
	}
	k.object, k.config, k.changedAt = o, c, time.Now()
	k.node.entry.SetConfig(c)
	args := []any{"version", c.Version, "revision", o.Version, "services", len(c.Services), "routes", c.Routes()}
	k.node.log.Info("configuration in force", args...)
	k.node.record("configuration in force", args)
	k.node.loop.post(fleet.ConfigChanged{Version: o.Version, Keyed: c.Keyed()})
}

// reread reads the configuration from time to time on the leader, for the case
// that every watch has gone silent.
func (k *configKeeper) reread(ctx context.Context) {
	t := time.NewTicker(readEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !k.node.gauges.leads.Load() {
			continue
		}
		o, err := k.node.outside.Store.Get(ctx, k.node.outside.ConfigKey)
		if err != nil {
			// The loss of the platform has its line from the watch and the document.
			continue
		}
		k.take(o)
	}
}

// differs takes the news that a member has another version: it is sent this
// node's or asked for its own. Its own watch may be about to tell it, so the
// first moments after a change are left to that.
func (k *configKeeper) differs(d fleet.ConfigDiffers) {
	k.mu.Lock()
	o, at := k.object, k.changedAt
	k.mu.Unlock()
	switch {
	case time.Since(at) < watchTime:
	case d.Version < o.Version:
		k.node.transport.Send(d.Addr, k.objectMessage(o))
	case d.Version > o.Version:
		k.node.transport.Send(d.Addr, k.versionMessage(o))
	}
}

// objectMessage is the message that carries the configuration.
func (k *configKeeper) objectMessage(o platform.Object) *wire.Control {
	c := &wire.Control{FromName: k.node.self.Name, FromIncarnation: k.node.self.Incarnation}
	c.Body = &wire.Control_Objects{Objects: &wire.Objects{Objects: []*wire.Object{
		{Key: o.Key, Version: o.Version, Value: o.Value},
	}}}
	return c
}

// versionMessage says which version this node has; a newer one is sent back.
func (k *configKeeper) versionMessage(o platform.Object) *wire.Control {
	c := &wire.Control{FromName: k.node.self.Name, FromIncarnation: k.node.self.Incarnation}
	c.Body = &wire.Control_Versions{Versions: &wire.Versions{
		Have: []*wire.KeyVersion{{Key: k.node.outside.ConfigKey, Version: o.Version}},
	}}
	return c
}

// message takes what a peer says of the configuration. It reports whether the
// message was for this part.
func (k *configKeeper) message(from cluster.MemberRef, m *wire.Control) bool {
	switch b := m.GetBody().(type) {
	case *wire.Control_Versions:
		k.versions(from, b.Versions)
		return true
	case *wire.Control_Objects:
		if len(b.Objects.GetObjects()) == 1 && b.Objects.GetObjects()[0].GetKey() == k.node.outside.ConfigKey {
			o := b.Objects.GetObjects()[0]
			k.take(platform.Object{Key: o.GetKey(), Version: o.GetVersion(), Value: o.GetValue()})
			return true
		}
	}
	return false
}

// versions answers a peer whose configuration is older.
func (k *configKeeper) versions(from cluster.MemberRef, in *wire.Versions) {
	v := k.node.view.Load()
	if v == nil || len(in.GetHave()) != 1 {
		return
	}
	if m := v.Doc.Members[from.Name]; m != nil {
		k.differs(fleet.ConfigDiffers{Addr: m.Addr, Version: in.GetHave()[0].GetVersion()})
	}
}

package node

import (
	"context"
	"errors"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/control"
	"fulmarhinge/internal/operator"
	"fulmarhinge/internal/timeline"
	"fulmarhinge/internal/version"
	"fulmarhinge/internal/wire"
)

// onControl handles a control message of a peer and advances the timeline clock
// to the sender's stamp.
func (n *Node) onControl(_ cluster.MemberRef, m *wire.Control) {
	n.timelineClock.Observe(timeline.Stamp{Wall: m.GetStampWall(), Logical: m.GetStampLogical()})
	n.loop.postMessage(m)
}

// Status implements operator.Deps.
func (n *Node) Status() operator.Status {
	c := n.loop.status()
	s := operator.Status{
		Name: n.settings.Name, Incarnation: c.Self.Incarnation,
		Zone: n.settings.Zone, Region: n.settings.Region, Version: version.String(),
		State:           c.State,
		RevisionInForce: c.RevisionInForce, RevisionKnown: c.RevisionKnown,
		Admitting: c.Admitting, Reason: c.Reason, Draining: c.Draining,
		LeaseLeftMs:   c.LeaseLeft.Milliseconds(),
		Owned:         operator.OwnedCounts{Pending: c.Pending, Serving: c.Serving, Stopping: c.Stopping, Pins: c.Pins},
		InFlight:      n.gate.Total(),
		Backend:       n.backendStatus(),
		PlatformLagMs: n.platformLagMs(),
		Shards:        map[string]int{},
	}
	for _, w := range c.Witnesses {
		s.Witnesses = append(s.Witnesses, w.MemberRef)
	}
	if v := n.source.Current(); v != nil {
		for name, t := range v.Tables {
			s.Shards[name] = len(t.Shards)
		}
	}
	s.Members = memberRows(&c)
	return s
}

func memberRows(c *control.Status) []operator.MemberRow {
	var out []operator.MemberRow
	for i := range c.Members {
		m := &c.Members[i]
		if m.State.Gone() {
			continue
		}
		row := operator.MemberRow{
			MemberRef: m.MemberRef, OperatorAddr: m.OperatorAddr, Zone: m.Zone, State: m.State, SinceLastMessageMs: -1,
		}
		if sinceLastMessage, ok := c.SinceLastMessage[m.Name]; ok {
			row.SinceLastMessageMs = sinceLastMessage.Milliseconds()
		}
		if m.Backend != nil {
			row.Service, row.Ready = m.Backend.Service, m.Backend.Ready
		}
		out = append(out, row)
	}
	return out
}

func (n *Node) backendStatus() *operator.Backend {
	n.backendMu.Lock()
	defer n.backendMu.Unlock()
	if n.backend == nil {
		return nil
	}
	a := n.backend
	return &operator.Backend{Service: a.Service, Address: a.Address, Ready: a.Ready && !a.Leaving, Slots: a.Slots}
}

// platformLagMs returns the milliseconds since the platform last answered this
// node, or -1 if it has not answered yet.
func (n *Node) platformLagMs() int64 {
	lastAnswerNs := n.loop.io.lastAnswerNs.Load()
	if lastAnswerNs == 0 {
		return -1
	}
	return time.Since(time.Unix(0, lastAnswerNs)).Milliseconds()
}

// Ready implements operator.Deps.
func (n *Node) Ready() (bool, string) {
	v := n.source.Current()
	switch {
	case v == nil || v.Self.IsZero():
		return false, "the node has not joined the fleet"
	case v.Draining:
		return false, "a planned stop is under way"
	case !v.Admitting:
		return false, v.Reason
	default:
		return true, ""
	}
}

// Events implements operator.Deps.
func (n *Node) Events() []timeline.Event { return n.ring.All() }

// Drain implements operator.Deps.
func (n *Node) Drain(context.Context) error {
	n.loop.requestDrain()
	return nil
}

// Evict implements operator.Deps.
func (n *Node) Evict(ctx context.Context, member string, force bool) error {
	reason, err := n.loop.evict(ctx, member, force)
	if err != nil {
		return err
	}
	if reason != "" {
		return errors.New(reason)
	}
	return nil
}

package sidecar

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/explain"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/operator"
	"fulmarhinge/internal/timeline"
	"fulmarhinge/internal/version"
)

// maxEvents is the number of events a node keeps: several minutes under high load.
const maxEvents = 2000

// Status implements operator.Deps.
func (n *Node) Status() operator.Status {
	s := n.settings.Load()
	ready, reason := n.Ready()
	out := operator.Status{
		Name: n.self.Name, Incarnation: n.self.Incarnation, Zone: s.Zone, Region: s.Region, Version: version.String(),
		State: cluster.StateActive, RevisionInForce: n.ingress.ConfigVersion(), Admitting: ready, Reason: reason,
		Draining: n.stopping.Load(), InFlight: n.ingress.InFlight(), PlatformLagMs: -1,
		LeaseLeftMs: max(0, clock.Mono(n.gauges.leaseUntil.Load()).Sub(clock.Now()).Milliseconds()),
		Owned:       operator.OwnedCounts{Serving: int(n.gauges.rowsHeld.Load())},
	}
	out.RevisionKnown = out.RevisionInForce
	if at := n.gauges.lastPlatformRead.Load(); at > 0 {
		out.PlatformLagMs = clock.Now().Sub(clock.Mono(at)).Milliseconds()
	}
	if out.Draining {
		out.State = cluster.StateDraining
	}
	if server := n.gate.Server(); server != nil {
		out.Backend = &operator.Backend{Service: server.Service, Address: s.BackendAddress, Ready: server.Ready, Slots: server.Slots}
	}
	if v := n.view.Load(); v != nil {
		out.Members, out.EvacuatedZones = memberRows(v.Doc), v.Doc.Evacuations
	}
	return out
}

// memberRows returns the status rows of the document's members, sorted by name.
func memberRows(doc *fleet.Document) []operator.MemberRow {
	var out []operator.MemberRow
	for _, m := range doc.Members {
		row := operator.MemberRow{
			MemberRef: m.MemberRef, OperatorAddr: m.OperatorAddr, Zone: m.Zone, State: cluster.StateActive, SinceLastMessageMs: -1,
		}
		switch {
		case m.Evicted:
			row.State = cluster.StateEvicted
		case m.Leaving:
			row.State = cluster.StateDraining
		}
		if m.Server != nil {
			row.Service, row.Ready = m.Server.Service, m.Server.Ready
		}
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b operator.MemberRow) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Ready implements operator.Deps.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.stopping.Load():
		return false, "a planned stop is under way"
	case !n.ingress.Ready():
		return false, "the configuration or the fleet document is not known yet"
	}
	return true, ""
}

// Events implements operator.Deps.
func (n *Node) Events() []timeline.Event { return n.events.All() }

// Explain implements operator.Explainer.
func (n *Node) Explain(query explain.Query) explain.Explanation { return n.ingress.Explain(query) }

// Drain implements operator.Deps.
func (n *Node) Drain(context.Context) error {
	n.drain()
	return nil
}

// Evict implements operator.Deps. It always fails: the leader evicts unresponsive
// members, and a responsive member is stopped with a drain.
func (n *Node) Evict(context.Context, string, bool) error {
	return errors.New("the leader evicts silent nodes by itself; drain one that answers")
}

// eventKinds maps the first word of an event's text to the kind of the event.
var eventKinds = map[string]timeline.Kind{
	"lease": timeline.KindLease, "adopted": timeline.KindLease, "leadership": timeline.KindMember, "leader": timeline.KindMember,
	"member": timeline.KindMember, "rows": timeline.KindMove, "load": timeline.KindMove, "service": timeline.KindPlacement,
	"platform": timeline.KindMember, "backend": timeline.KindBackend, "fleet": timeline.KindMember, "zone": timeline.KindPlacement, "change": timeline.KindMember, "configuration": timeline.KindConfig,
}

// recordEvent adds an event to the timeline, with its arguments as text.
func (n *Node) recordEvent(text string, args []any) {
	var b strings.Builder
	b.WriteString(text)
	for i := 0; i+1 < len(args); i += 2 {
		fmt.Fprintf(&b, " %v=%v", args[i], args[i+1])
	}
	first, _, _ := strings.Cut(text, " ")
	kind, known := eventKinds[first]
	if !known {
		kind = timeline.KindMember
	}
	if strings.HasPrefix(text, "member evicted") {
		kind = timeline.KindEviction
	}
	n.events.Add(timeline.Event{Kind: kind, Text: b.String()})
}

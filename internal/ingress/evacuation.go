package ingress

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

// evacuationRetryAfter is the time after which callers may ask again for what only
// servers in zones under evacuation could serve. How long an evacuation lasts is not known.
const evacuationRetryAfter = time.Second

var evacuationRefusals = metrics.NewCounter(`fulmarhinge_evacuation_refusals_total{at="entry"}`)

// countEvacuated counts a refusal if its cause is an evacuation, and returns it.
func countEvacuated(h *wire.ResponseHead) *wire.ResponseHead {
	if result.Code(h.GetCode()) == result.ZoneEvacuated {
		evacuationRefusals.Inc()
	}
	return h
}

func refuseEvacuated() *wire.ResponseHead {
	return refusal(result.ZoneEvacuated, evacuationRetryAfter)
}

// onlyEvacuated reports whether all ready servers of a service are in zones under
// evacuation, and there is one.
func (v *View) onlyEvacuated(service string) bool {
	return v.evacuated[service] && len(v.readyMembers[service]) == 0
}

// onlyEvacuated reports whether all ready servers of the request's service are in zones
// under evacuation, and there is one.
func (q *request) onlyEvacuated() bool {
	v := q.server.view.Load()
	return v != nil && v.onlyEvacuated(q.service)
}

// ownerEvacuated returns the refusal of a request whose key's owner is in a zone under
// evacuation, else nil. While the key is handed over to another zone, the request waits as
// for a key without an owner.
func (q *request) ownerEvacuated(v *View, owner *fleet.Member) *wire.ResponseHead {
	switch {
	case v.Doc.InService(owner):
		return nil
	case q.leavesZone(v):
		return refusal(result.NoOwner, 0)
	default:
		return refuseEvacuated()
	}
}

// leavesZone reports whether the request's key has an owner, or will have one, that is in
// no zone under evacuation.
func (q *request) leavesZone(v *View) bool {
	t := v.Doc.Tables[q.service]
	i := t.Locate(parseKey(q.key))
	if i < 0 {
		return false
	}
	return v.Doc.InService(v.Doc.Members[t[i].Owner]) || v.Doc.InService(v.Doc.Members[t[i].Next])
}

// mayLeaveZone reports whether a request that was refused because of an evacuation may be
// served elsewhere. A gate may know of an evacuation before this node.
func (q *request) mayLeaveZone() bool {
	v := q.server.view.Load()
	switch {
	case v == nil:
		return false
	case q.key != "":
		return q.leavesZone(v)
	default:
		return len(q.triedMembers) < len(q.candidates())
	}
}

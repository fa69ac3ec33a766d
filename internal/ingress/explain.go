package ingress

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"fulmarhinge/internal/explain"
	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/locality"
	"fulmarhinge/internal/platform"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

const (
	// maxExplained bounds the servers that an explanation lists for a service, and
	// maxExplainedServices the services.
	maxExplained         = 40
	maxExplainedServices = 8
)

// Explain says where a request would go now and why. It sends nothing, counts nothing and
// takes no part in later decisions. The request is taken as one without a body that the
// caller makes for the first time.
func (s *Server) Explain(query explain.Query) explain.Explanation {
	out := explain.Explanation{
		Node: s.cfg.Self.Name, Zone: s.cfg.Zone, Config: s.ConfigVersion(), Services: []explain.Service{},
	}
	v := s.view.Load()
	if v != nil {
		out.Document = platform.FormatVersion(v.Version)
	}
	q := request{server: s, received: time.Now(), http: &http.Request{
		Method: query.Method, Host: query.Host, RequestURI: query.Path, Header: http.Header{},
	}}
	q.http.Header.Set(s.cfg.Headers.Key, query.Key)
	cfg, code := s.admit()
	if code == result.OK {
		code = q.matchRoute(cfg)
	}
	if code != result.OK {
		out.Refusal = q.explainRefusal(refusal(code, 0))
		return out
	}
	out.Route, out.Priority, out.TargetMs = q.route.Name, q.route.Priority, q.route.TargetLatency.Milliseconds()
	code = q.setDeadline(query.Remaining)
	out.DeadlineMs = q.deadline.Sub(q.received).Milliseconds()
	if code == result.OK && v == nil {
		code = result.NotAdmitting
	}
	if code != result.OK {
		out.Refusal = q.explainRefusal(refusal(code, 0))
		return out
	}
	total := 0.0
	for _, part := range q.route.Split {
		total += part.Weight
	}
	for _, part := range q.route.Split[:min(len(q.route.Split), maxExplainedServices)] {
		one := q
		share := 1.0
		if total > 0 {
			share = part.Weight / total
		}
		e := explain.Service{Service: part.Service, Share: share}
		if code := one.selectService(cfg, part.Service); code != result.OK {
			e.Keyed, e.Refusal = cfg.Services[part.Service].Keyed, one.explainRefusal(refusal(code, 0))
		} else if refused := one.quarantined(); refused != nil {
			e.Keyed, e.Refusal = one.key != "", one.explainRefusal(refused)
		} else if one.key != "" {
			one.explainOwner(v, &e)
		} else {
			one.explainChoice(v, &e)
		}
		out.Services = append(out.Services, e)
	}
	return out
}

// explainRefusal describes a refusal. Callers that are refused together get a Retry-After
// of up to a quarter less.
func (q *request) explainRefusal(h *wire.ResponseHead) *explain.Refusal {
	info := result.Lookup(result.Code(h.GetCode()))
	out := &explain.Refusal{Code: h.GetCode(), Result: info.Name, Status: info.Status}
	if mayReturn(info) {
		out.Status = http.StatusServiceUnavailable
		out.RetryAfterMs = q.retryDelay(h, 0).Milliseconds()
	}
	return out
}

// explainAttempt describes a refusal that an attempt ends with.
func (q *request) explainAttempt(h *wire.ResponseHead) *explain.Refusal {
	out := q.explainRefusal(h)
	out.Waits = q.shouldRetry(h)
	return out
}

// explainOwner describes the way of a request with a key.
func (q *request) explainOwner(v *View, e *explain.Service) {
	e.Keyed = true
	t := v.Doc.Tables[q.service]
	if i := t.Locate(parseKey(q.key)); i >= 0 {
		row := t[i]
		e.Row = &explain.Row{From: row.From, To: row.To, Epoch: row.Epoch, Owner: row.Owner, Next: row.Next}
		if m := v.Doc.Members[row.Owner]; m != nil {
			e.Row.OwnerZone, e.Row.ZoneEvacuated = m.Zone, v.Doc.IsEvacuated(m.Zone)
		}
	}
	m := q.owner(v)
	if m == nil {
		e.Refusal = q.explainAttempt(refusal(result.NoOwner, 0))
		return
	}
	if refused := q.ownerEvacuated(v, m); refused != nil {
		e.Refusal = q.explainAttempt(refused)
		return
	}
	e.Chosen, e.ChosenZone, e.Reason = m.Name, m.Zone, "owner"
}

// explainChoice describes the way of a request without a key.
func (q *request) explainChoice(v *View, e *explain.Service) {
	now := time.Now()
	members := q.candidatesIn(v)
	c, candidates, retryAfter, refused := q.server.picker.explain(now, members, q.localityRequest(now))
	switch {
	case refused:
		q.refusedEarly = true
		e.Refusal = q.explainAttempt(refusal(result.BackendBusy, retryAfter))
	case c.Member == nil:
		e.Refusal = q.explainAttempt(q.refuseWithoutServer())
	default:
		e.Chosen, e.ChosenZone, e.Reason = c.Member.Name, c.Member.Zone, c.Crossing.String()
		e.PredictedMs = milliseconds(c.Predicted)
	}
	slices.SortFunc(candidates, func(a, b locality.Candidate) int {
		return cmp.Or(cmp.Compare(rank(a, c), rank(b, c)), cmp.Compare(a.Predicted, b.Predicted), cmp.Compare(a.Member.Name, b.Member.Name))
	})
	list := make([]explain.Candidate, 0, len(candidates))
	for _, one := range candidates {
		list = append(list, explainCandidate(one))
	}
	list = append(list, q.excluded(v, members)...)
	e.Candidates = list[:min(len(list), maxExplained)]
	e.Omitted = len(list) - len(e.Candidates)
}

// rank puts the chosen server first, so that it is always listed.
func rank(c locality.Candidate, chosen locality.Choice) int {
	if c.Member == chosen.Member {
		return 0
	}
	return 1
}

func explainCandidate(c locality.Candidate) explain.Candidate {
	out := explain.Candidate{
		Node: c.Member.Name, Zone: c.Member.Zone, PredictedMs: milliseconds(c.Predicted), LateShare: c.Late,
		ColdMs: c.ColdLeft.Milliseconds(), Limit: c.Report.Limit, Rate: c.Report.Rate, WaitMs: c.Wait.Milliseconds(),
		AvoidedMs: c.AvoidedFor.Milliseconds(), Running: c.Report.Running, Waiting: c.Report.Waiting,
		Slots: c.Report.Slots, ReportAgeMs: -1, InFlight: c.InFlight, MayBeChosen: c.MayBeChosen,
	}
	if c.ReportAge >= 0 {
		out.ReportAgeMs = c.ReportAge.Milliseconds()
	}
	return out
}

// excluded lists the members with servers of the request's service that are no candidates,
// sorted by name.
func (q *request) excluded(v *View, candidates []*fleet.Member) []explain.Candidate {
	staying := q.server.notices.withoutLeaving(v.readyMembers[q.service])
	var out []explain.Candidate
	for _, m := range v.Doc.Members {
		if m.Server == nil || m.Server.Service != q.service || slices.Contains(candidates, m) {
			continue
		}
		why := exclusion(v.Doc, m)
		switch {
		case why != "":
		case slices.Contains(staying, m):
			why = excludedSuspect
		default:
			why = excludedLeaving
		}
		out = append(out, explain.Candidate{Node: m.Name, Zone: m.Zone, Excluded: why})
	}
	slices.SortFunc(out, func(a, b explain.Candidate) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// explain returns what pick would return, without jitter, and how it assesses the members.
// It counts nothing.
func (p *picker) explain(now time.Time, members []*fleet.Member, r locality.Request) (c locality.Choice, list []locality.Candidate, retryAfter time.Duration, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, list = p.balancer.Explain(now, members, r)
	if retryAfter, refused = p.balancer.Refused(now, members, r); refused {
		return locality.Choice{}, list, retryAfter, true
	}
	return c, list, 0, false
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

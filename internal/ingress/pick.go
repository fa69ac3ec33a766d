package ingress

import (
	"math/rand/v2"
	"sync"
	"time"

	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

const (
	// assumedWork is the service time of a server before the first answer.
	assumedWork = 50 * time.Millisecond
	// crossZone is what a backend server in another zone counts as slower: about
	// what half of a common service time is worth to a caller, as the traffic
	// between zones is paid for.
	crossZone = 25 * time.Millisecond
	// crossZoneBulk is the same for a large answer: its bytes are what traffic
	// between zones consists of.
	crossZoneBulk = 200 * time.Millisecond
	// workWeight is that of the newest answer in a server's mean time.
	workWeight = 0.1
	// avoidFor is how long a server is avoided after it failed a request.
	avoidFor = 700 * time.Millisecond
	// staleAfter is the age at which a server's stated load says nothing.
	staleAfter = 500 * time.Millisecond
)

// picker chooses among the backend servers of a service that is not divided
// by keys: the one with the shortest predicted time.
type picker struct {
	// self needs no link for its answers.
	self string
	zone string
	mu   sync.Mutex
	seen map[string]*seen
}

// seen is what this entry knows of one backend server.
type seen struct {
	life fleet.Life
	// open counts this entry's requests there.
	open int
	// running and waiting are what the gate said at, and openThen the open
	// requests that it already counted.
	running, waiting, slots int
	openThen                int
	// linkWait is how long a large answer would wait for the VM's link.
	linkWait   time.Duration
	at         time.Time
	work       float64
	avoidUntil time.Time
}

func newPicker(self, zone string) *picker {
	return &picker{self: self, zone: zone, seen: map[string]*seen{}}
}

func (p *picker) of(m *fleet.Member) *seen {
	s := p.seen[m.Name]
	if s == nil || s.life != m.Server.Life {
		s = &seen{life: m.Server.Life, slots: m.Server.Slots, work: float64(assumedWork)}
		p.seen[m.Name] = s
	}
	return s
}

// pick returns the best of the members that is not among the tried ones, or
// nil, and counts the request as open there.
func (p *picker) pick(now time.Time, members []*fleet.Member, tried []string, bulk bool) *fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *fleet.Member
	bestCost := 0.0
	for _, m := range members {
		if contains(tried, m.Name) {
			continue
		}
		cost := p.cost(now, m, bulk)
		if best == nil || cost < bestCost {
			best, bestCost = m, cost
		}
	}
	if best != nil {
		p.of(best).open++
	}
	return best
}

// cost predicts the time of a request at a server, with a little noise so that
// entries with the same knowledge do not all choose alike.
func (p *picker) cost(now time.Time, m *fleet.Member, bulk bool) float64 {
	s := p.of(m)
	busy := s.open
	if now.Sub(s.at) < staleAfter {
		busy = s.running + s.waiting + max(0, s.open-s.openThen)
	}
	slots := max(1, s.slots)
	cost := s.work * (1 + max(0, float64(busy+1-slots))/float64(slots) + 0.3*float64(busy)/float64(slots))
	if bulk && m.Name != p.self && now.Sub(s.at) < staleAfter {
		cost += float64(s.linkWait)
	}
	switch {
	case m.Zone != p.zone && bulk:
		cost += float64(crossZoneBulk)
	case m.Zone != p.zone:
		cost += float64(crossZone)
	}
	if now.Before(s.avoidUntil) {
		cost += float64(time.Second)
	}
	return cost * (0.95 + 0.1*rand.Float64())
}

// done takes the end of a request that was picked.
func (p *picker) done(now time.Time, m *fleet.Member, h *wire.ResponseHead) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.of(m)
	s.open = max(0, s.open-1)
	code := result.Code(h.GetCode())
	if h.GetSlots() > 0 {
		s.running, s.waiting, s.slots = int(h.GetInFlight()), int(h.GetWaiting()), int(h.GetSlots())
		s.openThen = s.open
		s.at = now
		s.linkWait = time.Duration(h.GetLinkWaitMs()) * time.Millisecond
	}
	switch code {
	case result.OK:
		s.work += workWeight * (float64(h.GetServedUs())*float64(time.Microsecond) - s.work)
	case result.BackendBusy, result.CancelledAfter, result.CancelledBefore:
	default:
		s.avoidUntil = now.Add(avoidFor)
	}
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

package locality

import (
	"math"
	"time"

	"fulmarhinge/internal/fleet"
)

const (
	// initialWork is the assumed service time of a route before its first response.
	initialWork = 50 * time.Millisecond
	// initialBytes and initialBulkBytes are the assumed size of request and response.
	initialBytes     = 1 << 10
	initialBulkBytes = 64 << 10
	// averageWeight is the weight of the newest sample in moving averages.
	averageWeight = 0.05
	// reportMemory is the time constant with which a reported load gives way to the
	// server's average load.
	reportMemory = 500 * time.Millisecond
	// slownessMemory is the time constant with which a reported slowness is forgotten. A
	// slow phase lasts some 400 ms.
	slownessMemory = 400 * time.Millisecond
	// speedMemory is the time constant with which the speed of a server that is not
	// chosen returns to the mean, so that it is tried again.
	speedMemory = 10 * time.Second
	// freshReport is the maximum age of a report that is certain.
	freshReport = 200 * time.Millisecond
	// avoidTime is how long a server is avoided after a failed request.
	avoidTime = 700 * time.Millisecond
	// avoidPenalty is added to the prediction for such a server.
	avoidPenalty = time.Second
	// loadShare is the relative increase of the service time of a server whose slots are
	// all taken.
	loadShare = 0.3
	// maxTracked is the number of servers, routes or services at which all are dropped.
	maxTracked = 4096
)

// average is a moving average whose first samples weigh more.
type average struct {
	value   float64
	samples int
}

func (a *average) add(x float64) {
	a.samples++
	a.value += max(averageWeight, 1/float64(a.samples)) * (x - a.value)
}

// routeStats holds what is known of a route, over all servers: the averages of the
// service time in ns and of the size of request and response in bytes, and the errors of
// predictions.
type routeStats struct {
	work, bytes average
	errors      errorShares
}

// Report is what a gate states in a response. The zero value of a field means that it is
// not known or does not apply.
type Report struct {
	// Running, Waiting and Slots are the load of the server.
	Running, Waiting, Slots int
	// LinkWait is the time until another large response has been sent.
	LinkWait time.Duration
	// Limit and Rate are in requests per second, 0 if unlimited; the waits are those of
	// another request.
	Limit, Rate         float64
	LimitWait, RateWait time.Duration
	// ColdLeft is how long Rate applies because the server is cold; 0 if it is not. RateWait
	// is then that of a request of Priority.
	ColdLeft time.Duration
	Priority int
	// Slowness is the momentary service time in percent of the usual one.
	Slowness int
}

// Outcome is what became of a request.
type Outcome struct {
	// Report is nil if the response has none.
	Report *Report
	// Served is true if the request was answered, after Waited in the gate's queue and
	// Work at the server. Bytes is the size of request and response.
	Served       bool
	Waited, Work time.Duration
	Bytes        int
	// Failed is true if the server is to be avoided for a while.
	Failed bool
}

// server is what is known about one backend server.
type server struct {
	instance fleet.Instance
	// inFlight counts the requests of this entry that have not ended, and
	// inFlightAtReport those at the time of the report, which includes them.
	inFlight, inFlightAtReport int
	report                     Report
	// reportedAt is the time of the report, zero before the first one.
	reportedAt time.Time
	// load is the average load in requests, linkWait the average of Report.LinkWait in
	// ns, and slowness the average of Report.Slowness in percent.
	load, linkWait, slowness average
	// linkTime is the shortest reported LinkWait: that of a response alone on the link.
	linkTime time.Duration
	// speed is the service time relative to the route's average.
	speed      average
	servedAt   time.Time
	avoidUntil time.Time
}

// peekServer returns what is known of a member's server, or what is assumed of a new one.
func (b *Balancer) peekServer(m *fleet.Member) *server {
	if s := b.servers[m.Name]; s != nil && s.instance == m.Server.Instance {
		return s
	}
	return &server{instance: m.Server.Instance, report: Report{Slots: m.Server.Slots}, speed: average{value: 1, samples: 1}}
}

// server is peekServer, but keeps what is assumed.
func (b *Balancer) server(m *fleet.Member) *server {
	s := b.peekServer(m)
	if b.servers[m.Name] != s {
		if len(b.servers) >= maxTracked {
			b.servers = map[string]*server{}
		}
		b.servers[m.Name] = s
	}
	return s
}

// peekRoute returns what is known of a route, or what is assumed of a new one.
func (b *Balancer) peekRoute(r Request) *routeStats {
	if s := b.routes[r.Route]; s != nil {
		return s
	}
	s := &routeStats{work: average{value: float64(initialWork)}, errors: newErrorShares(), bytes: average{value: initialBytes}}
	if r.Bulk {
		s.bytes.value = initialBulkBytes
	}
	return s
}

// route is peekRoute, but keeps what is assumed.
func (b *Balancer) route(r Request) *routeStats {
	s := b.peekRoute(r)
	if b.routes[r.Route] != s {
		if len(b.routes) >= maxTracked {
			b.routes = map[string]*routeStats{}
		}
		b.routes[r.Route] = s
	}
	return s
}

// peekWork returns the average service time of all requests of a service.
func (b *Balancer) peekWork(service string) *average {
	if s := b.services[service]; s != nil {
		return s
	}
	return &average{value: float64(initialWork)}
}

// work is peekWork, but keeps what is assumed.
func (b *Balancer) work(service string) *average {
	s := b.peekWork(service)
	if b.services[service] != s {
		if len(b.services) >= maxTracked {
			b.services = map[string]*average{}
		}
		b.services[service] = s
	}
	return s
}

// fade returns a report's value as it gives way to the average, with the age of the
// report and the time constant of the change.
func fade(reported, mean float64, age, memory time.Duration) float64 {
	return mean + (reported-mean)*math.Exp(-float64(age)/float64(memory))
}

// predict returns the predicted time until the response in ns, without jitter.
func (b *Balancer) predict(now time.Time, m *fleet.Member, s *server, r Request, route *routeStats) float64 {
	age, sent := now.Sub(s.reportedAt), max(0, s.inFlight-s.inFlightAtReport)
	slots := float64(max(1, s.report.Slots))
	load, linkWait, slowness := float64(s.inFlight), 0.0, 1.0
	if !s.reportedAt.IsZero() {
		load = max(load, float64(sent)+fade(float64(s.report.Running+s.report.Waiting), s.load.value, age, reportMemory))
		linkWait = fade(float64(s.report.LinkWait), s.linkWait.value, age, reportMemory)
		if s.report.Slowness > 0 && s.slowness.value > 0 {
			slowness = fade(float64(s.report.Slowness)/s.slowness.value, 1, age, slownessMemory)
		}
	}
	speed := fade(s.speed.value, 1, now.Sub(s.servedAt), speedMemory) * slowness
	if s.servedAt.IsZero() {
		speed = slowness
	}
	out := speed * route.work.value * (1 + loadShare*load/slots)
	out += speed * b.peekWork(m.Server.Service).value * max(0, load+1-slots) / slots
	out += float64(s.paceWait(age, sent))
	if r.Bulk && m.Name != b.self {
		out += linkWait + float64(sent)*float64(s.linkTime)
	}
	if m.Zone != b.zone {
		out += float64(zoneDistance)
	}
	if now.Before(s.avoidUntil) {
		out += float64(avoidPenalty)
	}
	return out
}

// paceWait returns the wait for the limit and the rate of the server, with the age of
// the report and the number of requests sent since.
func (s *server) paceWait(age time.Duration, sent int) time.Duration {
	wait := time.Duration(0)
	if age >= max(reportMemory, s.report.ColdLeft) {
		return 0
	}
	if s.report.Limit > 0 && age < reportMemory {
		wait = s.report.LimitWait - age + perSecond(sent, s.report.Limit)
	}
	if s.report.Rate > 0 {
		wait = max(wait, s.report.RateWait-age+perSecond(sent, s.report.Rate))
	}
	return max(0, wait)
}

// perSecond returns the time that n requests take at a rate per second.
func perSecond(n int, rate float64) time.Duration {
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// certainWait returns the wait for the server's limit or rate of a request that precedes
// all that wait; 0 if the report is not fresh. While a server is cold it is heard of rarely:
// what it stated then holds for requests that do not precede the one to which it was stated.
func (s *server) certainWait(now time.Time, priority int) time.Duration {
	age := now.Sub(s.reportedAt)
	if !s.reportedAt.IsZero() && age < s.report.ColdLeft && priority >= s.report.Priority {
		return s.paceWait(age, max(0, s.inFlight-s.inFlightAtReport))
	}
	if s.reportedAt.IsZero() || age > freshReport {
		return 0
	}
	return max(0, s.paceWait(age, -s.report.Waiting))
}

// Done records the outcome of a request that Choose assigned to the member.
func (b *Balancer) Done(now time.Time, m *fleet.Member, r Request, c Choice, o Outcome) {
	s := b.server(m)
	s.inFlight = max(0, s.inFlight-1)
	if o.Report != nil && o.Report.Slots > 0 {
		s.record(now, *o.Report)
	}
	if o.Served {
		route := b.route(r)
		work := float64(o.Work)
		route.work.add(work)
		route.bytes.add(float64(o.Bytes))
		if c.Predicted > 0 {
			route.errors.add(float64(o.Waited+o.Work) / float64(c.Predicted))
		}
		b.work(m.Server.Service).add(work)
		if mean := route.work.value; mean > 0 {
			s.speed.add(work / mean)
		}
		s.servedAt = now
	}
	if o.Failed {
		s.avoidUntil = now.Add(avoidTime)
	}
}

// record replaces the report.
func (s *server) record(now time.Time, r Report) {
	s.report, s.reportedAt, s.inFlightAtReport = r, now, s.inFlight
	s.load.add(float64(r.Running + r.Waiting))
	if r.LinkWait > 0 {
		s.linkWait.add(float64(r.LinkWait))
		if s.linkTime == 0 || r.LinkWait < s.linkTime {
			s.linkTime = r.LinkWait
		}
	}
	if r.Slowness > 0 {
		s.slowness.add(float64(r.Slowness))
	}
}

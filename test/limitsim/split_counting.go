package limitsim

import (
	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/contract"
)

// queueBucket is a token bucket with a bounded queue.
type queueBucket struct {
	rate, burst, tokens float64
	maxWaiting          int
	last                clock.Mono
	waiting             []clock.Mono
}

func newQueueBucket(now clock.Mono, rate, burst, waiting float64) *queueBucket {
	return &queueBucket{rate: rate, burst: burst, tokens: burst, maxWaiting: int(waiting), last: now}
}

// arrive queues a request with its deadline, or refuses it.
func (b *queueBucket) arrive(deadline clock.Mono) {
	if len(b.waiting) <= b.maxWaiting {
		b.waiting = append(b.waiting, deadline)
	}
}

// advance returns how many requests go on.
func (b *queueBucket) advance(now clock.Mono) int {
	b.tokens += b.rate * now.Sub(b.last).Seconds()
	b.last = now
	n := 0
	for len(b.waiting) > 0 && b.tokens >= 1 {
		if now < b.waiting[0] {
			b.tokens--
			n++
		}
		b.waiting = b.waiting[1:]
	}
	b.tokens = min(b.tokens, max(b.burst, 1))
	return n
}

// Split gives each node an even part of the contract.
type Split struct {
	buckets []*queueBucket
	lost    map[int]bool
}

// NewSplit starts a fleet at the time.
func NewSplit(now clock.Mono, nodes int, t contract.Terms) *Split {
	s := &Split{lost: make(map[int]bool)}
	part := 1 / float64(nodes)
	for range nodes {
		s.buckets = append(s.buckets, newQueueBucket(now, t.Rate*part, float64(t.Burst)*part, float64(t.MaxWaiting)*part))
	}
	return s
}

// Arrive implements Policy.
func (s *Split) Arrive(now clock.Mono, node int) { s.buckets[node].arrive(now.Add(maxTime)) }

// Advance implements Policy.
func (s *Split) Advance(now clock.Mono) int {
	n := 0
	for i, b := range s.buckets {
		if !s.lost[i] {
			n += b.advance(now)
		}
	}
	return n
}

// Messages implements Policy.
func (s *Split) Messages() int { return 0 }

// RoundTrips implements Policy.
func (s *Split) RoundTrips() int { return 0 }

// Cut implements Policy; a split needs no messages.
func (s *Split) Cut(int, bool) {}

// Lose implements Policy; the parts of the others stay as they are.
func (s *Split) Lose(node int) { s.lost[node] = true }

// Restart implements Policy: a new process begins with a full bucket.
func (s *Split) Restart(now clock.Mono, node int) {
	b := s.buckets[node]
	s.buckets[node] = newQueueBucket(now, b.rate, b.burst, float64(b.maxWaiting))
}

// Counter implements Policy.
func (s *Split) Counter() int { return -1 }

// Counting asks one node for each request.
type Counting struct {
	terms    contract.Terms
	bucket   *queueBucket
	counter  int
	nodes    int
	now      clock.Mono
	cut      map[int]bool
	lost     map[int]bool
	replace  clock.Mono
	transit  []clock.Mono
	messages int
	trips    int
}

// NewCounting starts a fleet at the time; node 0 counts.
func NewCounting(now clock.Mono, nodes int, t contract.Terms) *Counting {
	c := &Counting{terms: t, nodes: nodes, cut: make(map[int]bool), lost: make(map[int]bool)}
	c.bucket = newQueueBucket(now, t.Rate, float64(t.Burst), float64(t.MaxWaiting))
	return c
}

// Arrive implements Policy.
func (c *Counting) Arrive(now clock.Mono, node int) {
	if node != c.counter {
		c.messages += 2
		c.trips++
	}
	if node != c.counter && (c.cut[node] || c.cut[c.counter]) || c.lost[c.counter] {
		return
	}
	c.transit = append(c.transit, now.Add(Latency))
}

// Advance implements Policy.
func (c *Counting) Advance(now clock.Mono) int {
	c.now = now
	if c.replace != 0 && now >= c.replace {
		c.counter = (c.counter + 1) % c.nodes
		c.replace = 0
		// What the lost counter let pass is unknown: the burst begins empty.
		c.bucket = newQueueBucket(now, c.terms.Rate, float64(c.terms.Burst), float64(c.terms.MaxWaiting))
		c.bucket.tokens = 0
	}
	for len(c.transit) > 0 && c.transit[0] <= now {
		c.bucket.arrive(now.Add(maxTime))
		c.transit = c.transit[1:]
	}
	if c.lost[c.counter] {
		return 0
	}
	return c.bucket.advance(now)
}

// Messages implements Policy.
func (c *Counting) Messages() int { return c.messages }

// RoundTrips implements Policy.
func (c *Counting) RoundTrips() int { return c.trips }

// Cut implements Policy.
func (c *Counting) Cut(node int, cut bool) {
	c.cut[node] = cut
	if cut && node == c.counter {
		c.replace = c.now.Add(evictionDelay)
	}
}

// Lose implements Policy.
func (c *Counting) Lose(node int) {
	c.lost[node] = true
	if node == c.counter {
		c.replace = c.now.Add(evictionDelay)
	}
}

// Restart implements Policy: the new process counts from an empty bucket.
func (c *Counting) Restart(now clock.Mono, node int) {
	if node == c.counter {
		c.bucket = newQueueBucket(now, c.terms.Rate, float64(c.terms.Burst), float64(c.terms.MaxWaiting))
		c.bucket.tokens = 0
	}
}

// Counter implements Policy.
func (c *Counting) Counter() int { return c.counter }

var (
	_ Policy = (*Leased)(nil)
	_ Policy = (*Split)(nil)
	_ Policy = (*Counting)(nil)
)

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

// arrive queues a request with its deadline, or refuses it if the queue is full.
func (b *queueBucket) arrive(deadline clock.Mono) {
	if len(b.waiting) <= b.maxWaiting {
		b.waiting = append(b.waiting, deadline)
	}
}

// advance returns the number of requests admitted since the last call. It drops
// requests past their deadline.
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

// Split is a policy that gives each node an equal, fixed part of the contract.
type Split struct {
	buckets []*queueBucket
	lost    map[int]bool
}

// NewSplit starts a fleet at time now.
func NewSplit(now clock.Mono, nodes int, t contract.Terms) *Split {
	s := &Split{lost: make(map[int]bool)}
	part := 1 / float64(nodes)
	for range nodes {
		s.buckets = append(s.buckets, newQueueBucket(now, t.Rate*part, float64(t.Burst)*part, float64(t.MaxWaiting)*part))
	}
	return s
}

// Arrive implements Policy.
func (s *Split) Arrive(now clock.Mono, node int) { s.buckets[node].arrive(now.Add(maxWait)) }

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

// Cut implements Policy. It has no effect, because this policy sends no messages.
func (s *Split) Cut(int, bool) {}

// Kill implements Policy. The parts of the other nodes do not change.
func (s *Split) Kill(node int) { s.lost[node] = true }

// Restart implements Policy. The new process starts with a full bucket.
func (s *Split) Restart(now clock.Mono, node int) {
	b := s.buckets[node]
	s.buckets[node] = newQueueBucket(now, b.rate, b.burst, float64(b.maxWaiting))
}

// Coordinator implements Policy.
func (s *Split) Coordinator() int { return -1 }

// Counting is a policy in which one node, the coordinator, decides on each request.
type Counting struct {
	terms       contract.Terms
	bucket      *queueBucket
	coordinator int
	nodes       int
	now         clock.Mono
	cut         map[int]bool
	lost        map[int]bool
	replaceAt   clock.Mono
	inTransit   []clock.Mono
	messages    int
	roundTrips  int
}

// NewCounting starts a fleet at time now. Node 0 is the coordinator.
func NewCounting(now clock.Mono, nodes int, t contract.Terms) *Counting {
	c := &Counting{terms: t, nodes: nodes, cut: make(map[int]bool), lost: make(map[int]bool)}
	c.bucket = newQueueBucket(now, t.Rate, float64(t.Burst), float64(t.MaxWaiting))
	return c
}

// Arrive implements Policy.
func (c *Counting) Arrive(now clock.Mono, node int) {
	if node != c.coordinator {
		c.messages += 2
		c.roundTrips++
	}
	if node != c.coordinator && (c.cut[node] || c.cut[c.coordinator]) || c.lost[c.coordinator] {
		return
	}
	c.inTransit = append(c.inTransit, now.Add(MessageDelay))
}

// Advance implements Policy.
func (c *Counting) Advance(now clock.Mono) int {
	c.now = now
	if c.replaceAt != 0 && now >= c.replaceAt {
		c.coordinator = (c.coordinator + 1) % c.nodes
		c.replaceAt = 0
		// The new coordinator does not know how many requests the lost one admitted,
		// so its bucket starts empty.
		c.bucket = newQueueBucket(now, c.terms.Rate, float64(c.terms.Burst), float64(c.terms.MaxWaiting))
		c.bucket.tokens = 0
	}
	for len(c.inTransit) > 0 && c.inTransit[0] <= now {
		c.bucket.arrive(now.Add(maxWait))
		c.inTransit = c.inTransit[1:]
	}
	if c.lost[c.coordinator] {
		return 0
	}
	return c.bucket.advance(now)
}

// Messages implements Policy.
func (c *Counting) Messages() int { return c.messages }

// RoundTrips implements Policy.
func (c *Counting) RoundTrips() int { return c.roundTrips }

// Cut implements Policy.
func (c *Counting) Cut(node int, cut bool) {
	c.cut[node] = cut
	if cut && node == c.coordinator {
		c.replaceAt = c.now.Add(evictionDelay)
	}
}

// Kill implements Policy.
func (c *Counting) Kill(node int) {
	c.lost[node] = true
	if node == c.coordinator {
		c.replaceAt = c.now.Add(evictionDelay)
	}
}

// Restart implements Policy. A restarted coordinator starts with an empty bucket.
func (c *Counting) Restart(now clock.Mono, node int) {
	if node == c.coordinator {
		c.bucket = newQueueBucket(now, c.terms.Rate, float64(c.terms.Burst), float64(c.terms.MaxWaiting))
		c.bucket.tokens = 0
	}
}

// Coordinator implements Policy.
func (c *Counting) Coordinator() int { return c.coordinator }

var (
	_ Policy = (*Leased)(nil)
	_ Policy = (*Split)(nil)
	_ Policy = (*Counting)(nil)
)

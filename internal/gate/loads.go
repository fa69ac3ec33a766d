package gate

import (
	"sync"
	"time"

	"fulmarhinge/internal/fleet"
	"fulmarhinge/internal/wire"
)

const (
	// maxSpanLoadShare is the maximum share of the server's load in one
	// reported span, unless a single key has more.
	maxSpanLoadShare = 0.02
	// rateDecay is the weight of the previous rate at each sample.
	rateDecay = 0.5
)

// loads counts the requests per key.
type loads struct {
	mu          sync.Mutex
	counts      []uint32
	rates       []float32
	sampledAt   time.Time
	serviceTime time.Duration
	servedCount int
}

func newLoads() loads { return loads{sampledAt: time.Now()} }

// addServed adds the service time of a request that was answered.
func (l *loads) addServed(serviceTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serviceTime += serviceTime
	l.servedCount++
}

// addRequest counts a request for a key, whether or not it is answered:
// requests that an overloaded server refuses are part of its load.
func (l *loads) addRequest(key int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key < 0 || key > fleet.MaxKey {
		return
	}
	if l.counts == nil {
		l.counts = make([]uint32, fleet.MaxKey+1)
		l.rates = make([]float32, fleet.MaxKey+1)
	}
	l.counts[key]++
}

// Sample returns the load since the last sample in spans of adjacent keys, and
// the mean service time; 0 if nothing was served.
func (g *Gate) Sample() ([]*wire.SpanLoad, time.Duration) {
	l := &g.loads
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	period := now.Sub(l.sampledAt).Seconds()
	l.sampledAt = now
	mean := time.Duration(0)
	if l.servedCount > 0 {
		mean = l.serviceTime / time.Duration(l.servedCount)
	}
	l.servedCount, l.serviceTime = 0, 0
	if l.counts == nil || period <= 0 {
		return nil, mean
	}
	total := float32(0)
	for k := range l.rates {
		if l.counts[k] == 0 && l.rates[k] == 0 {
			continue
		}
		l.rates[k] = l.rates[k]*rateDecay + float32(l.counts[k])/float32(period)*(1-rateDecay)
		l.counts[k] = 0
		if l.rates[k] < 0.01 {
			l.rates[k] = 0
		}
		total += l.rates[k]
	}
	return l.spans(total), mean
}

func (l *loads) spans(total float32) []*wire.SpanLoad {
	var out []*wire.SpanLoad
	limit := total * maxSpanLoadShare
	from, last, sum := -1, -1, float32(0)
	flush := func() {
		if from >= 0 {
			out = append(out, &wire.SpanLoad{From: uint32(from), To: uint32(last), Rate: float64(sum)})
		}
		from, sum = -1, 0
	}
	for k, rate := range l.rates {
		if rate == 0 {
			continue
		}
		if from >= 0 && sum+rate > limit {
			flush()
		}
		if from < 0 {
			from = k
		}
		last = k
		sum += rate
	}
	flush()
	return out
}

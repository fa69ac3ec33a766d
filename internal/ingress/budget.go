package ingress

import (
	"sync"
	"time"
)

// RetryShare is a node's part of the fleet's retry budget.
type RetryShare struct {
	// Ratio is the number of retries allowed per request, over all nodes.
	Ratio float64
	// Extra is the number of retries that the fleet may make in each Window in
	// addition to those allowed by Ratio.
	Extra  float64
	Window time.Duration
	// Nodes is the number of nodes that share Extra.
	Nodes int
}

const (
	// ratioFraction and extraFraction are the fractions of Ratio and Extra that a
	// node uses. They are below 1 because the window slides in steps, the number
	// of nodes changes, and refusals by backend servers count against the budget.
	ratioFraction = 0.8
	extraFraction = 0.7
	// windowSlices is the number of time slices in a window.
	windowSlices = 10
)

// retryBudget limits this node's retries for each service over a sliding window,
// without coordination with other nodes.
type retryBudget struct {
	mu       sync.Mutex
	share    RetryShare
	services map[string]*slidingWindow
}

// slidingWindow counts requests and retries in each time slice of a window.
type slidingWindow struct {
	requests  [windowSlices]float64
	retries   [windowSlices]float64
	lastSlice int64
}

func newRetryBudget() *retryBudget { return &retryBudget{services: map[string]*slidingWindow{}} }

// SetRetryShare sets the node's share of the fleet's retry budget.
func (s *Server) SetRetryShare(share RetryShare) {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.share = share
}

// addRequest counts a request.
func (b *retryBudget) addRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, service)
	if w != nil {
		w.requests[w.lastSlice%windowSlices]++
	}
}

// allowRetry reports whether one more retry is within the budget, and if so counts
// it.
func (b *retryBudget) allowRetry(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(now, service)
	if w == nil {
		return false
	}
	requests, retries := 0.0, 0.0
	for i := range windowSlices {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	limit := ratioFraction*b.share.Ratio*requests + extraFraction*b.share.Extra/float64(max(1, b.share.Nodes))
	if retries+1 > limit {
		return false
	}
	w.retries[w.lastSlice%windowSlices]++
	return true
}

// windowAt returns the window of a service with the slices that have passed by now
// cleared, or nil if no budget is set.
func (b *retryBudget) windowAt(now time.Time, service string) *slidingWindow {
	if b.share.Window <= 0 {
		return nil
	}
	w := b.services[service]
	if w == nil {
		w = &slidingWindow{}
		b.services[service] = w
	}
	slice := now.UnixNano() / int64(b.share.Window/windowSlices)
	if elapsedSlices := slice - w.lastSlice; elapsedSlices != 0 {
		for i := range min(max(elapsedSlices, -elapsedSlices), windowSlices) {
			index := (slice - i) % windowSlices
			w.requests[index], w.retries[index] = 0, 0
		}
		w.lastSlice = slice
	}
	return w
}

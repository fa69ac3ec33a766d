package admission

import "time"

const (
	// failureWeight is the weight of the newest run in a class's share of failed runs,
	// and probeWeight that of a probe, so that a few good probes end the state.
	failureWeight = 0.05
	probeWeight   = 0.25
	// failingAbove is the share of failed runs above which a class is failing, and
	// recoveredBelow the share below which it no longer is.
	failingAbove   = 0.6
	recoveredBelow = 0.4
	// minFailureRuns is the number of runs before a class can be failing.
	minFailureRuns = 10
	// maxProbes is the number of requests of a failing class that run at once.
	maxProbes = 2
	// probeInterval is the time between the starts of two probes.
	probeInterval = 100 * time.Millisecond
)

// failures follows the runs of one class that end with the server's own failure, mostly
// because nested calls fail. While most of them do, only probes are started: other
// requests would take slots and calls of other servers for nothing.
type failures struct {
	share     float64
	runs      int
	failing   bool
	probes    int
	nextProbe time.Time
}

// ended records the outcome of a run.
func (f *failures) ended(failed bool) {
	weight, x := failureWeight, 0.0
	if f.failing {
		weight = probeWeight
	}
	if failed {
		x = 1
	}
	if f.runs < minFailureRuns {
		f.runs++
		weight = max(weight, 1/float64(f.runs))
	}
	f.share += weight * (x - f.share)
	switch {
	case f.failing && f.share < recoveredBelow:
		f.failing = false
	case !f.failing && f.share > failingAbove && f.runs >= minFailureRuns:
		f.failing = true
	}
}

// wait returns how long the next request must wait; 0 if it may start.
func (f *failures) wait(now time.Time) time.Duration {
	if !f.failing {
		return 0
	}
	wait := max(0, f.nextProbe.Sub(now))
	if f.probes >= maxProbes {
		wait = max(wait, probeInterval)
	}
	return wait
}

// mayRun reports whether the state of its class allows a request to start.
func (s *Scheduler) mayRun(now time.Time, r *Request) bool {
	f := s.failures[r.Class]
	return f == nil || f.wait(now) == 0
}

func (s *Scheduler) startProbe(now time.Time, r *Request) {
	if f := s.failures[r.Class]; f != nil && f.failing {
		r.probe = true
		f.probes++
		f.nextProbe = now.Add(probeInterval)
	}
}

func (s *Scheduler) endProbe(r *Request) {
	if f := s.failures[r.Class]; r.probe && f != nil {
		f.probes = max(0, f.probes-1)
	}
}

// Ended records whether the server answered a run with a failure of its own. It returns
// true if the class has become one that mostly fails, or no longer is.
func (s *Scheduler) Ended(class string, failed bool) (changed, failing bool) {
	f := s.failures[class]
	if f == nil {
		if !failed {
			return false, false
		}
		if len(s.failures) >= maxClasses {
			s.failures = map[string]*failures{}
		}
		f = &failures{}
		s.failures[class] = f
	}
	before := f.failing
	f.ended(failed)
	return f.failing != before, f.failing
}

package admission

import (
	"math"
	"time"
)

const (
	// shareMemory is the time constant of the counts of offered and started requests.
	// It covers several bursts of about a second.
	shareMemory = 5 * time.Second
	// lastingMemory is that of the counts that decide whether a class has starved for so
	// long that it goes before higher priorities.
	lastingMemory = 20 * time.Second
	// minShare is the share of requests that a class is started at least, as a part of
	// that of all classes. Callers that return count each time, so that in plays 0.2
	// gave the callers of a class 0.31 to 0.34 times the share of all callers, and 0.15
	// no more than 0.25 to 0.29; a quarter is required.
	minShare = 0.2
	// minShareOffered is the number of recent requests below which a class is not
	// compared with the others.
	minShareOffered = 8
	// minCapacityShare bounds the share of the slots that is assumed to be left to a
	// priority by the higher ones.
	minCapacityShare = 0.1
	// maxClasses is the number of classes at which all estimates are reset.
	maxClasses = 4096
)

// decayedSum is a sum whose terms lose weight with time.
type decayedSum struct {
	value  float64
	at     time.Time
	memory time.Duration
}

func (d *decayedSum) get(now time.Time) float64 {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.value *= math.Exp(-float64(elapsed) / float64(d.memory))
		d.at = now
	}
	return d.value
}

func (d *decayedSum) add(now time.Time, x float64) { d.value, d.at = d.get(now)+x, now }

// servedShare counts recent requests and those of them that were given a slot.
type servedShare struct{ offered, started decayedSum }

// shares holds the recent shares of all classes and the work by priority.
type shares struct {
	memory  time.Duration
	all     *servedShare
	classes map[string]*servedShare
	// work holds the service time in ns of the requests started, by priority.
	work map[int]*decayedSum
}

func newServedShare(memory time.Duration) *servedShare {
	return &servedShare{offered: decayedSum{memory: memory}, started: decayedSum{memory: memory}}
}

func newShares(memory time.Duration) shares {
	return shares{
		memory: memory, all: newServedShare(memory), classes: map[string]*servedShare{}, work: map[int]*decayedSum{},
	}
}

func (s *shares) class(name string) *servedShare {
	c := s.classes[name]
	if c == nil {
		if len(s.classes) >= maxClasses {
			s.classes = map[string]*servedShare{}
		}
		c = newServedShare(s.memory)
		s.classes[name] = c
	}
	return c
}

func (s *shares) offer(now time.Time, r *Request) {
	s.all.offered.add(now, 1)
	s.class(r.Class).offered.add(now, 1)
}

func (s *shares) start(now time.Time, r *Request, work time.Duration) {
	s.all.started.add(now, 1)
	s.class(r.Class).started.add(now, 1)
	w := s.work[r.rank]
	if w == nil {
		w = &decayedSum{memory: s.memory}
		s.work[r.rank] = w
	}
	w.add(now, float64(work))
}

// starved reports whether a class is given slots much less often than all classes.
func (s *shares) starved(now time.Time, class string) bool {
	c := s.class(class)
	offered := c.offered.get(now)
	if offered < minShareOffered {
		return false
	}
	return c.started.get(now)*s.all.offered.get(now) < minShare*s.all.started.get(now)*offered
}

// capacityShare returns the share of the slots that higher priorities leave.
func (s *shares) capacityShare(now time.Time, priority, slots int) float64 {
	taken := 0.0
	for p, w := range s.work {
		if p < priority {
			taken += w.get(now)
		}
	}
	return max(minCapacityShare, 1-taken/float64(s.memory)/float64(slots))
}

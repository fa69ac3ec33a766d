package node

import (
	"maps"
	"time"

	"fulmarhinge/internal/backend"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/placement"
)

const (
	// rateWeight is the weight of the newest sample in the moving average.
	rateWeight = 0.3
	// leastRate is the rate in requests/s below which a unit is forgotten.
	leastRate = 0.01
)

// rates turns counts into moving averages of requests a second.
type rates struct{ average map[cluster.Unit]float64 }

func newRates() *rates { return &rates{average: map[cluster.Unit]float64{}} }

// add takes the counts of the last period and returns the present averages of
// all units and of the keys that may be worth a pin.
func (r *rates) add(l backend.Loads, period time.Duration) map[cluster.Unit]float64 {
	fresh := map[cluster.Unit]float64{}
	for _, c := range l.Units {
		fresh[c.Unit] = float64(c.Count) / period.Seconds()
	}
	for _, c := range l.Keys {
		u := cluster.Unit{Service: c.Unit.Service, Shard: c.Unit.Shard, Key: c.Key}
		rate := float64(c.Count-c.Error) / period.Seconds()
		if c.Unit.Key == "" && rate >= placement.MinHotRate {
			fresh[u] = rate
		}
	}
	for u, old := range r.average {
		next := old + rateWeight*(fresh[u]-old)
		if next < leastRate {
			delete(r.average, u)
			continue
		}
		r.average[u] = next
	}
	for u, rate := range fresh {
		if _, known := r.average[u]; !known {
			r.average[u] = rate
		}
	}
	return maps.Clone(r.average)
}

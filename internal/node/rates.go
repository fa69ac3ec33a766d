package node

import (
	"maps"
	"time"

	"fulmarhinge/internal/backend"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/placement"
)

const (
	// newestSampleWeight is the weight of the newest sample in the moving
	// average.
	newestSampleWeight = 0.3
	// minTrackedRPS is the rate in requests/s below which a unit is no longer
	// tracked.
	minTrackedRPS = 0.01
)

// rateAverages keeps exponentially weighted moving averages of request rates,
// in requests/s.
type rateAverages struct{ byUnit map[cluster.Unit]float64 }

func newRateAverages() *rateAverages { return &rateAverages{byUnit: map[cluster.Unit]float64{}} }

// update adds the counts of the last period and returns the averages of all
// units and of the keys that are hot enough for a pin.
func (r *rateAverages) update(l backend.Loads, period time.Duration) map[cluster.Unit]float64 {
	sampled := map[cluster.Unit]float64{}
	for _, c := range l.Units {
		sampled[c.Unit] = float64(c.Count) / period.Seconds()
	}
	for _, c := range l.Keys {
		u := cluster.Unit{Service: c.Unit.Service, Shard: c.Unit.Shard, Key: c.Key}
		rate := float64(c.Count-c.Error) / period.Seconds()
		if c.Unit.Key == "" && rate >= placement.MinHotKeyRPS {
			sampled[u] = rate
		}
	}
	for u, average := range r.byUnit {
		next := average + newestSampleWeight*(sampled[u]-average)
		if next < minTrackedRPS {
			delete(r.byUnit, u)
			continue
		}
		r.byUnit[u] = next
	}
	for u, rate := range sampled {
		if _, known := r.byUnit[u]; !known {
			r.byUnit[u] = rate
		}
	}
	return maps.Clone(r.byUnit)
}

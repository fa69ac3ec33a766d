package locality

import "math"

const (
	// errorBins is the number of bins of the prediction errors. The first one begins at
	// the ratio minError, and each following at a ratio that is binsPerDouble-th root of
	// 2 times higher; the last one has no end.
	errorBins     = 24
	minError      = 0.25
	binsPerDouble = 4
	// errorMemory is the number of responses over which errors are remembered.
	errorMemory = 300
	// initialErrorWeight is the weight, in responses, of the errors assumed at first.
	// They spread evenly over the bins from initialErrorFrom to initialErrorTo, which
	// are the ratios 0.5 to 3: servers are up to two times slower than usual, and a slow
	// phase makes them three times slower.
	initialErrorWeight = 4
	initialErrorFrom   = 4
	initialErrorTo     = 14
)

// errorShares is the distribution of the ratio of actual and predicted time of the
// responses of a route, in which older responses weigh less.
type errorShares struct {
	weights [errorBins]float64
	total   float64
}

func newErrorShares() errorShares {
	e := errorShares{total: initialErrorWeight}
	for i := initialErrorFrom; i <= initialErrorTo; i++ {
		e.weights[i] = initialErrorWeight / float64(initialErrorTo-initialErrorFrom+1)
	}
	return e
}

// bin returns the position of a ratio in bins, from 0 to the last bin.
func bin(ratio float64) float64 {
	if ratio <= minError {
		return 0
	}
	return min(math.Log2(ratio/minError)*binsPerDouble, errorBins-1)
}

func (e *errorShares) add(ratio float64) {
	e.total = 1
	for i := range e.weights {
		e.weights[i] *= 1 - 1.0/errorMemory
		e.total += e.weights[i]
	}
	e.weights[int(bin(ratio))]++
}

// beyond returns the share of responses whose ratio is higher.
func (e *errorShares) beyond(ratio float64) float64 {
	if ratio <= 0 {
		return 1
	}
	at := bin(ratio)
	first := int(at)
	n := e.weights[first] * (float64(first+1) - at)
	for _, w := range e.weights[first+1:] {
		n += w
	}
	return n / e.total
}

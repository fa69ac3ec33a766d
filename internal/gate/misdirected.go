package gate

import (
	"sync"

	"fulmarhinge/internal/clock"
)

// maxDoubts is how many keys may be in doubt before all are.
const maxDoubts = 8

// doubts holds keys that the server said it does not hold although they were
// granted: the answer to its report was lost or is late. Its next report tells.
type doubts struct {
	mu   sync.Mutex
	keys []int
}

func (d *doubts) add(key int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.keys) <= maxDoubts {
		d.keys = append(d.keys, key)
	}
}

func (d *doubts) clear() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keys = d.keys[:0]
}

// any reports whether any of the keys from to to is in doubt.
func (d *doubts) any(from, to int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.keys) > maxDoubts {
		return true
	}
	for _, k := range d.keys {
		if k >= from && k <= to {
			return true
		}
	}
	return false
}

// holds reports whether the server may be sent a request for the key: the key
// is granted, and nothing says that the grant has not arrived.
func (g *Gate) holds(key int) bool {
	h := g.held.Load()
	row, ok := h.Row(key, clock.Now())
	return ok && !g.doubts.any(row.From, row.To)
}

package gate

import (
	"sync"

	"fulmarhinge/internal/clock"
)

// maxMisdirectedKeys is the number of misdirected keys above which every key is
// treated as misdirected.
const maxMisdirectedKeys = 8

// misdirectedKeys holds keys that were granted to the server but for which it
// answered that it does not hold them, because the answer to its report was
// lost or is late. They are cleared when its next report is answered.
type misdirectedKeys struct {
	mu   sync.Mutex
	keys []int
}

func (m *misdirectedKeys) add(key int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.keys) <= maxMisdirectedKeys {
		m.keys = append(m.keys, key)
	}
}

func (m *misdirectedKeys) clear() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.keys = m.keys[:0]
}

// any reports whether a key in the range [from, to] is misdirected.
func (m *misdirectedKeys) any(from, to int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.keys) > maxMisdirectedKeys {
		return true
	}
	for _, k := range m.keys {
		if k >= from && k <= to {
			return true
		}
	}
	return false
}

// holds reports whether the server may be sent a request for the key: the key
// is granted, and the server has not answered that it does not hold the key's
// row.
func (g *Gate) holds(key int) bool {
	h := g.held.Load()
	row, ok := h.Row(key, clock.Now())
	return ok && !g.misdirected.any(row.From, row.To)
}

package fleet

import (
	"math"

	"fulmarhinge/internal/wire"
)

// maxMalformedSenders bounds how many senders of malformed messages are logged.
const maxMalformedSenders = 64

// checkStatus reports why a member's status cannot be used.
func checkStatus(s *wire.NodeStatus) error {
	if s == nil {
		return ErrMalformed.New("the status is empty")
	}
	if !isAmount(s.GetWeight()) || !isAmount(s.GetWorkMs()) {
		return ErrMalformed.New("weight %v or service time %v is not an amount", s.GetWeight(), s.GetWorkMs())
	}
	if !isAmount(s.GetLimit()) {
		return ErrMalformed.New("limit %v is not an amount", s.GetLimit())
	}
	for _, l := range s.GetLoads() {
		if !isKeyRange(l.GetFrom(), l.GetTo()) || !isAmount(l.GetRate()) {
			return ErrMalformed.New("load %v of keys %d to %d", l.GetRate(), l.GetFrom(), l.GetTo())
		}
	}
	for _, r := range s.GetReleased() {
		if !isKeyRange(r.GetFrom(), r.GetTo()) {
			return ErrMalformed.New("release of keys %d to %d", r.GetFrom(), r.GetTo())
		}
	}
	return nil
}

func isKeyRange(from, to uint32) bool { return from <= to && to <= MaxKey }

// isAmount reports whether a number can be stored and compared: JSON has no
// representation of infinity and of "not a number".
func isAmount(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// noteMalformed logs that a message of a peer cannot be used, once for each sender.
func (m *Machine) noteMalformed(sender, what string, err error) {
	if m.malformedSenders[sender] || len(m.malformedSenders) >= maxMalformedSenders {
		return
	}
	if m.malformedSenders == nil {
		m.malformedSenders = map[string]bool{}
	}
	m.malformedSenders[sender] = true
	m.note("malformed message ignored", "from", sender, "what", what, "error", err)
}

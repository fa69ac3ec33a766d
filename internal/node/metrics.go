package node

import (
	"github.com/VictoriaMetrics/metrics"

	"fulmarhinge/internal/peer"
)

// registerMetrics exports the bytes and messages of the control sessions since
// the start.
func (n *Node) registerMetrics() {
	export := func(name string, value func(s peer.Stats) uint64) {
		metrics.GetOrCreateGauge(name, func() float64 { return float64(value(n.peers.Stats())) })
	}
	export("fulmarhinge_control_bytes_sent", func(s peer.Stats) uint64 { return s.BytesSent })
	export("fulmarhinge_control_bytes_received", func(s peer.Stats) uint64 { return s.BytesReceived })
	export("fulmarhinge_control_messages_sent", func(s peer.Stats) uint64 { return s.MessagesSent })
	export("fulmarhinge_control_messages_received", func(s peer.Stats) uint64 { return s.MessagesReceived })
	export("fulmarhinge_control_messages_dropped", func(s peer.Stats) uint64 { return s.MessagesDropped })
}

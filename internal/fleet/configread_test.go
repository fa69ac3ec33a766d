package fleet

import "testing"

// TestConfigChangesInAnotherOrder guards against a node that goes back to an older configuration, as two changes were
// queued in another order.
func TestConfigChangesInAnotherOrder(t *testing.T) {
	m := newStableSim(1, 3).nodes[0].machine
	for _, version := range []uint64{7, 6} {
		m.Step(m.now, ConfigChanged{Version: version, KeyedServices: map[string]bool{"svc": version == 7}})
	}
	if m.configVersion != 7 || !m.keyedServices["svc"] {
		t.Errorf("configuration %d is in force", m.configVersion)
	}
}

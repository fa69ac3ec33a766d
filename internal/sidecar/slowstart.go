package sidecar

import (
	"fulmarhinge/internal/route"
	"fulmarhinge/internal/slowstart"
)

// slowStart returns the limit for a cold server: by the settings and the service's slow
// start, or by the settings alone if the configuration is not known yet (nil).
func slowStart(b Bounds, service string, c *route.Config) slowstart.Config {
	if b.SlowStartRatio == 0 && b.SlowStartExtra == 0 {
		return slowstart.Config{}
	}
	out := slowstart.Config{Ratio: b.SlowStartRatio, Extra: b.SlowStartExtra}
	if c == nil {
		out.Unknown = true
		return out
	}
	start := c.Services[service].SlowStart
	out.Duration, out.PerSecond = start.Duration, start.PerSecond
	return out
}

// updateSlowStart passes the limit for a cold server to the gate, by the settings and the
// configuration in force.
func (w *configWatcher) updateSlowStart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.node.settings.Load()
	w.node.gate.SetSlowStart(slowStart(s.Bounds, s.Service, w.config))
}

package soak

import (
	"math/rand"
	"syscall"
	"time"

	"fulmarhinge/platform/standin"
)

// fault is one fault; it returns what ends it, or nil if nothing has to.
type fault struct {
	name  string
	begin func(f *fleet, m *machine, rng *rand.Rand) func()
}

var faults = []fault{
	{"node killed", func(f *fleet, m *machine, _ *rand.Rand) func() {
		m.signal(syscall.SIGKILL)
		<-m.exited
		return f.restart(m)
	}},
	{"node stopped", func(f *fleet, m *machine, _ *rand.Rand) func() {
		if !m.up() {
			return nil
		}
		return f.drain(m)
	}},
	{"node paused", func(_ *fleet, m *machine, _ *rand.Rand) func() {
		process := m.process
		m.paused = true
		m.signal(syscall.SIGSTOP)
		return func() {
			if m.process == process {
				m.signal(syscall.SIGCONT)
				m.paused = false
			}
		}
	}},
	{"all nodes killed", func(f *fleet, _ *machine, rng *rand.Rand) func() {
		var ends []func()
		for _, m := range f.machines {
			if rng.Intn(100) < 70 {
				m.signal(syscall.SIGKILL)
				<-m.exited
				ends = append(ends, f.restart(m))
			}
		}
		return func() {
			for _, end := range ends {
				end()
			}
		}
	}},
	{"backend restarted", func(f *fleet, m *machine, _ *rand.Rand) func() {
		m.backend.Stop()
		must(f.t, m.backend.Start())
		return nil
	}},
	{"backend gone", func(f *fleet, m *machine, _ *rand.Rand) func() {
		m.backend.Stop()
		return func() {
			m.backend.Stop()
			must(f.t, m.backend.Start())
		}
	}},
	{"backend silent", func(_ *fleet, m *machine, _ *rand.Rand) func() {
		m.backend.Silence(true)
		return func() { m.backend.Silence(false) }
	}},
	{"peers cut", onProxy(func(m *machine) *proxy { return m.peers }, toTarget, toDialer)},
	{"peers cut one way", onProxy(func(m *machine) *proxy { return m.peers }, toTarget)},
	{"peers cut other way", onProxy(func(m *machine) *proxy { return m.peers }, toDialer)},
	{"reports cut one way", onProxy(func(m *machine) *proxy { return m.reports }, toDialer)},
	{"requests cut one way", onProxy(func(m *machine) *proxy { return m.requests }, toDialer)},
	{"machine cut off", func(f *fleet, m *machine, _ *rand.Rand) func() {
		f.cut(m, true)
		return func() { f.cut(m, false) }
	}},
	{"answers lost", func(_ *fleet, m *machine, _ *rand.Rand) func() {
		// Requests that run get no answer; a reset then tells the node so in time
		// for another attempt.
		m.requests.silence(toDialer, true)
		time.Sleep(80 * time.Millisecond)
		m.requests.reset(false)
		m.requests.silence(toDialer, false)
		return nil
	}},
	{"store cut", onProxy(func(m *machine) *proxy { return m.store }, toTarget, toDialer)},
	{"peers slow", func(_ *fleet, m *machine, rng *rand.Rand) func() {
		m.peers.slow(time.Duration(rng.Intn(120)) * time.Millisecond)
		return func() { m.peers.slow(0) }
	}},
	{"peers reset", func(_ *fleet, m *machine, rng *rand.Rand) func() {
		m.peers.reset(rng.Intn(2) == 0)
		return func() { m.peers.reset(false) }
	}},
	{"requests reset", func(_ *fleet, m *machine, _ *rand.Rand) func() {
		m.requests.reset(false)
		return nil
	}},
	{"store away", onStore(standin.Faults{Down: true})},
	{"store turns away", onStore(standin.Faults{TurnAway: 0.6})},
	{"store slow", onStore(standin.Faults{Slow: 600 * time.Millisecond})},
	{"store loses answers", onStore(standin.Faults{Lose: true})},
	{"store forgets", func(f *fleet, _ *machine, _ *rand.Rand) func() {
		f.store.Forget()
		return nil
	}},
	{"configuration changed", func(f *fleet, _ *machine, _ *rand.Rand) func() {
		f.changeConfig()
		return nil
	}},
}

// restart returns what starts a node whose process has ended.
func (f *fleet) restart(m *machine) func() {
	process := m.process
	return func() {
		if m.process == process {
			f.start(m)
		}
	}
}

// drain stops a node as an operator would. It must end within its bounds, also
// if other faults hit it meanwhile, but not while it is paused.
func (f *fleet) drain(m *machine) func() {
	process, exited, begun := m.process, m.exited, time.Now()
	m.signal(syscall.SIGTERM)
	return func() {
		if m.process != process {
			return
		}
		wait := time.Until(begun.Add((drainS+graceS)*time.Second + time.Second))
		select {
		case <-exited:
		case <-time.After(max(wait, 10*time.Millisecond)):
			if !m.paused {
				f.judge.complain("%s has not ended %v after it was stopped", m.name, time.Since(begun))
			}
			m.signal(syscall.SIGKILL)
			<-exited
		}
		f.start(m)
	}
}

// onProxy silences directions of one of a machine's proxies.
func onProxy(of func(*machine) *proxy, directions ...direction) func(*fleet, *machine, *rand.Rand) func() {
	return func(_ *fleet, m *machine, _ *rand.Rand) func() {
		for _, d := range directions {
			of(m).silence(d, true)
		}
		return func() {
			for _, d := range directions {
				of(m).silence(d, false)
			}
		}
	}
}

// onStore lets the store misbehave for all nodes.
func onStore(faults standin.Faults) func(*fleet, *machine, *rand.Rand) func() {
	return func(f *fleet, _ *machine, _ *rand.Rand) func() {
		f.store.Misbehave(faults)
		return func() { f.store.Misbehave(standin.Faults{}) }
	}
}

// cut holds all between a machine and the others and the store.
func (f *fleet) cut(m *machine, cut bool) {
	for _, d := range []direction{toTarget, toDialer} {
		m.peers.silence(d, cut)
		m.store.silence(d, cut)
	}
	for _, other := range f.machines {
		other.peers.cut(m.settings.Listen.PeersFrom, cut)
	}
}

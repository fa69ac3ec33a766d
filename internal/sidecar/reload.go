package sidecar

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
)

// reloadEvery is the time between two looks at the settings file, which may
// change without a signal.
const reloadEvery = time.Second

// reload takes over changes of the settings file at path: on SIGHUP, and when
// its content is found to differ. Settings that cannot be used are refused, and
// the earlier ones kept.
func (n *Node) reload(ctx context.Context, path string) {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	defer signal.Stop(hangUp)
	last, err := os.ReadFile(path)
	if err != nil {
		n.log.Warn("settings cannot be read again", "path", path, "error", err)
	}
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangUp:
			signalled = true
		case <-t.C:
		}
		b, err := os.ReadFile(path)
		if err != nil {
			n.log.Warn("settings cannot be read again", "path", path, "error", err)
			continue
		}
		if !signalled && bytes.Equal(b, last) {
			continue
		}
		last = b
		n.takeSettings(b, signalled)
	}
}

// takeSettings puts new bounds in force. What a node listens on and who it is
// cannot change while it runs.
func (n *Node) takeSettings(b []byte, signalled bool) {
	s, err := ParseSettings(b)
	if err != nil {
		n.log.Error("settings refused, the earlier ones stay in force", "signal", signalled, "error", err)
		return
	}
	old := n.settings.Load()
	fixed, wanted := *old, *s
	fixed.Bounds, wanted.Bounds = Bounds{}, Bounds{}
	fixed.Log, wanted.Log = Log{}, Log{}
	if fixed != wanted {
		n.log.Warn("settings besides bounds and log take effect at the next start", "signal", signalled)
	}
	next := *old
	next.Bounds, next.Log = s.Bounds, s.Log
	n.settings.Store(&next)
	n.gate.SetDrain(duration(s.Bounds.Drain))
	n.entry.SampleServed(s.Log.ServedOneIn)
	for _, l := range []hclog.Logger{n.log, n.decisions} {
		l.SetLevel(hclog.LevelFromString(s.Log.LevelName()))
	}
	n.log.Info("settings in force", "signal", signalled, "changed", *old != next)
}

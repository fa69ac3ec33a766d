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

// settingsPollInterval is the interval at which the settings file is checked for
// changes without a signal.
const settingsPollInterval = time.Second

// watchSettings applies the settings file at path on SIGHUP and when its content
// changes. Invalid settings are rejected and the previous ones stay active.
func (n *Node) watchSettings(ctx context.Context, path string) {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	last, err := os.ReadFile(path)
	if err != nil {
		n.log.Warn("settings file cannot be read", "path", path, "error", err)
	}
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-sighup:
			signalled = true
		case <-t.C:
		}
		b, err := os.ReadFile(path)
		if err != nil {
			n.log.Warn("settings file cannot be read", "path", path, "error", err)
			continue
		}
		if !signalled && bytes.Equal(b, last) {
			continue
		}
		last = b
		n.applySettings(b, signalled)
	}
}

// applySettings applies new bounds and log settings. Other settings, such as listen
// addresses and the node's name, only take effect on restart.
func (n *Node) applySettings(b []byte, signalled bool) {
	s, err := ParseSettings(b)
	if err != nil {
		n.log.Error("settings refused, the earlier ones stay in force", "signal", signalled, "error", err)
		return
	}
	old := n.settings.Load()
	oldStatic, newStatic := *old, *s
	oldStatic.Bounds, newStatic.Bounds = Bounds{}, Bounds{}
	oldStatic.Log, newStatic.Log = Log{}, Log{}
	if oldStatic != newStatic {
		n.log.Warn("changed settings other than bounds and log take effect at the next start", "signal", signalled)
	}
	next := *old
	next.Bounds, next.Log = s.Bounds, s.Log
	n.settings.Store(&next)
	n.gate.SetDrainPeriod(secondsToDuration(s.Bounds.DrainSeconds))
	n.config.updateSlowStart()
	n.ingress.SetServedSampling(s.Log.ServedOneIn)
	for _, l := range []hclog.Logger{n.log, n.decisions} {
		l.SetLevel(hclog.LevelFromString(s.Log.LevelName()))
	}
	n.log.Info("settings in force", "signal", signalled, "changed", *old != next)
}

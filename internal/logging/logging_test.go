package logging

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// newTestLogger returns a limited logger, its output and a function that advances
// its clock.
func newTestLogger() (hclog.Logger, *bytes.Buffer, func(time.Duration)) {
	out := &bytes.Buffer{}
	now := time.Unix(1000, 0)
	base := hclog.New(&hclog.LoggerOptions{Output: out, Level: hclog.Info, DisableTime: true})
	return Limit(base, func() time.Time { return now }), out, func(d time.Duration) { now = now.Add(d) }
}

func countLines(out *bytes.Buffer) int { return strings.Count(out.String(), "\n") }

func TestRepeatedWarningIsCounted(t *testing.T) {
	log, out, advance := newTestLogger()
	log = log.Named("lease")
	for range 100 {
		log.Warn("renewal failed", "error", "timeout")
	}
	if countLines(out) != 1 {
		t.Fatalf("wrote %d lines", countLines(out))
	}
	advance(limitWindow)
	log.Warn("renewal failed", "error", "timeout")
	if !strings.Contains(out.String(), "suppressed=99") || !strings.Contains(out.String(), "lease: renewal failed") {
		t.Errorf("got %s", out)
	}
}

func TestDistinctLinesAreLimitedSeparately(t *testing.T) {
	tests := []struct {
		name  string
		write func(log hclog.Logger)
		want  int
	}{
		{"two members", func(l hclog.Logger) { l.Warn("lost", "member", "a"); l.Warn("lost", "member", "b") }, 2},
		{"two loggers", func(l hclog.Logger) { l.Named("a").Warn("lost"); l.Named("b").Warn("lost") }, 2},
		{"two texts", func(l hclog.Logger) { l.Warn("lost"); l.Warn("found") }, 2},
		{"one member, two errors", func(l hclog.Logger) { l.Error("lost", "error", 1); l.Error("lost", "error", 2) }, 1},
		{"derived loggers share limits", func(l hclog.Logger) { l.With("x", 1).Error("lost"); l.With("x", 2).Error("lost") }, 1},
		{"below the level", func(l hclog.Logger) { l.Debug("lost"); l.Trace("lost") }, 0},
		{"written with Log", func(l hclog.Logger) { l.Log(hclog.Warn, "lost"); l.ResetNamed("").Warn("lost") }, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			log, out, _ := newTestLogger()
			tc.write(log)
			if countLines(out) != tc.want {
				t.Errorf("wrote %d lines, want %d:\n%s", countLines(out), tc.want, out)
			}
		})
	}
}

func TestInfoHasHigherLimit(t *testing.T) {
	log, out, _ := newTestLogger()
	for range 2 * maxInfoLinesPerWindow {
		log.Info("unit serving")
	}
	if countLines(out) != maxInfoLinesPerWindow {
		t.Errorf("wrote %d lines", countLines(out))
	}
}

func TestLimiterMemoryIsBounded(t *testing.T) {
	log, _, _ := newTestLogger()
	for i := range 10 * maxTrackedLines {
		log.Warn(fmt.Sprintf("text %d", i))
	}
	if n := len(log.(*limitedLogger).limiter.lines); n > maxTrackedLines {
		t.Errorf("tracks %d lines", n)
	}
}

func TestNewWritesJSON(t *testing.T) {
	out := &bytes.Buffer{}
	New(Options{Level: "warn", JSON: true, Output: out}).Named("caller").Warn("slow")
	if !strings.Contains(out.String(), `"@module":"caller"`) {
		t.Errorf("got %s", out)
	}
}

package logging

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
)

// suppressedLines counts lines that were suppressed, over all loggers.
var suppressedLines = metrics.NewCounter("fulmarhinge_log_lines_suppressed_total")

// subjectKeys are the keys of arguments that distinguish lines with the same
// text: failures of two peers at the same time are two events.
var subjectKeys = map[string]bool{"member": true, "peer": true, "service": true, "url": true, "to": true}

// limitedLogger is a logger that limits repeated lines. Loggers derived from it
// share its limiter.
type limitedLogger struct {
	hclog.Logger
	limiter *repeatLimiter
}

// Limit wraps base in a logger that limits how often lines with the same prefix,
// level, text and subject are written in one window. The first such line of the
// next window carries the number of suppressed ones.
func Limit(base hclog.Logger, now func() time.Time) hclog.Logger {
	return &limitedLogger{Logger: base, limiter: &repeatLimiter{now: now, lines: map[string]*lineCount{}}}
}

func (l *limitedLogger) write(level hclog.Level, msg string, args []any) {
	// The level is checked first, so that lines below it are not tracked.
	if level < l.GetLevel() {
		return
	}
	suppressed, ok := l.limiter.allow(l.key(level, msg, args), maxPerWindow(level))
	if !ok {
		suppressedLines.Inc()
		return
	}
	if suppressed > 0 {
		args = append(args[:len(args):len(args)], "suppressed", suppressed)
	}
	l.Logger.Log(level, msg, args...)
}

// key identifies a line by prefix, level, text and subject.
func (l *limitedLogger) key(level hclog.Level, msg string, args []any) string {
	key := fmt.Sprintf("%s\x00%d\x00%s", l.Name(), level, msg)
	for i := 0; i+1 < len(args); i += 2 {
		if name, ok := args[i].(string); ok && subjectKeys[name] {
			key += fmt.Sprintf("\x00%v", args[i+1])
		}
	}
	return key
}

// maxPerWindow returns how many equal lines of the level are written in one window.
func maxPerWindow(level hclog.Level) int {
	if level >= hclog.Warn {
		return maxWarnLinesPerWindow
	}
	return maxInfoLinesPerWindow
}

// Log writes a line at the level.
func (l *limitedLogger) Log(level hclog.Level, msg string, args ...any) { l.write(level, msg, args) }

// Trace writes a line at level trace.
func (l *limitedLogger) Trace(msg string, args ...any) { l.write(hclog.Trace, msg, args) }

// Debug writes a line at level debug.
func (l *limitedLogger) Debug(msg string, args ...any) { l.write(hclog.Debug, msg, args) }

// Info writes a line at level info.
func (l *limitedLogger) Info(msg string, args ...any) { l.write(hclog.Info, msg, args) }

// Warn writes a line at level warn.
func (l *limitedLogger) Warn(msg string, args ...any) { l.write(hclog.Warn, msg, args) }

// Error writes a line at level error.
func (l *limitedLogger) Error(msg string, args ...any) { l.write(hclog.Error, msg, args) }

// With returns a logger that adds the arguments to every line.
func (l *limitedLogger) With(args ...any) hclog.Logger {
	return &limitedLogger{Logger: l.Logger.With(args...), limiter: l.limiter}
}

// Named returns a logger with the name appended to the prefix.
func (l *limitedLogger) Named(name string) hclog.Logger {
	return &limitedLogger{Logger: l.Logger.Named(name), limiter: l.limiter}
}

// ResetNamed returns a logger with the name as its whole prefix.
func (l *limitedLogger) ResetNamed(name string) hclog.Logger {
	return &limitedLogger{Logger: l.Logger.ResetNamed(name), limiter: l.limiter}
}

// lineCount counts the lines with one key in the current window.
type lineCount struct {
	windowStart time.Time
	written     int
	suppressed  int
}

// repeatLimiter counts lines by key. It is safe for concurrent use.
type repeatLimiter struct {
	now func() time.Time

	mu    sync.Mutex
	lines map[string]*lineCount
}

// allow reports whether a line may be written, and how many lines with the same
// key were suppressed in the window that has just ended.
func (r *repeatLimiter) allow(key string, limit int) (suppressed int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	l := r.lines[key]
	if l == nil {
		r.makeRoom(now)
		l = &lineCount{windowStart: now}
		r.lines[key] = l
	}
	if now.Sub(l.windowStart) >= limitWindow {
		suppressed = l.suppressed
		*l = lineCount{windowStart: now}
	}
	if l.written >= limit {
		l.suppressed++
		return 0, false
	}
	l.written++
	return suppressed, true
}

// makeRoom makes room for a new key once maxTrackedLines is reached. It deletes
// the keys of expired windows or, if there are none, all keys. Lines may then
// exceed their limit, but memory stays bounded and no new event is suppressed.
func (r *repeatLimiter) makeRoom(now time.Time) {
	if len(r.lines) < maxTrackedLines {
		return
	}
	for key, l := range r.lines {
		if now.Sub(l.windowStart) >= limitWindow {
			delete(r.lines, key)
		}
	}
	if len(r.lines) >= maxTrackedLines {
		clear(r.lines)
	}
}

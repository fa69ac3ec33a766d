package logging

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
)

// suppressedLines counts lines that were not written, over all parts.
var suppressedLines = metrics.NewCounter("fulmarhinge_log_lines_suppressed_total")

// subjectArgs are the arguments that keep lines with one text apart: two peers
// that fail at once are two events.
var subjectArgs = map[string]bool{"member": true, "peer": true, "service": true, "url": true, "to": true}

// limited is a logger that drops lines which repeat too often. Loggers made
// from it share its memory.
type limited struct {
	hclog.Logger
	memory *memory
}

// Limit returns a logger over base that writes a line with the same prefix,
// level, text and subject only so often an interval. The next line after that
// says how many were suppressed.
func Limit(base hclog.Logger, now func() time.Time) hclog.Logger {
	return &limited{Logger: base, memory: &memory{now: now, lines: map[string]*line{}}}
}

func (l *limited) write(level hclog.Level, msg string, args []any) {
	// The level is asked first: lines that are not written need no memory.
	if level < l.GetLevel() {
		return
	}
	suppressed, ok := l.memory.allow(l.key(level, msg, args), allowance(level))
	if !ok {
		suppressedLines.Inc()
		return
	}
	if suppressed > 0 {
		args = append(args[:len(args):len(args)], "suppressed", suppressed)
	}
	l.Logger.Log(level, msg, args...)
}

func (l *limited) key(level hclog.Level, msg string, args []any) string {
	key := fmt.Sprintf("%s\x00%d\x00%s", l.Name(), level, msg)
	for i := 0; i+1 < len(args); i += 2 {
		if name, ok := args[i].(string); ok && subjectArgs[name] {
			key += fmt.Sprintf("\x00%v", args[i+1])
		}
	}
	return key
}

func allowance(level hclog.Level) int {
	if level >= hclog.Warn {
		return warnLines
	}
	return infoLines
}

// Log writes a line at the level.
func (l *limited) Log(level hclog.Level, msg string, args ...any) { l.write(level, msg, args) }

// Trace writes a line at the level of that name.
func (l *limited) Trace(msg string, args ...any) { l.write(hclog.Trace, msg, args) }

// Debug writes a line at the level of that name.
func (l *limited) Debug(msg string, args ...any) { l.write(hclog.Debug, msg, args) }

// Info writes a line at the level of that name.
func (l *limited) Info(msg string, args ...any) { l.write(hclog.Info, msg, args) }

// Warn writes a line at the level of that name.
func (l *limited) Warn(msg string, args ...any) { l.write(hclog.Warn, msg, args) }

// Error writes a line at the level of that name.
func (l *limited) Error(msg string, args ...any) { l.write(hclog.Error, msg, args) }

// With returns a logger that adds the arguments to each line.
func (l *limited) With(args ...any) hclog.Logger {
	return &limited{Logger: l.Logger.With(args...), memory: l.memory}
}

// Named returns a logger with the name added to the prefix.
func (l *limited) Named(name string) hclog.Logger {
	return &limited{Logger: l.Logger.Named(name), memory: l.memory}
}

// ResetNamed returns a logger with the name as its whole prefix.
func (l *limited) ResetNamed(name string) hclog.Logger {
	return &limited{Logger: l.Logger.ResetNamed(name), memory: l.memory}
}

// line is what is remembered of one line.
type line struct {
	since      time.Time
	written    int
	suppressed int
}

// memory remembers lines. It is safe for concurrent use.
type memory struct {
	now func() time.Time

	mu    sync.Mutex
	lines map[string]*line
}

// allow reports whether a line may be written, and how many like it were
// suppressed since the last one.
func (m *memory) allow(key string, most int) (suppressed int, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	l := m.lines[key]
	if l == nil {
		m.forget(now)
		l = &line{since: now}
		m.lines[key] = l
	}
	if now.Sub(l.since) >= interval {
		suppressed = l.suppressed
		*l = line{since: now}
	}
	if l.written >= most {
		l.suppressed++
		return 0, false
	}
	l.written++
	return suppressed, true
}

// forget makes room for one more line once the memory is full. It forgets what
// is out of date, and everything if nothing is: then lines may be written too
// often, but no memory is lost and no new event is hidden.
func (m *memory) forget(now time.Time) {
	if len(m.lines) < maxKeys {
		return
	}
	for key, l := range m.lines {
		if now.Sub(l.since) >= interval {
			delete(m.lines, key)
		}
	}
	if len(m.lines) >= maxKeys {
		clear(m.lines)
	}
}

// Package logging creates the logger of a process. Each component uses a named
// logger, whose name prefixes its lines, and writes one line per event. Repeated
// lines are limited, so that a fault that persists for hours does not fill the
// log.
package logging

import (
	"io"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Limits of repeated lines; see Limit.
const (
	// limitWindow is the period to which the limits apply.
	limitWindow = 10 * time.Second
	// maxWarnLinesPerWindow is the limit of equal warnings or errors.
	maxWarnLinesPerWindow = 1
	// maxInfoLinesPerWindow is the limit of equal lines below the warning level.
	maxInfoLinesPerWindow = 20
	// maxTrackedLines bounds the memory of the limiter by the number of keys.
	maxTrackedLines = 1024
)

// timeFormat includes milliseconds, since leases are shorter than a second.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Options configure a logger.
type Options struct {
	// Level is the name of the lowest level that is written, such as "info".
	Level string
	// JSON selects one JSON object per line.
	JSON bool
	// Output receives the lines.
	Output io.Writer
}

// New returns the root logger of a process, with the limits of repeated lines.
func New(o Options) hclog.Logger { return Limit(NewUnlimited(o), time.Now) }

// NewUnlimited returns a root logger without limits, for components that limit
// their lines themselves.
func NewUnlimited(o Options) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Level:      hclog.LevelFromString(o.Level),
		Output:     o.Output,
		JSONFormat: o.JSON,
		TimeFormat: timeFormat,
	})
}

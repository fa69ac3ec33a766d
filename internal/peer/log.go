package peer

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// logInterval is the least time between two lines with the same message, so
// that a lasting failure does not flood the log.
const logInterval = time.Second

// limitedLog writes each message at most once an interval.
type limitedLog struct {
	hclog.Logger
	mu   sync.Mutex
	last map[string]time.Time
}

func newLimitedLog(l hclog.Logger) *limitedLog {
	return &limitedLog{Logger: l, last: map[string]time.Time{}}
}

func (l *limitedLog) warn(msg string, args ...any) {
	if l.allow(msg) {
		l.Warn(msg, args...)
	}
}

func (l *limitedLog) debug(msg string, args ...any) { l.Debug(msg, args...) }

// allow keeps one entry a message; messages are constants, so the map is small.
func (l *limitedLog) allow(msg string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.last[msg]) < logInterval {
		return false
	}
	l.last[msg] = now
	return true
}

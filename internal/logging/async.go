package logging

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// droppedLines counts lines that were dropped because the output was too slow.
var droppedLines = metrics.NewCounter("fulmarhinge_log_lines_dropped_total")

// maxBufferedBytes bounds the lines that wait for the output. It holds the lines
// of a busy node for a few seconds.
const maxBufferedBytes = 256 << 10

// Async is a writer that never blocks. It appends lines to a bounded buffer, from
// which a goroutine writes them to the output. Lines are dropped and counted
// while the buffer is full.
type Async struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu       sync.Mutex
	buffered []byte
	closed   bool
}

// NewAsync returns an asynchronous writer to out. Close flushes it.
func NewAsync(out io.Writer) *Async {
	a := &Async{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It buffers the whole line or drops it, and never
// returns an error.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || len(a.buffered)+len(line) > maxBufferedBytes {
		droppedLines.Inc()
		return len(line), nil
	}
	a.buffered = append(a.buffered, line...)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close flushes the buffer and stops the goroutine. Later lines are dropped.
func (a *Async) Close() {
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return
	}
	a.closed = true
	close(a.wake)
	a.mu.Unlock()
	<-a.done
}

// run writes all buffered lines with one call whenever there are some.
func (a *Async) run() {
	defer close(a.done)
	var batch []byte
	for open := true; open; {
		_, open = <-a.wake
		a.mu.Lock()
		batch, a.buffered = a.buffered, batch[:0]
		a.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		if _, err := a.out.Write(batch); err != nil {
			// The log output itself failed, so only the counter can report it.
			droppedLines.Inc()
		}
	}
}

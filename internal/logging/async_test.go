package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks every write until its channel open is closed.
type blockedWriter struct {
	mu   sync.Mutex
	open chan struct{}
	got  bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

// TestAsyncNeverBlocks writes far more than the buffer holds while the output
// blocks: Write must not block, and dropped lines must be counted.
func TestAsyncNeverBlocks(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	a := NewAsync(out)
	before := droppedLines.Get()
	line := []byte(strings.Repeat("x", 999) + "\n")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 4 * maxBufferedBytes / len(line) {
			_, _ = a.Write(line)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a write blocked")
	}
	if droppedLines.Get() == before {
		t.Error("dropped lines were not counted")
	}
	close(out.open)
	a.Close()
	if got := out.got.String(); !strings.HasSuffix(got, "\n") || strings.Count(got, "\n")*len(line) != len(got) {
		t.Error("a line was written partially")
	}
}

// TestAsyncCloseFlushes checks that Close writes all buffered lines.
func TestAsyncCloseFlushes(t *testing.T) {
	var out bytes.Buffer
	a := NewAsync(&out)
	for range 100 {
		_, _ = a.Write([]byte("line\n"))
	}
	a.Close()
	if n := strings.Count(out.String(), "line\n"); n != 100 {
		t.Errorf("%d of 100 lines were written", n)
	}
	if _, err := a.Write([]byte("late\n")); err != nil {
		t.Error(err)
	}
}

package caller

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"fulmarhinge/internal/backend"
	"fulmarhinge/internal/result"
)

// replayBody is a request body that can be read again from its start while at
// most backend.ReplayBufferBytes bytes were read from the caller. Readers of
// earlier attempts may still be active; the bytes that they read are buffered
// for later attempts.
type replayBody struct {
	control     *http.ResponseController
	src         io.Reader
	idleTimeout time.Duration
	maxBytes    int64
	// deadline is the deadline of the request.
	deadline time.Time
	// activeReads counts the reads in progress.
	activeReads atomic.Int64

	mu       sync.Mutex
	buffered []byte
	// overflowed is true once bytes beyond backend.ReplayBufferBytes may have
	// been read; they are not buffered.
	overflowed bool
	totalBytes int64
	err        error
}

func newReplayBody(w http.ResponseWriter, r *http.Request, l Limits, deadline time.Time) *replayBody {
	return &replayBody{
		control: http.NewResponseController(w), src: r.Body,
		idleTimeout: l.BodyIdleTimeout, maxBytes: l.MaxBodyBytes, deadline: deadline,
	}
}

// replayable reports whether a new reader would read the whole body.
func (b *replayBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overflowed
}

// errorBeforeDispatch returns the code of a read error that occurred before the
// first backend.ReplayBufferBytes bytes, or the whole body if it is shorter,
// were read. The owner dispatches a request only after it has received these,
// so the request has not run anywhere.
func (b *replayBody) errorBeforeDispatch(length int64) (result.Code, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var bodyErr *backend.BodyError
	bufferedBytes := int64(len(b.buffered))
	if !errors.As(b.err, &bodyErr) || bufferedBytes >= backend.ReplayBufferBytes || bufferedBytes == length {
		return 0, false
	}
	return bodyErr.Code, true
}

// newReader returns a reader that starts at the beginning of the body.
func (b *replayBody) newReader() *replayReader { return &replayReader{body: b} }

// abortReads ends a read of an earlier attempt that is waiting for the caller,
// so that the handler can return. The connection is not reused after that.
func (b *replayBody) abortReads() {
	if b.activeReads.Load() > 0 {
		_ = b.control.SetReadDeadline(time.Now())
	}
}

// replayReader is the read position of one attempt in the body.
type replayReader struct {
	body *replayBody
	pos  int
	// continueCh, if set, blocks Read at position backend.ReplayBufferBytes
	// until it is closed.
	continueCh <-chan struct{}
	// done, once closed, ends a wait for continueCh.
	done <-chan struct{}
}

// Read implements io.Reader. A failure to read from the caller is returned as a
// *backend.BodyError.
func (r *replayReader) Read(p []byte) (int, error) {
	if r.pos >= backend.ReplayBufferBytes && r.continueCh != nil {
		select {
		case <-r.continueCh:
		case <-r.done:
			return 0, io.ErrClosedPipe
		}
	}
	n, err := r.body.readAt(p, r.pos)
	r.pos += n
	return n, err
}

func (b *replayBody) readAt(p []byte, pos int) (int, error) {
	b.activeReads.Add(1)
	defer b.activeReads.Add(-1)
	b.mu.Lock()
	defer b.mu.Unlock()
	if pos < len(b.buffered) {
		return copy(p, b.buffered[pos:]), nil
	}
	if b.err != nil {
		return 0, b.err
	}
	// One byte more than ReplayBufferBytes distinguishes a body of exactly that
	// size from a longer one.
	if spare := backend.ReplayBufferBytes + 1 - len(b.buffered); spare > 0 && !b.overflowed {
		p = p[:min(len(p), spare)]
	} else {
		b.overflowed = true
	}
	return b.readSource(p)
}

// readSource reads bytes from the caller. b.mu must be held.
func (b *replayBody) readSource(p []byte) (int, error) {
	readDeadline := time.Now().Add(b.idleTimeout)
	timeoutCode := result.SlowSender
	if b.deadline.Before(readDeadline) {
		readDeadline = b.deadline
		timeoutCode = result.DeadlineBefore
	}
	_ = b.control.SetReadDeadline(readDeadline)
	n, err := b.src.Read(p)
	// A read deadline that stays set would end net/http's background read,
	// which detects that the caller disconnects, and would cancel the request.
	_ = b.control.SetReadDeadline(time.Time{})
	b.totalBytes += int64(n)
	if b.totalBytes > b.maxBytes {
		b.err = &backend.BodyError{Code: result.BodyTooLarge, Err: errBodyTooLarge}
		return 0, b.err
	}
	if !b.overflowed {
		b.buffered = append(b.buffered, p[:n]...)
	}
	b.err = asBodyError(err, timeoutCode)
	return n, b.err
}

var errBodyTooLarge = errors.New("body exceeds the limit")

// asBodyError wraps an error of reading from the caller with its result code.
func asBodyError(err error, timeoutCode result.Code) error {
	switch {
	case err == nil || err == io.EOF:
		return err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &backend.BodyError{Code: timeoutCode, Err: err}
	default:
		return &backend.BodyError{Code: result.CancelledBefore, Err: err}
	}
}

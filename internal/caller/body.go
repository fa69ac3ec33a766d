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

// replayBody is a request body that can be read again from its start as long
// as no more than ReplaySize bytes were taken from the caller. Readers of
// earlier attempts may still be active: what they take is kept for later ones.
type replayBody struct {
	control     *http.ResponseController
	src         io.Reader
	readTimeout time.Duration
	maxBytes    int64
	// deadline is that of the request.
	deadline time.Time
	// activeReads counts the reads under way.
	activeReads atomic.Int64

	mu       sync.Mutex
	buffered []byte
	// overflowed is true once bytes beyond ReplaySize may have been taken.
	overflowed bool
	totalBytes int64
	err        error
}

func newReplayBody(w http.ResponseWriter, r *http.Request, l Limits, deadline time.Time) *replayBody {
	return &replayBody{
		control: http.NewResponseController(w), src: r.Body,
		readTimeout: l.BodyPause, maxBytes: l.MaxBody, deadline: deadline,
	}
}

// replayable reports whether a new reader would see the whole body.
func (b *replayBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.overflowed
}

// errorBeforeDispatch returns the code of a body that broke before the part that an
// owner waits for in front of its dispatch was complete: the request has not
// run anywhere.
func (b *replayBody) errorBeforeDispatch(length int64) (result.Code, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var bodyErr *backend.BodyError
	bufferedBytes := int64(len(b.buffered))
	if !errors.As(b.err, &bodyErr) || bufferedBytes >= backend.ReplaySize || bufferedBytes == length {
		return 0, false
	}
	return bodyErr.Code, true
}

// newReader returns a newReader from the start of the body.
func (b *replayBody) newReader() *replayReader { return &replayReader{body: b} }

// abortReads ends a read of an earlier attempt that waits for the caller, so that the
// handler can return. The connection is then not used again.
func (b *replayBody) abortReads() {
	if b.activeReads.Load() > 0 {
		_ = b.control.SetReadDeadline(time.Now())
	}
}

// replayReader is the place of one attempt in the body.
type replayReader struct {
	body *replayBody
	pos  int
	// continueCh, if set, makes Read stop at ReplaySize until it is closed.
	continueCh <-chan struct{}
	// done ends a wait for held.
	done <-chan struct{}
}

// Read implements io.Reader. An error of the caller's side is a
// *backend.BodyError.
func (r *replayReader) Read(p []byte) (int, error) {
	if r.pos >= backend.ReplaySize && r.continueCh != nil {
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
	// One byte above ReplaySize tells a body of just that size from a longer one.
	if spare := backend.ReplaySize + 1 - len(b.buffered); spare > 0 && !b.overflowed {
		p = p[:min(len(p), spare)]
	} else {
		b.overflowed = true
	}
	return b.readSource(p)
}

// readSource takes bytes from the caller. The lock is held.
func (b *replayBody) readSource(p []byte) (int, error) {
	readDeadline := time.Now().Add(b.readTimeout)
	timeoutCode := result.SlowSender
	if b.deadline.Before(readDeadline) {
		readDeadline = b.deadline
		timeoutCode = result.DeadlineBefore
	}
	_ = b.control.SetReadDeadline(readDeadline)
	n, err := b.src.Read(p)
	// A deadline that stays set would end the watch for the caller's leaving,
	// and with it the request.
	_ = b.control.SetReadDeadline(time.Time{})
	b.totalBytes += int64(n)
	if b.totalBytes > b.maxBytes {
		b.err = &backend.BodyError{Code: result.BodyTooLarge, Err: errTooLarge}
		return 0, b.err
	}
	if !b.overflowed {
		b.buffered = append(b.buffered, p[:n]...)
	}
	b.err = asBodyError(err, timeoutCode)
	return n, b.err
}

var errTooLarge = errors.New("body exceeds the limit")

// asBodyError gives an error of the caller's side the code of its refusal.
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

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
	control *http.ResponseController
	src     io.Reader
	pause   time.Duration
	limit   int64
	// deadline is that of the request.
	deadline time.Time
	// readers counts the reads under way.
	readers atomic.Int64

	mu   sync.Mutex
	kept []byte
	// passed is true once bytes beyond ReplaySize may have been taken.
	passed bool
	total  int64
	err    error
}

func newReplayBody(w http.ResponseWriter, r *http.Request, l Limits, deadline time.Time) *replayBody {
	return &replayBody{
		control: http.NewResponseController(w), src: r.Body,
		pause: l.BodyPause, limit: l.MaxBody, deadline: deadline,
	}
}

// replayable reports whether a new reader would see the whole body.
func (b *replayBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.passed
}

// brokeEarly returns the code of a body that broke before the part that an
// owner waits for in front of its dispatch was complete: the request has not
// run anywhere.
func (b *replayBody) brokeEarly(length int64) (result.Code, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var bodyErr *backend.BodyError
	kept := int64(len(b.kept))
	if !errors.As(b.err, &bodyErr) || kept >= backend.ReplaySize || kept == length {
		return 0, false
	}
	return bodyErr.Code, true
}

// reader returns a reader from the start of the body.
func (b *replayBody) reader() *replayReader { return &replayReader{body: b} }

// stop ends a read of an earlier attempt that waits for the caller, so that the
// handler can return. The connection is then not used again.
func (b *replayBody) stop() {
	if b.readers.Load() > 0 {
		_ = b.control.SetReadDeadline(time.Now())
	}
}

// replayReader is the place of one attempt in the body.
type replayReader struct {
	body *replayBody
	pos  int
	// held, if set, makes Read stop at ReplaySize until it is closed.
	held <-chan struct{}
	// abort ends a wait for held.
	abort <-chan struct{}
}

// Read implements io.Reader. An error of the caller's side is a
// *backend.BodyError.
func (r *replayReader) Read(p []byte) (int, error) {
	if r.pos >= backend.ReplaySize && r.held != nil {
		select {
		case <-r.held:
		case <-r.abort:
			return 0, io.ErrClosedPipe
		}
	}
	n, err := r.body.readAt(p, r.pos)
	r.pos += n
	return n, err
}

func (b *replayBody) readAt(p []byte, pos int) (int, error) {
	b.readers.Add(1)
	defer b.readers.Add(-1)
	b.mu.Lock()
	defer b.mu.Unlock()
	if pos < len(b.kept) {
		return copy(p, b.kept[pos:]), nil
	}
	if b.err != nil {
		return 0, b.err
	}
	// One byte above ReplaySize tells a body of just that size from a longer one.
	if room := backend.ReplaySize + 1 - len(b.kept); room > 0 && !b.passed {
		p = p[:min(len(p), room)]
	} else {
		b.passed = true
	}
	return b.fetch(p)
}

// fetch takes bytes from the caller. The lock is held.
func (b *replayBody) fetch(p []byte) (int, error) {
	until := time.Now().Add(b.pause)
	late := result.SlowSender
	if b.deadline.Before(until) {
		until = b.deadline
		late = result.DeadlineBefore
	}
	_ = b.control.SetReadDeadline(until)
	n, err := b.src.Read(p)
	// A deadline that stays set would end the watch for the caller's leaving,
	// and with it the request.
	_ = b.control.SetReadDeadline(time.Time{})
	b.total += int64(n)
	if b.total > b.limit {
		b.err = &backend.BodyError{Code: result.BodyTooLarge, Err: errTooLarge}
		return 0, b.err
	}
	if !b.passed {
		b.kept = append(b.kept, p[:n]...)
	}
	b.err = classify(err, late)
	return n, b.err
}

var errTooLarge = errors.New("body exceeds the limit")

// classify gives an error of the caller's side the code of its refusal.
func classify(err error, late result.Code) error {
	switch {
	case err == nil || err == io.EOF:
		return err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &backend.BodyError{Code: late, Err: err}
	default:
		return &backend.BodyError{Code: result.CancelledBefore, Err: err}
	}
}

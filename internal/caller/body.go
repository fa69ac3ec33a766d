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
	// readers counts the reads under way.
	readers atomic.Int64

	mu   sync.Mutex
	kept []byte
	// passed is true once bytes beyond ReplaySize may have been taken.
	passed bool
	total  int64
	err    error
}

func newReplayBody(w http.ResponseWriter, r *http.Request, l Limits) *replayBody {
	return &replayBody{
		control: http.NewResponseController(w), src: r.Body, pause: l.BodyPause, limit: l.MaxBody,
	}
}

// replayable reports whether a new reader would see the whole body.
func (b *replayBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.passed
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
	if room := backend.ReplaySize - len(b.kept); room > 0 && !b.passed {
		p = p[:min(len(p), room)]
	} else {
		b.passed = true
	}
	return b.fetch(p)
}

// fetch takes bytes from the caller. The lock is held.
func (b *replayBody) fetch(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(time.Now().Add(b.pause))
	n, err := b.src.Read(p)
	b.total += int64(n)
	if !b.passed {
		b.kept = append(b.kept, p[:n]...)
	}
	switch {
	case err == io.EOF:
		b.err = io.EOF
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.err = &backend.BodyError{Code: result.SlowSender, Err: err}
	case err != nil:
		b.err = &backend.BodyError{Code: result.CancelledBefore, Err: err}
	case b.total > b.limit:
		b.err = &backend.BodyError{Code: result.BodyTooLarge, Err: errors.New("body exceeds the limit")}
		return 0, b.err
	}
	if b.err != nil {
		// A deadline that is left set would end the wait for the caller's
		// leaving, and with it the request.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, b.err
}

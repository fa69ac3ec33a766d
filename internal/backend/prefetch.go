package backend

import (
	"bytes"
	"errors"
	"io"

	"fulmarhinge/internal/result"
)

// prefetch reads the part of the body that fits the replay buffer before the
// request takes a slot or counts as in flight for its unit. A small body that is
// slow or truncated therefore occupies no slot, and its request is known not to
// have run. It also lets net/http send the head together with a body that is in
// memory.
func (r *request) prefetch() *result.Error {
	length := r.head.GetContentLength()
	if length == 0 {
		return nil
	}
	wantBytes := int64(ReplayBufferBytes)
	if length > 0 {
		wantBytes = min(wantBytes, length)
	}
	var buf bytes.Buffer
	buf.Grow(int(min(wantBytes, bytes.MinRead)))
	n, err := io.CopyN(&buf, r.body, wantBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		return bodyRefusal(err)
	}
	complete := n < wantBytes || n == length
	if n < wantBytes && length > 0 {
		return result.New(result.CancelledBefore)
	}
	if n == length {
		if refusal := r.expectEnd(); refusal != nil {
			return refusal
		}
	}
	r.bodyLength = length
	if complete {
		r.bodyLength = n
		r.body = bytes.NewReader(buf.Bytes())
		return nil
	}
	r.body = io.MultiReader(&buf, r.body)
	return nil
}

// expectEnd returns a refusal if more data follows a body of known length.
func (r *request) expectEnd() *result.Error {
	var one [1]byte
	n, err := io.ReadFull(r.body, one[:])
	if n > 0 {
		return result.Errorf(result.BadRequest, "The body is longer than its announced length.")
	}
	if err != nil && !errors.Is(err, io.EOF) {
		return bodyRefusal(err)
	}
	return nil
}

// bodyRefusal returns the refusal for a body that could not be read before the
// request was dispatched.
func bodyRefusal(err error) *result.Error {
	var bodyErr *BodyError
	if errors.As(err, &bodyErr) && result.Lookup(bodyErr.Code).Kind == result.NotRun {
		return result.New(bodyErr.Code)
	}
	return result.New(result.CancelledBefore)
}

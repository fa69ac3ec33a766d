package backend

import (
	"bytes"
	"errors"
	"io"

	"fulmarhinge/internal/result"
)

// prefetch reads the first ReplaySize bytes of the body before the request
// takes anything of the backend server, or holds its unit in flight. A slow or
// cut small body therefore costs no slot, and its request did not run; and
// net/http sends a head whose body is in memory together with it.
func (r *run) prefetch() *result.Error {
	length := r.head.GetContentLength()
	if length == 0 {
		return nil
	}
	want := int64(ReplaySize)
	if length > 0 {
		want = min(want, length)
	}
	var buf bytes.Buffer
	buf.Grow(int(min(want, bytes.MinRead)))
	n, err := io.CopyN(&buf, r.body, want)
	if err != nil && !errors.Is(err, io.EOF) {
		return bodyRefusal(err)
	}
	whole := n < want || n == length
	if n < want && length > 0 {
		return result.New(result.CancelledBefore)
	}
	if n == length {
		if refusal := r.expectEnd(); refusal != nil {
			return refusal
		}
	}
	r.length = length
	if whole {
		r.length = n
		r.body = bytes.NewReader(buf.Bytes())
		return nil
	}
	r.body = io.MultiReader(&buf, r.body)
	return nil
}

// expectEnd checks that nothing follows a body of known length.
func (r *run) expectEnd() *result.Error {
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

// bodyRefusal returns the refusal for a body that broke before the dispatch.
func bodyRefusal(err error) *result.Error {
	var bodyErr *BodyError
	if errors.As(err, &bodyErr) && result.Lookup(bodyErr.Code).Kind == result.NotRun {
		return result.New(bodyErr.Code)
	}
	return result.New(result.CancelledBefore)
}

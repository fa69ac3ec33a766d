package bodymem

import (
	"context"
	"errors"
	"io"
	"net/http"

	"fulmarhinge/internal/membudget"
)

// ErrOverLimit means that a body is longer than its limit.
var ErrOverLimit = errors.New("the body is over its limit")

const (
	// firstBytes is the first buffer of a body without a stated length, and
	// growthFactor is the growth of this buffer.
	firstBytes   = 4 << 10
	growthFactor = 8
	// progressBytes is how much of a body counts as progress.
	progressBytes = 16 << 10
)

// AcquireFunc is Holder.Acquire or Holder.TryAcquire.
type AcquireFunc func(h *Holder, ctx context.Context, n int64) error

// Read reads a request's body of the given length in bytes, -1 if it is not stated. Memory
// beyond the first 64 KiB is taken with acquire once these have arrived. progress is called before the
// first byte and after each 16 KiB.
func Read(ctx context.Context, h *Holder, acquire AcquireFunc, r io.Reader, length, limit int64, progress func()) ([]byte, error) {
	if length > limit {
		return nil, ErrOverLimit
	}
	known, first := length >= 0, int64(membudget.SmallBytes)
	if !known {
		length, first = limit, firstBytes
	}
	body, err := h.buffer(ctx, acquire, nil, min(length, first))
	if err != nil {
		return nil, err
	}
	whole, err := h.fill(ctx, acquire, r, &body, length, known, progress)
	if err != nil {
		h.Release(int64(cap(body)))
		return nil, err
	}
	return h.fit(ctx, whole), nil
}

// fit moves a body that fills a small part of a large buffer to one of its size, unless
// there is no memory for that.
func (h *Holder) fit(ctx context.Context, body []byte) []byte {
	if cap(body) <= membudget.SmallBytes || len(body) > cap(body)/growthFactor {
		return body
	}
	fitting, err := h.buffer(ctx, (*Holder).TryAcquire, body, int64(len(body)))
	if err != nil {
		return body
	}
	return fitting
}

// fill reads the rest of a body into a buffer that it grows. The buffer is kept in place of
// the earlier one if an error ends the read.
func (h *Holder) fill(
	ctx context.Context, acquire AcquireFunc, r io.Reader, buffer *[]byte, length int64, known bool, progress func(),
) ([]byte, error) {
	body := *buffer
	progress()
	for unreported := 0; ; {
		if len(body) == cap(body) {
			if known && int64(len(body)) == length {
				return body, nil
			}
			// A reader may return the end of the body only with the next call.
			var one [1]byte
			n, err := io.ReadFull(r, one[:])
			switch {
			case n == 0 && err == io.EOF && !known:
				return body, nil
			case n == 0:
				return nil, unexpected(err)
			case int64(len(body)) >= length:
				return nil, ErrOverLimit
			}
			grown, err := h.buffer(ctx, acquire, body, nextCapacity(int64(cap(body)), length, known))
			if err != nil {
				return nil, err
			}
			body = grown
			*buffer = body
			body = append(body, one[0])
		}
		n, err := r.Read(body[len(body):min(cap(body), len(body)+progressBytes)])
		body = body[:len(body)+n]
		if unreported += n; unreported >= progressBytes {
			unreported = 0
			progress()
		}
		switch {
		case err == io.EOF && (!known || int64(len(body)) == length):
			return body, nil
		case err != nil:
			return nil, unexpected(err)
		}
	}
}

// nextCapacity returns the size of the next buffer: the whole length if it is known. The
// last step of an unknown one is a large one, as the buffer before it is held beside it.
func nextCapacity(capacity, length int64, known bool) int64 {
	if known || capacity*growthFactor > length/growthFactor {
		return length
	}
	return capacity * growthFactor
}

// buffer returns a buffer of the given capacity with the content of an earlier one, whose
// memory it gives back.
func (h *Holder) buffer(ctx context.Context, acquire AcquireFunc, old []byte, capacity int64) ([]byte, error) {
	if err := acquire(h, ctx, capacity); err != nil {
		return nil, err
	}
	out := append(make([]byte, 0, capacity), old...)
	h.Release(int64(cap(old)))
	return out, nil
}

func unexpected(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return ErrOverLimit
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	}
	return err
}

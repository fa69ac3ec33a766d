package peer

import (
	"io"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"
)

// MaxUnaryBodyBytes is the maximum size in bytes of a body that is buffered as a
// whole instead of streamed.
const MaxUnaryBodyBytes = 16 << 20

// maxPooledBytes is the maximum capacity of a buffer that is returned to the
// pool, and of the buffer that ReadUnary allocates in advance.
const maxPooledBytes = 256 << 10

var unaryBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// WriteUnary writes a head and the complete body with one call of w.Write, so
// that a small message costs a single write.
func WriteUnary(w io.Writer, head proto.Message, body []byte) error {
	pooled := unaryBuffers.Get().(*[]byte)
	defer unaryBuffers.Put(pooled)
	buf, err := AppendFrame((*pooled)[:0], FrameHead, head)
	if err != nil {
		return err
	}
	for len(body) > 0 {
		n := min(len(body), MaxDataBytes)
		start := len(buf)
		buf = append(buf, make([]byte, FrameHeaderSize)...)
		PutFrameHeader(buf[start:], FrameData, n)
		buf = append(buf, body[:n]...)
		body = body[n:]
	}
	if cap(buf) <= maxPooledBytes {
		*pooled = buf
	}
	_, err = w.Write(buf)
	return err
}

// WritePaced is like WriteUnary but writes a large body in chunks. It calls pause
// with the size of each chunk before writing it, so that the caller can limit
// the rate and leave room for other users of the link.
func WritePaced(w io.Writer, head proto.Message, body []byte, pause func(n int) error) error {
	buf, err := AppendFrame(nil, FrameHead, head)
	if err != nil {
		return err
	}
	if _, err := w.Write(buf); err != nil {
		return err
	}
	for len(body) > 0 {
		n := min(len(body), pacedChunkBytes)
		if err := pause(n); err != nil {
			return err
		}
		buf = append(buf[:0], make([]byte, FrameHeaderSize)...)
		PutFrameHeader(buf, FrameData, n)
		buf = append(buf, body[:n]...)
		if _, err := w.Write(buf); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// pacedChunkBytes is the size of the chunks of WritePaced. A slow link takes a few
// milliseconds to send one.
const pacedChunkBytes = 16 << 10

// ReadUnary reads a head and then a body. contentLength is called after the head
// was decoded and returns the length of the body in bytes.
func ReadUnary(r io.Reader, head proto.Message, contentLength func() int64) ([]byte, error) {
	kind, n, err := ReadFrameHeader(r)
	if err != nil {
		return nil, err
	}
	if kind != FrameHead {
		return nil, ErrMalformed.New("expected a head, got kind %d", kind)
	}
	if err := ReadMessage(r, n, head); err != nil {
		return nil, err
	}
	length := contentLength()
	if length < 0 || length > MaxUnaryBodyBytes {
		return nil, ErrMalformed.New("body of %d bytes", length)
	}
	body := make([]byte, 0, min(length, maxPooledBytes))
	for int64(len(body)) < length {
		kind, n, err := ReadFrameHeader(r)
		if err != nil {
			return nil, err
		}
		if kind != FrameData || int64(len(body)+n) > length {
			return nil, ErrMalformed.New("kind %d of %d bytes inside a body", kind, n)
		}
		start := len(body)
		body = slices.Grow(body, n)[:start+n]
		if _, err := io.ReadFull(r, body[start:]); err != nil {
			return nil, err
		}
	}
	return body, nil
}

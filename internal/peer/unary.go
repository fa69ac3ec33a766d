package peer

import (
	"io"
	"sync"

	"google.golang.org/protobuf/proto"
)

// MaxUnaryBodyBytes is the maximum size in bytes of a body that is buffered as a
// whole instead of streamed. Limits of the configuration and the memory of the nodes
// are below it.
const MaxUnaryBodyBytes = 1 << 30

// maxPooledBytes is the maximum capacity of a buffer that is returned to the
// pool, and of what WriteUnary writes with one call.
const maxPooledBytes = 256 << 10

var unaryBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// WriteUnary writes a head and the complete body. A small message costs a single write;
// a large body is not copied as a whole.
func WriteUnary(w io.Writer, head proto.Message, body []byte) error {
	pooled := unaryBuffers.Get().(*[]byte)
	defer unaryBuffers.Put(pooled)
	buf, err := AppendFrame((*pooled)[:0], FrameHead, head)
	if err != nil {
		return err
	}
	for len(body) > 0 {
		n := min(len(body), MaxDataBytes)
		if len(buf)+FrameHeaderSize+n > maxPooledBytes {
			if _, err := w.Write(buf); err != nil {
				return err
			}
			buf = buf[:0]
		}
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
	if err := ReadUnaryHead(r, head); err != nil {
		return nil, err
	}
	body, err := UnaryBody(r, contentLength())
	if err != nil {
		return nil, err
	}
	return io.ReadAll(body)
}

// ReadUnaryHead reads a head.
func ReadUnaryHead(r io.Reader, head proto.Message) error {
	kind, n, err := ReadFrameHeader(r)
	if err != nil {
		return err
	}
	if kind != FrameHead {
		return ErrMalformed.New("expected a head, got kind %d", kind)
	}
	return ReadMessage(r, n, head)
}

// UnaryBody returns a reader of the body of length bytes that follows a head. It returns
// io.EOF only at the end of a complete body.
func UnaryBody(r io.Reader, length int64) (io.Reader, error) {
	if length < 0 || length > MaxUnaryBodyBytes {
		return nil, ErrMalformed.New("body of %d bytes", length)
	}
	return &unaryBody{r: r, left: length}, nil
}

type unaryBody struct {
	r io.Reader
	// left is the rest of the body in bytes, and inFrame that of the present frame.
	left    int64
	inFrame int
}

// Read implements io.Reader.
func (b *unaryBody) Read(p []byte) (int, error) {
	for b.inFrame == 0 {
		if b.left == 0 {
			return 0, io.EOF
		}
		kind, n, err := ReadFrameHeader(b.r)
		if err != nil {
			return 0, noEOF(err)
		}
		if kind != FrameData || int64(n) > b.left {
			return 0, ErrMalformed.New("kind %d of %d bytes inside a body", kind, n)
		}
		b.inFrame = n
	}
	n, err := b.r.Read(p[:min(len(p), b.inFrame)])
	b.inFrame -= n
	b.left -= int64(n)
	if b.left == 0 && b.inFrame == 0 {
		return n, nil
	}
	return n, noEOF(err)
}

// noEOF returns the error of a read inside a message.
func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

package peer

import (
	"encoding/binary"
	"io"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"
)

// Sizes of frames in bytes.
const (
	// MaxControl is the largest control message.
	MaxControl = 1500 << 10
	// MaxHead is the largest request or response head on a traffic stream.
	MaxHead = 256 << 10
	// MaxData is the largest piece of a body in one frame.
	MaxData = 32 << 10
	// maxHello is the largest handshake message.
	maxHello = 4 << 10

	lengthSize = 4
	// FrameHeader is the size of the length and the kind before each frame of
	// a traffic stream.
	FrameHeader = lengthSize + 1
)

// ErrMalformed is the class of errors caused by bytes that a correct peer does
// not send.
var ErrMalformed = errs.Class("malformed frame")

// FrameKind says what a frame on a traffic stream holds.
type FrameKind byte

// The kinds of frame.
const (
	// FrameHead holds a RequestHead or ResponseHead.
	FrameHead FrameKind = iota + 1
	// FrameData holds a piece of the body.
	FrameData
	// FrameEnd holds a BodyEnd.
	FrameEnd
	// FrameContinue is empty: the owner has begun to send the request to its
	// backend server and wants the rest of the body.
	FrameContinue
)

// limit returns the largest payload of a kind, or -1 for an unlisted kind.
func (k FrameKind) limit() int {
	switch k {
	case FrameHead:
		return MaxHead
	case FrameData:
		return MaxData
	case FrameEnd:
		return maxHello
	case FrameContinue:
		return 0
	default:
		return -1
	}
}

// AppendFrame appends a frame with an encoded message; m may be nil.
func AppendFrame(b []byte, kind FrameKind, m proto.Message) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, FrameHeader)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return b[:start], ErrMalformed.Wrap(err)
	}
	size := len(b) - start - FrameHeader
	if size > kind.limit() {
		return b[:start], ErrMalformed.New("frame of %d bytes exceeds its limit of %d", size, kind.limit())
	}
	PutFrameHeader(b[start:], kind, size)
	return b, nil
}

// PutFrameHeader writes the header of a frame whose payload has size bytes.
func PutFrameHeader(b []byte, kind FrameKind, size int) {
	binary.BigEndian.PutUint32(b, uint32(size))
	b[lengthSize] = byte(kind)
}

// ReadFrameHeader reads and checks the header of the next frame. The caller
// reads the payload.
func ReadFrameHeader(r io.Reader) (FrameKind, int, error) {
	var hdr [FrameHeader]byte
	if _, err := io.ReadFull(r, hdr[:]); err != nil {
		return 0, 0, err
	}
	kind := FrameKind(hdr[lengthSize])
	size := binary.BigEndian.Uint32(hdr[:])
	limit := kind.limit()
	if limit < 0 {
		return 0, 0, ErrMalformed.New("unlisted kind %d", kind)
	}
	if int64(size) > int64(limit) {
		return 0, 0, ErrMalformed.New("frame of kind %d has %d bytes, limit %d", kind, size, limit)
	}
	return kind, int(size), nil
}

// ReadMessage reads the payload of a frame into m.
func ReadMessage(r io.Reader, size int, m proto.Message) error {
	buf, err := readPayload(r, size)
	if err != nil {
		return err
	}
	return ErrMalformed.Wrap(proto.Unmarshal(buf, m))
}

// trustedSize is how many bytes are taken from memory on the word of a peer.
const trustedSize = 8 << 10

// readPayload reads size bytes. A large buffer grows with the bytes that
// arrive, so a false length costs no memory.
func readPayload(r io.Reader, size int) ([]byte, error) {
	if size <= trustedSize {
		buf := make([]byte, size)
		_, err := io.ReadFull(r, buf)
		return buf, err
	}
	buf, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err == nil && len(buf) < size {
		err = io.ErrUnexpectedEOF
	}
	return buf, err
}

// appendSized appends a message after its length, without a kind.
func appendSized(b []byte, m proto.Message, limit int) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, lengthSize)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return b[:start], ErrMalformed.Wrap(err)
	}
	size := len(b) - start - lengthSize
	if size > limit {
		return b[:start], ErrMalformed.New("message of %d bytes exceeds its limit of %d", size, limit)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(size))
	return b, nil
}

// readSized reads a message after its length.
func readSized(r io.Reader, m proto.Message, limit int) error {
	var hdr [lengthSize]byte
	if _, err := io.ReadFull(r, hdr[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(hdr[:])
	if int64(size) > int64(limit) {
		return ErrMalformed.New("message of %d bytes exceeds its limit of %d", size, limit)
	}
	return ReadMessage(r, int(size), m)
}

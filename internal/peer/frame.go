package peer

import (
	"encoding/binary"
	"io"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"
)

// Size limits in bytes.
const (
	// MaxControlBytes is the maximum size of a control message.
	MaxControlBytes = 1500 << 10
	// MaxHeadBytes is the maximum size of a request or response head on a
	// traffic stream.
	MaxHeadBytes = 256 << 10
	// MaxDataBytes is the maximum number of body bytes in one frame.
	MaxDataBytes = 32 << 10
	// maxHelloBytes is the maximum size of a handshake message and of a BodyEnd.
	maxHelloBytes = 4 << 10

	lengthSize = 4
	// FrameHeaderSize is the size of the header of each frame on a traffic
	// stream: the length of the payload and the kind.
	FrameHeaderSize = lengthSize + 1
)

// ErrMalformed is the class of errors for data that violates the protocol.
var ErrMalformed = errs.Class("malformed frame")

// FrameKind is the type of a frame on a traffic stream.
type FrameKind byte

// The kinds of frame.
const (
	// FrameHead carries a RequestHead or ResponseHead.
	FrameHead FrameKind = iota + 1
	// FrameData carries a chunk of the body.
	FrameData
	// FrameEnd carries a BodyEnd.
	FrameEnd
	// FrameContinue has no payload. The owner sends it when it has started to
	// send the request to its backend server and is ready for the rest of the
	// body.
	FrameContinue
)

// maxPayloadBytes returns the maximum payload size of a kind in bytes, or -1 for
// an unknown kind.
func (k FrameKind) maxPayloadBytes() int {
	switch k {
	case FrameHead:
		return MaxHeadBytes
	case FrameData:
		return MaxDataBytes
	case FrameEnd:
		return maxHelloBytes
	case FrameContinue:
		return 0
	default:
		return -1
	}
}

// AppendFrame appends a frame with the encoded message m to b. A nil m makes an
// empty payload.
func AppendFrame(b []byte, kind FrameKind, m proto.Message) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, FrameHeaderSize)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return b[:start], ErrMalformed.Wrap(err)
	}
	size := len(b) - start - FrameHeaderSize
	if size > kind.maxPayloadBytes() {
		return b[:start], ErrMalformed.New("frame of %d bytes exceeds its limit of %d", size, kind.maxPayloadBytes())
	}
	PutFrameHeader(b[start:], kind, size)
	return b, nil
}

// PutFrameHeader writes the header of a frame with a payload of size bytes to b.
func PutFrameHeader(b []byte, kind FrameKind, size int) {
	binary.BigEndian.PutUint32(b, uint32(size))
	b[lengthSize] = byte(kind)
}

// ReadFrameHeader reads and validates the header of the next frame and returns
// the kind and the size of the payload. The caller reads the payload.
func ReadFrameHeader(r io.Reader) (FrameKind, int, error) {
	var hdr [FrameHeaderSize]byte
	if _, err := io.ReadFull(r, hdr[:]); err != nil {
		return 0, 0, err
	}
	kind := FrameKind(hdr[lengthSize])
	size := binary.BigEndian.Uint32(hdr[:])
	maxBytes := kind.maxPayloadBytes()
	if maxBytes < 0 {
		return 0, 0, ErrMalformed.New("unknown frame kind %d", kind)
	}
	if int64(size) > int64(maxBytes) {
		return 0, 0, ErrMalformed.New("frame of kind %d has %d bytes, limit %d", kind, size, maxBytes)
	}
	return kind, int(size), nil
}

// ReadMessage reads a payload of size bytes and decodes it into m.
func ReadMessage(r io.Reader, size int, m proto.Message) error {
	buf, err := readPayload(r, size)
	if err != nil {
		return err
	}
	return ErrMalformed.Wrap(proto.Unmarshal(buf, m))
}

// maxPreallocatedBytes is the largest buffer that is allocated before the
// announced bytes have arrived.
const maxPreallocatedBytes = 8 << 10

// readPayload reads size bytes. The buffer of a large payload grows as data
// arrives, so a peer that announces a false length cannot make the node
// allocate much memory.
func readPayload(r io.Reader, size int) ([]byte, error) {
	if size <= maxPreallocatedBytes {
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

// appendSized appends a message prefixed with its length, without a kind.
func appendSized(b []byte, m proto.Message, maxBytes int) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, lengthSize)...)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return b[:start], ErrMalformed.Wrap(err)
	}
	size := len(b) - start - lengthSize
	if size > maxBytes {
		return b[:start], ErrMalformed.New("message of %d bytes exceeds its limit of %d", size, maxBytes)
	}
	binary.BigEndian.PutUint32(b[start:], uint32(size))
	return b, nil
}

// readSized reads a message that is prefixed with its length.
func readSized(r io.Reader, m proto.Message, maxBytes int) error {
	var hdr [lengthSize]byte
	if _, err := io.ReadFull(r, hdr[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(hdr[:])
	if int64(size) > int64(maxBytes) {
		return ErrMalformed.New("message of %d bytes exceeds its limit of %d", size, maxBytes)
	}
	return ReadMessage(r, int(size), m)
}

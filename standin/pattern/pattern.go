// Package pattern generates answers that identify their request and bodies in
// which every byte can be verified, so that a caller can check that an answer is
// complete and belongs to its request.
package pattern

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Head is the first line of an answer.
type Head struct {
	ClientID  string `json:"client_id"`
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	Server    string `json:"server"`
	// BodyDigest is the xxhash of the request's body in hexadecimal.
	BodyDigest string `json:"body_digest"`
	// Length is the number of pattern bytes that follow the line.
	Length int64 `json:"length"`
}

// Line returns the encoded head, with a newline.
func (h Head) Line() []byte {
	b, err := json.Marshal(h)
	if err != nil {
		panic("pattern: head cannot be encoded: " + err.Error())
	}
	return append(b, '\n')
}

// Digest formats a digest for Head.BodyDigest.
func Digest(sum uint64) string { return fmt.Sprintf("%016x", sum) }

// Reader returns the pattern of a request: a deterministic stream of bytes that
// differs between request ids and has no short period.
type Reader struct {
	state     uint64
	remaining int64
	word      [8]byte
	used      int
}

// NewReader returns the pattern of id, length bytes long.
func NewReader(id string, length int64) *Reader {
	return &Reader{state: xxhash.Sum64String(id) | 1, remaining: length, used: 8}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	for i := range p {
		if r.used == len(r.word) {
			r.next()
		}
		p[i] = r.word[r.used]
		r.used++
	}
	r.remaining -= int64(len(p))
	return len(p), nil
}

// next generates the next 8 bytes with a xorshift generator.
func (r *Reader) next() {
	x := r.state
	x ^= x << 13
	x ^= x >> 7
	x ^= x << 17
	r.state = x
	for i := range r.word {
		r.word[i] = byte(x >> (8 * i))
	}
	r.used = 0
}

// Check reads an answer to its end and returns its head. The error describes how
// the answer differs from the expected one to request clientID with length bytes.
func Check(body io.Reader, clientID string, length int64) (Head, error) {
	var h Head
	br := bufio.NewReader(body)
	line, err := br.ReadBytes('\n')
	if err != nil {
		return h, fmt.Errorf("the answer ends within its first line: %w", err)
	}
	if err := json.Unmarshal(line, &h); err != nil {
		return h, fmt.Errorf("cannot decode the first line of the answer: %w", err)
	}
	if h.ClientID != clientID {
		return h, fmt.Errorf("the answer belongs to request %q instead of %q", h.ClientID, clientID)
	}
	if h.Length != length {
		return h, fmt.Errorf("the answer has length %d instead of %d", h.Length, length)
	}
	return h, compare(br, NewReader(clientID, length), length)
}

// compare reads both streams to the end and returns an error if they differ.
func compare(got io.Reader, want io.Reader, length int64) error {
	const maxChunkBytes = 32 << 10
	chunk := min(length+1, maxChunkBytes)
	gotChunk, wantChunk := make([]byte, chunk), make([]byte, chunk)
	for offset := 0; ; {
		n, err := io.ReadFull(want, wantChunk)
		if n == 0 {
			break
		}
		m, gotErr := io.ReadFull(got, gotChunk[:n])
		if m < n {
			return fmt.Errorf("the answer is truncated at byte %d: %w", offset+m, gotErr)
		}
		if string(gotChunk[:n]) != string(wantChunk[:n]) {
			return fmt.Errorf("the answer has wrong bytes after offset %d", offset)
		}
		offset += n
		if err != nil {
			break
		}
	}
	if n, _ := io.ReadFull(got, gotChunk[:1]); n != 0 {
		return fmt.Errorf("the answer is longer than its declared length")
	}
	return nil
}

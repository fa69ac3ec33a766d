// Package pattern makes answers that name their request and bodies whose every
// byte can be checked, so that a caller can tell its own whole answer.
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

// Line returns the head as it is sent.
func (h Head) Line() []byte {
	b, err := json.Marshal(h)
	if err != nil {
		panic("pattern: head cannot be encoded: " + err.Error())
	}
	return append(b, '\n')
}

// Digest returns the form of a body's digest in a Head.
func Digest(sum uint64) string { return fmt.Sprintf("%016x", sum) }

// Reader yields the pattern of a request: a repeatable stream of bytes that
// differs between ids and has no short period.
type Reader struct {
	state uint64
	left  int64
	word  [8]byte
	used  int
}

// NewReader returns the pattern of id, length bytes long.
func NewReader(id string, length int64) *Reader {
	return &Reader{state: xxhash.Sum64String(id) | 1, left: length, used: 8}
}

// Read fills p with the next bytes.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > r.left {
		p = p[:r.left]
	}
	for i := range p {
		if r.used == len(r.word) {
			r.next()
		}
		p[i] = r.word[r.used]
		r.used++
	}
	r.left -= int64(len(p))
	return len(p), nil
}

// next makes the next 8 bytes with a xorshift generator.
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

// Check reads a whole answer and returns its head, or says how it differs from
// the answer to the request clientID for length bytes.
func Check(body io.Reader, clientID string, length int64) (Head, error) {
	var h Head
	br := bufio.NewReader(body)
	line, err := br.ReadBytes('\n')
	if err != nil {
		return h, fmt.Errorf("the answer ends in its first line: %w", err)
	}
	if err := json.Unmarshal(line, &h); err != nil {
		return h, fmt.Errorf("the first line is not a head: %w", err)
	}
	if h.ClientID != clientID {
		return h, fmt.Errorf("the answer names request %q instead of %q", h.ClientID, clientID)
	}
	if h.Length != length {
		return h, fmt.Errorf("the answer has length %d instead of %d", h.Length, length)
	}
	return h, compare(br, NewReader(clientID, length), length)
}

// compare reads both streams to their ends.
func compare(got io.Reader, want io.Reader, length int64) error {
	const most = 32 << 10
	chunk := min(length+1, most)
	a, b := make([]byte, chunk), make([]byte, chunk)
	for offset := 0; ; {
		n, err := io.ReadFull(want, b)
		if n == 0 {
			break
		}
		m, gotErr := io.ReadFull(got, a[:n])
		if m < n {
			return fmt.Errorf("the answer is cut at byte %d: %w", offset+m, gotErr)
		}
		if string(a[:n]) != string(b[:n]) {
			return fmt.Errorf("the answer has wrong bytes after offset %d", offset)
		}
		offset += n
		if err != nil {
			break
		}
	}
	if n, _ := io.ReadFull(got, a[:1]); n != 0 {
		return fmt.Errorf("the answer is longer than its length")
	}
	return nil
}

package upstream

import (
	"context"
	"io"
	"net"
	"net/http"

	"fulmarhinge/internal/bodymem"
	"fulmarhinge/internal/membudget"
)

const (
	// maxResponseBytes bounds the body of a response, which is buffered whole
	// before it is forwarded.
	maxResponseBytes = 16 << 20
	// ownMemoryBytes is the memory for the responses to requests without a holder in
	// their context: one that grows to maxResponseBytes, beside 2 MiB for each of 18
	// slots.
	ownMemoryBytes = 64 << 20
	// maxCopiedBytes is the size up to which a request's body is copied behind its
	// head, so that both take one write.
	maxCopiedBytes = 16 << 10
)

// readBody reads the whole body of a response into memory of the request's holder. It
// waits until the memory is free, or ctx ends.
func (c *Client) readBody(ctx context.Context, resp *http.Response) ([]byte, error) {
	if resp.Body == http.NoBody {
		// The header of such a response may state the length that a body would have.
		return nil, nil
	}
	h := bodymem.HolderOf(ctx)
	if h == nil {
		h = c.memory.Open(membudget.Running, nil)
		defer h.Close()
	}
	// Two responses that need all that they may take do not wait for each other.
	limit := min(maxResponseBytes, h.MaxLarge()/2)
	return bodymem.Read(ctx, h, (*bodymem.Holder).Acquire, resp.Body, resp.ContentLength, limit, func() {})
}

// writeRequest writes an encoded head and the body behind it.
func writeRequest(w io.Writer, head *[]byte, body []byte) error {
	if len(body) <= maxCopiedBytes {
		*head = append(*head, body...)
		_, err := w.Write(*head)
		return err
	}
	parts := net.Buffers{*head, body}
	_, err := parts.WriteTo(w)
	return err
}

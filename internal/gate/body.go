package gate

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"fulmarhinge/internal/bodymem"
	"fulmarhinge/internal/membudget"
	"fulmarhinge/internal/peer"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

// readRequest reads a request of a peer into memory of the holder. If there is none, it
// reads the body without keeping it, so that the peer can be answered that the request was
// not run.
func readRequest(ctx context.Context, conn net.Conn, h *wire.RequestHead, memory *bodymem.Holder) ([]byte, error) {
	progress := func() {
		memory.Progress()
		_ = conn.SetReadDeadline(time.Now().Add(requestReadTimeout))
	}
	progress()
	if err := peer.ReadUnaryHead(conn, h); err != nil {
		return nil, err
	}
	length := h.GetContentLength()
	reader, err := peer.UnaryBody(conn, length)
	if err != nil {
		return nil, err
	}
	body, err := bodymem.Read(ctx, memory, (*bodymem.Holder).TryAcquire, reader, length, peer.MaxUnaryBodyBytes, progress)
	if isMemoryError(err) {
		progress()
		if _, discardErr := io.Copy(io.Discard, reader); discardErr != nil {
			return nil, discardErr
		}
		return nil, err
	}
	if !memory.SetPhase(membudget.Running) {
		// The read was ended to free memory.
		return nil, bodymem.ErrExhausted
	}
	return body, err
}

func isMemoryError(err error) bool {
	return errors.Is(err, bodymem.ErrExhausted) || errors.Is(err, bodymem.ErrTooLarge)
}

// memoryCode returns the result code of a request whose body got no memory.
func memoryCode(err error) result.Code {
	if errors.Is(err, bodymem.ErrTooLarge) {
		return result.BodyTooLarge
	}
	return result.MemoryExhausted
}

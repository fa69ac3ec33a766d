package gate

import (
	"context"
	"net"
	"time"

	"fulmarhinge/internal/bodymem"
	"fulmarhinge/internal/clock"
	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/disconnect"
	"fulmarhinge/internal/membudget"
	"fulmarhinge/internal/peer"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/wire"
)

// linkTargetShare is the part of the time left to its target within which a large
// response must be predicted to be sent. Sizes differ from the mean, and the response
// takes time to the caller.
const linkTargetShare = 0.8

// bulkWait returns how long a large response may be predicted to take until it is sent.
func bulkWait(target, timeLeft time.Duration) time.Duration {
	if target <= maxLateBulkWait {
		// A request that can no longer meet its target gets only bandwidth that
		// the others leave free.
		return min(maxLateBulkWait, timeLeft/2)
	}
	return max(maxLateBulkWait, time.Duration(linkTargetShare*float64(target)))
}

// doRemote is Do for a request of another node. Large responses are paced to
// the bandwidth of the link.
func (g *Gate) doRemote(
	ctx context.Context, h *wire.RequestHead, body []byte, timeLeft time.Duration,
) (*wire.ResponseHead, []byte) {
	if timeLeft <= 0 {
		out := refuse(result.DeadlineBefore, 0)
		g.setIDAndLoad(h, out)
		return out, nil
	}
	if !h.GetBulk() {
		return g.Do(ctx, h, body)
	}
	maxWait := bulkWait(time.Duration(h.GetTargetMs())*time.Millisecond, timeLeft)
	bulkClass := class(h)
	reserved, ok := g.link.reserve(time.Now(), maxWait, bulkClass)
	if !ok {
		out := shed(h, linkReason, g.link.predictedWait(time.Now(), bulkClass)-maxWait)
		g.setIDAndLoad(h, out)
		return out, nil
	}
	out, respBody := g.Do(ctx, h, body)
	g.link.replaceReservation(reserved, len(respBody), bulkClass)
	return out, respBody
}

// ServeStream serves one request of a peer.
func (g *Gate) ServeStream(ctx context.Context, from cluster.MemberRef, conn net.Conn) {
	memory := g.memory.Open(membudget.Receiving, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	defer memory.Close()
	ctx = bodymem.WithHolder(ctx, memory)
	h := &wire.RequestHead{}
	body, err := readRequest(ctx, conn, h, memory)
	if err != nil && !isMemoryError(err) {
		g.log.Warn("failed to read the request of a peer", "from", from, "error", err)
		return
	}
	noMemory := err
	// Delay in transit beyond the usual is subtracted from the remaining time.
	delay := g.delays.excess(from, time.Duration(h.GetSentUs())*time.Microsecond, time.Duration(clock.Now()))
	timeLeft := time.Duration(h.GetDeadlineMs())*time.Millisecond - delay
	h.DeadlineMs = uint64(max(timeLeft.Milliseconds(), 0))
	h.TargetMs -= delay.Milliseconds()
	deadline := time.Now().Add(max(timeLeft, 0) + responseGrace)
	_ = conn.SetDeadline(deadline.Add(time.Second))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The peer sends nothing after the request, so the read returns when it
		// disconnects.
		var one [1]byte
		_, _ = conn.Read(one[:])
		cancel()
	}()
	if delay > disconnectCheckMinDelay && !disconnect.StillConnected(ctx) {
		return
	}
	target := time.Now().Add(time.Duration(h.GetTargetMs()) * time.Millisecond)
	var out *wire.ResponseHead
	var respBody []byte
	if noMemory != nil {
		out = refuse(memoryCode(noMemory), bodymem.RetryAfter)
		g.setIDAndLoad(h, out)
	} else {
		out, respBody = g.doRemote(ctx, h, body, timeLeft)
	}
	if h.GetBulk() && len(respBody) > 0 {
		err = g.link.send(ctx, len(respBody), target, func(pause func(n int) error) error {
			return peer.WritePaced(conn, out, respBody, pause)
		})
	} else {
		g.link.addOther(time.Now(), len(respBody))
		err = peer.WriteUnary(conn, out, respBody)
	}
	if err != nil && ctx.Err() == nil {
		g.log.Warn("response not sent to the peer", "from", from, "request", h.GetId(), "error", err)
	}
}

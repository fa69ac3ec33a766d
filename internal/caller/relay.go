package caller

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/peer"
	"fulmarhinge/internal/result"
	"fulmarhinge/internal/view"
	"fulmarhinge/internal/wire"
)

// sendToOwner sends the request to the owner's node, or to a relay if the
// direct link is broken.
func (s *Server) sendToOwner(ctx context.Context, v *view.View, a *attempts, head *wire.RequestHead, owner *cluster.Member) *result.Error {
	if s.links.allowAttempt(owner.MemberRef, time.Now()) {
		conn, err := s.openWithTimeout(ctx, owner)
		if err == nil {
			refusal := s.sendOverStream(ctx, conn, head, a)
			s.markLinkOnLostSession(owner, refusal)
			return refusal
		}
		if ctx.Err() != nil {
			return openError(ctx)
		}
		a.lastFailedZone = owner.Zone
	}
	s.links.prune(v)
	relay := s.pickRelay(v, a, owner)
	if relay == nil {
		// All relays have failed, so the next attempts may try every member
		// again.
		clear(a.triedMembers)
		return s.sendDirect(ctx, a, head, owner)
	}
	return s.sendViaRelay(ctx, a, head, relay)
}

// markLinkOnLostSession marks the link to a member as broken if its whole
// session was lost during a request. Another attempt then uses a relay without
// waiting for a dial first.
func (s *Server) markLinkOnLostSession(m *cluster.Member, refusal *result.Error) {
	if refusal != nil && refusal.Code == result.OwnerLost && !s.transport.Connected(m.PeerAddr) {
		s.links.markBroken(m.MemberRef)
	}
}

// sendDirect sends the request to a member even if the link to it is marked as
// broken.
func (s *Server) sendDirect(ctx context.Context, a *attempts, head *wire.RequestHead, m *cluster.Member) *result.Error {
	conn, err := s.transport.Open(ctx, m.PeerAddr)
	if err != nil {
		return openError(ctx)
	}
	s.links.markWorking(m.MemberRef)
	return s.sendOverStream(ctx, conn, head, a)
}

// sendViaRelay sends the request to a node that relays it to the owner.
func (s *Server) sendViaRelay(ctx context.Context, a *attempts, head *wire.RequestHead, relay *cluster.Member) *result.Error {
	l := s.links.get(relay.MemberRef)
	l.relayedInFlight.Add(1)
	defer l.relayedInFlight.Add(-1)
	conn, err := s.openWithTimeout(ctx, relay)
	if err != nil {
		a.excludeMember(relay)
		return openError(ctx)
	}
	head.Hops = 1
	refusal := s.sendOverStream(ctx, conn, head, a)
	s.markLinkOnLostSession(relay, refusal)
	if refusal != nil && isRelayFault(refusal.Code) {
		a.excludeMember(relay)
	}
	return refusal
}

// isRelayFault reports whether another relay may succeed after this result.
func isRelayFault(c result.Code) bool {
	return c == result.PeerUnreachable || c == result.OwnerLost || c == result.Draining || c == result.NoOwner
}

// excludeMember excludes a member at which an attempt failed from the next
// attempts.
func (a *attempts) excludeMember(m *cluster.Member) {
	a.triedMembers[m.Name] = true
	a.lastFailedZone = m.Zone
}

// pickRelay returns the node that relays a request, or nil if there is none. It
// prefers nodes in another availability zone than the last failure, then the
// one with the fewest relayed requests in flight, then the one with the lowest
// hash of request id and name, which spreads requests.
func (s *Server) pickRelay(v *view.View, a *attempts, owner *cluster.Member) *cluster.Member {
	zone := a.lastFailedZone
	if zone == "" {
		zone = owner.Zone
	}
	now := time.Now()
	var best *cluster.Member
	var bestRank relayRank
	for _, m := range v.Members {
		if m.State != cluster.StateActive || m.Name == v.Self.Name || m.Name == owner.Name || a.triedMembers[m.Name] || s.links.isBroken(m.MemberRef, now) {
			continue
		}
		r := relayRank{sameZone: m.Zone == zone, hash: xxhash.Sum64String(a.request.id + m.Name)}
		if value, ok := s.links.byMember.Load(m.MemberRef); ok {
			r.relayedInFlight = value.(*link).relayedInFlight.Load()
		}
		if best == nil || r.less(bestRank) {
			best, bestRank = m, r
		}
	}
	return best
}

// relayRank orders the candidates for a relay.
type relayRank struct {
	sameZone        bool
	relayedInFlight int64
	hash            uint64
}

func (r relayRank) less(other relayRank) bool {
	if r.sameZone != other.sameZone {
		return other.sameZone
	}
	if r.relayedInFlight != other.relayedInFlight {
		return r.relayedInFlight < other.relayedInFlight
	}
	return r.hash < other.hash
}

// relayRequest relays a request from another entry node to the owner; the gate
// calls it for requests of peers that are to be relayed. It copies both bodies
// as streams without buffering them whole, and the owner's response without
// parsing it. A stream that breaks after the head was written just ends, which
// the entry node reports as an unknown outcome.
func (s *Server) relayRequest(ctx context.Context, head *wire.RequestHead, from net.Conn) *result.Error {
	if head.GetHops() != 1 {
		return result.New(result.PeerMalformed)
	}
	owner, refusal := s.relayTarget(head)
	if refusal != nil {
		return refusal
	}
	timeLeft := time.Duration(head.GetDeadlineMs()) * time.Millisecond
	deadline := time.Now().Add(timeLeft)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	to, err := s.openWithTimeout(ctx, owner)
	if err != nil {
		return openError(ctx)
	}
	defer to.Close()
	head.Hops = 0
	head.DeadlineMs = uint64(max((time.Until(deadline) - hopLatencyMargin).Milliseconds(), 1))
	frame, err := peer.AppendFrame(nil, peer.FrameHead, head)
	if err != nil {
		return result.New(result.PeerMalformed)
	}
	for _, c := range []net.Conn{from, to} {
		_ = c.SetDeadline(deadline.Add(outcomeGracePeriod))
	}
	stop := context.AfterFunc(ctx, func() { abortStreams(ctx, from, to) })
	defer stop()
	if _, err = to.Write(frame); err == nil {
		splice(from, to)
	}
	return nil
}

// relayTarget returns the owner that a request is relayed to.
func (s *Server) relayTarget(head *wire.RequestHead) (*cluster.Member, *result.Error) {
	v := s.views.Current()
	if v.Draining {
		return nil, result.New(result.Draining)
	}
	_, assigned, _ := v.Locate(head.GetService(), head.GetKey())
	owner := v.Members[assigned.Owner.Name]
	if owner == nil || owner.MemberRef != assigned.Owner {
		return nil, result.New(result.NoOwner)
	}
	if !s.links.allowAttempt(owner.MemberRef, time.Now()) {
		return nil, result.New(result.PeerUnreachable)
	}
	return owner, nil
}

// abortStreams ends both streams of a request whose entry node has closed its
// stream.
func abortStreams(ctx context.Context, from, to net.Conn) {
	if ctx.Err() == context.Canceled {
		_ = from.SetDeadline(time.Now())
		_ = to.SetDeadline(time.Now())
	}
}

// splice copies between the stream of the entry node and that of the owner
// until the owner's ends. Flow control works end to end: while the window of
// one stream is full, the other stream is not read.
func splice(from, to net.Conn) {
	copied := make(chan struct{})
	go func() {
		defer close(copied)
		copyStream(to, from)
		// The entry node closes its stream early if its caller has
		// disconnected.
		_ = to.Close()
	}()
	copyStream(from, to)
	_ = from.SetReadDeadline(time.Now())
	_ = to.SetWriteDeadline(time.Now())
	<-copied
}

func copyStream(to io.Writer, from io.Reader) {
	buf := frameBuffers.Get().(*[]byte)
	defer frameBuffers.Put(buf)
	// The wrappers hide ReadFrom and WriteTo, so that io.CopyBuffer uses buf.
	_, _ = io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, *buf)
}

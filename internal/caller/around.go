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

// reach sends the request to the owner's node, or to another node that passes
// it on if the direct link is broken.
func (s *Server) reach(ctx context.Context, v *view.View, t *attempts, head *wire.RequestHead, owner *cluster.Member) *result.Error {
	if s.links.claim(owner.MemberRef, time.Now()) {
		conn, err := s.openSoon(ctx, owner)
		if err == nil {
			refusal := s.forward(ctx, conn, head, t)
			s.judgeLink(owner, refusal)
			return refusal
		}
		if ctx.Err() != nil {
			return notOpened(ctx)
		}
		t.failedZone = owner.Zone
	}
	s.links.forget(v)
	middle := s.middle(v, t, owner)
	if middle == nil {
		// Every other way has failed, so the next attempts may try all again.
		clear(t.tried)
		return s.direct(ctx, t, head, owner)
	}
	return s.around(ctx, t, head, middle)
}

// judgeLink takes a link for broken if its whole session ended under a request:
// another attempt need not wait for a dial first.
func (s *Server) judgeLink(m *cluster.Member, refusal *result.Error) {
	if refusal != nil && refusal.Code == result.OwnerLost && !s.transport.Connected(m.PeerAddr) {
		s.links.failed(m.MemberRef)
	}
}

// direct sends the request to a member without regard to what is known of the
// link.
func (s *Server) direct(ctx context.Context, t *attempts, head *wire.RequestHead, m *cluster.Member) *result.Error {
	conn, err := s.transport.Open(ctx, m.PeerAddr)
	if err != nil {
		return notOpened(ctx)
	}
	s.links.opened(m.MemberRef)
	return s.forward(ctx, conn, head, t)
}

// around sends the request to a node that passes it on to the owner.
func (s *Server) around(ctx context.Context, t *attempts, head *wire.RequestHead, middle *cluster.Member) *result.Error {
	k := s.links.get(middle.MemberRef)
	k.passed.Add(1)
	defer k.passed.Add(-1)
	conn, err := s.openSoon(ctx, middle)
	if err != nil {
		t.avoid(middle)
		return notOpened(ctx)
	}
	head.Hops = 1
	refusal := s.forward(ctx, conn, head, t)
	s.judgeLink(middle, refusal)
	if refusal != nil && blamesMiddle(refusal.Code) {
		t.avoid(middle)
	}
	return refusal
}

// blamesMiddle reports whether another node may do better at passing on.
func blamesMiddle(c result.Code) bool {
	return c == result.PeerUnreachable || c == result.OwnerLost || c == result.Draining || c == result.NoOwner
}

// avoid keeps the next attempt off a member at which one failed.
func (t *attempts) avoid(m *cluster.Member) {
	t.tried[m.Name] = true
	t.failedZone = m.Zone
}

// middle picks the node that passes a request on, or returns nil if there is
// none: one in another availability zone than the last failure before others,
// then the one through which the fewest requests pass, then by a hash that
// spreads requests.
func (s *Server) middle(v *view.View, t *attempts, owner *cluster.Member) *cluster.Member {
	zone := t.failedZone
	if zone == "" {
		zone = owner.Zone
	}
	now := time.Now()
	var best *cluster.Member
	var bestRank rank
	for _, m := range v.Members {
		if m.State != cluster.StateActive || m.Name == v.Self.Name || m.Name == owner.Name || t.tried[m.Name] || s.links.broken(m.MemberRef, now) {
			continue
		}
		r := rank{sameZone: m.Zone == zone, hash: xxhash.Sum64String(t.request.id + m.Name)}
		if k, ok := s.links.all.Load(m.MemberRef); ok {
			r.passed = k.(*link).passed.Load()
		}
		if best == nil || r.before(bestRank) {
			best, bestRank = m, r
		}
	}
	return best
}

// rank orders the nodes that could pass a request on.
type rank struct {
	sameZone bool
	passed   int64
	hash     uint64
}

func (r rank) before(other rank) bool {
	if r.sameZone != other.sameZone {
		return other.sameZone
	}
	if r.passed != other.passed {
		return r.passed < other.passed
	}
	return r.hash < other.hash
}

// passOn implements backend.PassOn: it sends a request of another entry to the
// owner and copies both bodies without holding them. What the owner says is
// passed on unread. A stream that breaks after the head was written just ends,
// which the entry takes for an unknown outcome.
func (s *Server) passOn(ctx context.Context, head *wire.RequestHead, from net.Conn) *result.Error {
	if head.GetHops() != 1 {
		return result.New(result.PeerMalformed)
	}
	owner, refusal := s.passTo(head)
	if refusal != nil {
		return refusal
	}
	left := time.Duration(head.GetDeadlineMs()) * time.Millisecond
	deadline := time.Now().Add(left)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	to, err := s.openSoon(ctx, owner)
	if err != nil {
		return notOpened(ctx)
	}
	defer to.Close()
	head.Hops = 0
	head.DeadlineMs = uint64(max((time.Until(deadline) - hopTime).Milliseconds(), 1))
	frame, err := peer.AppendFrame(nil, peer.FrameHead, head)
	if err != nil {
		return result.New(result.PeerMalformed)
	}
	for _, c := range []net.Conn{from, to} {
		_ = c.SetDeadline(deadline.Add(answerGrace))
	}
	stop := context.AfterFunc(ctx, func() { endEarly(ctx, from, to) })
	defer stop()
	if _, err = to.Write(frame); err == nil {
		splice(from, to)
	}
	return nil
}

// passTo returns the member that a request is passed on to.
func (s *Server) passTo(head *wire.RequestHead) (*cluster.Member, *result.Error) {
	v := s.src.Current()
	if v.Draining {
		return nil, result.New(result.Draining)
	}
	_, assigned, _ := v.Locate(head.GetService(), head.GetKey())
	owner := v.Members[assigned.Owner.Name]
	if owner == nil || owner.MemberRef != assigned.Owner {
		return nil, result.New(result.NoOwner)
	}
	if !s.links.claim(owner.MemberRef, time.Now()) {
		return nil, result.New(result.PeerUnreachable)
	}
	return owner, nil
}

// endEarly ends both streams of a request whose entry is gone.
func endEarly(ctx context.Context, from, to net.Conn) {
	if ctx.Err() == context.Canceled {
		_ = from.SetDeadline(time.Now())
		_ = to.SetDeadline(time.Now())
	}
}

// splice copies between the entry's and the owner's stream until the owner's
// ends. A stream whose window is full stops the reading of the other one.
func splice(from, to net.Conn) {
	copied := make(chan struct{})
	go func() {
		defer close(copied)
		copyStream(to, from)
		// The entry ends its stream early if its caller has left.
		_ = to.Close()
	}()
	copyStream(from, to)
	_ = from.SetReadDeadline(time.Now())
	_ = to.SetWriteDeadline(time.Now())
	<-copied
}

func copyStream(to io.Writer, from io.Reader) {
	buf := frames.Get().(*[]byte)
	defer frames.Put(buf)
	// The wrappers keep io.CopyBuffer to this buffer.
	_, _ = io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, *buf)
}

package caller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"fulmarhinge/internal/cluster"
	"fulmarhinge/internal/view"
)

const (
	// linkRetryDelay is how long a direct link that could not be opened is not
	// used. After that a single request tries it while the others still avoid
	// it.
	linkRetryDelay = 2 * time.Second
	// maxOpenTimeout bounds how long opening a stream may take if another node
	// could relay the request. Below that bound the timeout is the time left
	// until the deadline divided by openTimeoutDivisor, but at least
	// minOpenTimeout, which leaves time for a handshake.
	maxOpenTimeout     = 500 * time.Millisecond
	minOpenTimeout     = 20 * time.Millisecond
	openTimeoutDivisor = 5
)

// link is the state of this node's direct link to one member.
type link struct {
	// brokenUntil is the time until which the link counts as broken, in ns
	// since the Unix epoch; 0 for a working link.
	brokenUntil atomic.Int64
	// relayedInFlight counts the requests in flight that the member relays for
	// this node.
	relayedInFlight atomic.Int64
}

// links holds the links to members, keyed by cluster.MemberRef. A link that
// never failed and never carried relayed requests has no entry.
type links struct {
	byMember       sync.Map
	lastPrunedView atomic.Pointer[view.View]
}

func (l *links) get(ref cluster.MemberRef) *link {
	if value, ok := l.byMember.Load(ref); ok {
		return value.(*link)
	}
	value, _ := l.byMember.LoadOrStore(ref, &link{})
	return value.(*link)
}

// isBroken reports whether the link is marked as broken.
func (l *links) isBroken(ref cluster.MemberRef, now time.Time) bool {
	value, ok := l.byMember.Load(ref)
	return ok && value.(*link).brokenUntil.Load() > now.UnixNano()
}

// allowAttempt reports whether a request may try the link. When linkRetryDelay
// of a broken link is over, only the first request may try it, so that at most
// one waits for a link that is still broken.
func (l *links) allowAttempt(ref cluster.MemberRef, now time.Time) bool {
	value, ok := l.byMember.Load(ref)
	if !ok {
		return true
	}
	brokenUntil := value.(*link).brokenUntil.Load()
	if brokenUntil == 0 {
		return true
	}
	retryAt := now.Add(linkRetryDelay).UnixNano()
	return brokenUntil <= now.UnixNano() && value.(*link).brokenUntil.CompareAndSwap(brokenUntil, retryAt)
}

func (l *links) markBroken(ref cluster.MemberRef) {
	l.get(ref).brokenUntil.Store(time.Now().Add(linkRetryDelay).UnixNano())
}

func (l *links) markWorking(ref cluster.MemberRef) {
	if value, ok := l.byMember.Load(ref); ok && value.(*link).brokenUntil.Load() != 0 {
		value.(*link).brokenUntil.Store(0)
	}
}

// prune removes the links to members that have left, once for each view.
func (l *links) prune(v *view.View) {
	if l.lastPrunedView.Swap(v) == v {
		return
	}
	l.byMember.Range(func(ref, _ any) bool {
		m := v.Members[ref.(cluster.MemberRef).Name]
		if m == nil || m.MemberRef != ref {
			l.byMember.Delete(ref)
		}
		return true
	})
}

// openWithTimeout opens a stream to a member, with a timeout that leaves time
// for sending the request through a relay. Nothing was sent if it returns an
// error.
func (s *Server) openWithTimeout(ctx context.Context, m *cluster.Member) (net.Conn, error) {
	timeout := maxOpenTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = max(min(timeout, time.Until(deadline)/openTimeoutDivisor), minOpenTimeout)
	}
	openCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := s.transport.Open(openCtx, m.PeerAddr)
	if err == nil {
		s.links.markWorking(m.MemberRef)
	} else if ctx.Err() == nil {
		s.links.markBroken(m.MemberRef)
	}
	return conn, err
}

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
	// linkRetryDelay is how long requests are kept off a direct link that could
	// not be opened. Then a single one tries it, and the others stay off.
	linkRetryDelay = 2 * time.Second
	// maxOpenTimeout bounds how long a request waits for a stream if another node
	// could pass it on. openShare is the part of the time left that it may
	// take, as a divisor, and minOpen leaves time for a handshake.
	maxOpenTimeout     = 500 * time.Millisecond
	minOpenTimeout     = 20 * time.Millisecond
	openTimeoutDivisor = 5
)

// link is what this node has seen of the direct way to one member.
type link struct {
	// brokenUntil is until when the link counts as brokenUntil, in ns since the epoch;
	// 0 for a link that works.
	brokenUntil atomic.Int64
	// relayedInFlight counts the requests that are being relayedInFlight on through the member.
	relayedInFlight atomic.Int64
}

// links holds the links to members, by cluster.MemberRef. One that never
// failed and passed nothing on is not in it.
type links struct {
	byMember       sync.Map
	lastPrunedView atomic.Pointer[view.View]
}

func (l *links) get(ref cluster.MemberRef) *link {
	if k, ok := l.byMember.Load(ref); ok {
		return k.(*link)
	}
	k, _ := l.byMember.LoadOrStore(ref, &link{})
	return k.(*link)
}

// isBroken reports whether the link is known to be isBroken.
func (l *links) isBroken(ref cluster.MemberRef, now time.Time) bool {
	k, ok := l.byMember.Load(ref)
	return ok && k.(*link).brokenUntil.Load() > now.UnixNano()
}

// allowAttempt reports whether a request may try the link. Of those that come after a
// broken link's time only the first may, so that no more than one pays for a
// link that is still broken.
func (l *links) allowAttempt(ref cluster.MemberRef, now time.Time) bool {
	k, ok := l.byMember.Load(ref)
	if !ok {
		return true
	}
	until := k.(*link).brokenUntil.Load()
	if until == 0 {
		return true
	}
	retryAt := now.Add(linkRetryDelay).UnixNano()
	return until <= now.UnixNano() && k.(*link).brokenUntil.CompareAndSwap(until, retryAt)
}

func (l *links) markBroken(ref cluster.MemberRef) {
	l.get(ref).brokenUntil.Store(time.Now().Add(linkRetryDelay).UnixNano())
}

func (l *links) markWorking(ref cluster.MemberRef) {
	if k, ok := l.byMember.Load(ref); ok && k.(*link).brokenUntil.Load() != 0 {
		k.(*link).brokenUntil.Store(0)
	}
}

// prune drops the links to members that are gone, once for each view.
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

// openWithTimeout opens a stream to a member, or gives up while there is time left
// for another way. Nothing was sent if it returns an error.
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

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
	// linkBroken is how long requests are kept off a direct link that could
	// not be opened. Then a single one tries it, and the others stay off.
	linkBroken = 2 * time.Second
	// maxOpen bounds how long a request waits for a stream if another node
	// could pass it on. openShare is the part of the time left that it may
	// take, as a divisor, and minOpen leaves time for a handshake.
	maxOpen   = 500 * time.Millisecond
	minOpen   = 20 * time.Millisecond
	openShare = 5
)

// link is what this node has seen of the direct way to one member.
type link struct {
	// broken is until when the link counts as broken, in ns since the epoch;
	// 0 for a link that works.
	broken atomic.Int64
	// passed counts the requests that are being passed on through the member.
	passed atomic.Int64
}

// links holds the links to members, by cluster.MemberRef. One that never
// failed and passed nothing on is not in it.
type links struct {
	all  sync.Map
	view atomic.Pointer[view.View]
}

func (l *links) get(ref cluster.MemberRef) *link {
	if k, ok := l.all.Load(ref); ok {
		return k.(*link)
	}
	k, _ := l.all.LoadOrStore(ref, &link{})
	return k.(*link)
}

// broken reports whether the link is known to be broken.
func (l *links) broken(ref cluster.MemberRef, now time.Time) bool {
	k, ok := l.all.Load(ref)
	return ok && k.(*link).broken.Load() > now.UnixNano()
}

// claim reports whether a request may try the link. Of those that come after a
// broken link's time only the first may, so that no more than one pays for a
// link that is still broken.
func (l *links) claim(ref cluster.MemberRef, now time.Time) bool {
	k, ok := l.all.Load(ref)
	if !ok {
		return true
	}
	until := k.(*link).broken.Load()
	if until == 0 {
		return true
	}
	again := now.Add(linkBroken).UnixNano()
	return until <= now.UnixNano() && k.(*link).broken.CompareAndSwap(until, again)
}

func (l *links) failed(ref cluster.MemberRef) {
	l.get(ref).broken.Store(time.Now().Add(linkBroken).UnixNano())
}

func (l *links) opened(ref cluster.MemberRef) {
	if k, ok := l.all.Load(ref); ok && k.(*link).broken.Load() != 0 {
		k.(*link).broken.Store(0)
	}
}

// forget drops the links to members that are gone, once for each view.
func (l *links) forget(v *view.View) {
	if l.view.Swap(v) == v {
		return
	}
	l.all.Range(func(ref, _ any) bool {
		m := v.Members[ref.(cluster.MemberRef).Name]
		if m == nil || m.MemberRef != ref {
			l.all.Delete(ref)
		}
		return true
	})
}

// openSoon opens a stream to a member, or gives up while there is time left
// for another way. Nothing was sent if it returns an error.
func (s *Server) openSoon(ctx context.Context, m *cluster.Member) (net.Conn, error) {
	limit := maxOpen
	if deadline, ok := ctx.Deadline(); ok {
		limit = max(min(limit, time.Until(deadline)/openShare), minOpen)
	}
	short, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := s.transport.Open(short, m.PeerAddr)
	if err == nil {
		s.links.opened(m.MemberRef)
	} else if ctx.Err() == nil {
		s.links.failed(m.MemberRef)
	}
	return conn, err
}

package settings

import "time"

// crossCheck checks fields against each other once each is valid by itself.
func crossCheck(found *problems, s *Settings) {
	checkLease(found, &s.Lease)
	checkAdvertised(found, "caller", s.Caller.Advertise)
	checkAdvertised(found, "peer", s.Peer.Advertise)
	checkAdvertised(found, "operator", s.Operator.Advertise)
	checkLoopback(found, "operator", s.Operator.Listen, s.Operator.AllowRemote)
	checkLoopback(found, "backend", s.Backend.Listen, s.Backend.AllowRemote)
	checkDistinct(found, s)
}

func checkLease(found *problems, l *Lease) {
	// Two renewals must fit, or one lost message costs the lease.
	if half := l.Promise.D() / 2; l.Renew.D() >= half {
		found.add("lease.renew", "got %q; expected less than half of lease.promise, %q", l.Renew.D(), half)
	}
	if l.Tick.D() >= l.Renew.D() {
		found.add("lease.tick", "got %q; expected less than lease.renew, %q", l.Tick.D(), l.Renew.D())
	}
	// An even number needs as large a majority as the next odd one, and so
	// stands fewer losses for its size.
	if l.Witnesses%2 == 0 {
		found.add("lease.witnesses", "got %d; expected an odd number", l.Witnesses)
	}
	// The margin for drift comes off the lease; renewals must still fit.
	left := l.Promise.D() * time.Duration(100-l.DriftPercent) / 100
	if l.Renew.D()+l.Tick.D() >= left {
		found.add("lease.drift_percent", "got %d; expected a margin that leaves lease.promise longer than lease.renew and lease.tick together", l.DriftPercent)
	}
}

// checkAdvertised refuses an address that no one can dial, which happens when
// a wildcard is listened on and nothing else is advertised.
func checkAdvertised(found *problems, path, advertise string) {
	if a, ok := parseAddr(advertise); !ok || a.Addr().IsUnspecified() {
		found.add(path+".advertise", "missing; expected an address that others can dial, because %s.listen is a wildcard", path)
	}
}

func checkLoopback(found *problems, path, listen string, allowRemote bool) {
	a, ok := parseAddr(listen)
	if ok && !a.Addr().IsLoopback() && !allowRemote {
		found.add(path+".listen", "got %q; expected a loopback address, or %s.allow_remote true", listen, path)
	}
}

// checkDistinct refuses two listeners on one address.
func checkDistinct(found *problems, s *Settings) {
	listeners := []struct{ path, addr string }{
		{"caller.listen", s.Caller.Listen},
		{"peer.listen", s.Peer.Listen},
		{"operator.listen", s.Operator.Listen},
		{"backend.listen", s.Backend.Listen},
	}
	taken := map[string]string{}
	for _, l := range listeners {
		if other, ok := taken[l.addr]; ok {
			found.add(l.path, "got %q, which %s has already; expected an address of its own", l.addr, other)
		}
		taken[l.addr] = l.path
	}
}

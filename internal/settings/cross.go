package settings

import "time"

// crossCheck validates the relations between fields that are each valid separately.
func crossCheck(problems *problemList, s *Settings) {
	checkLease(problems, &s.Lease)
	checkDialable(problems, "caller", s.Caller.Advertise)
	checkDialable(problems, "peer", s.Peer.Advertise)
	checkDialable(problems, "operator", s.Operator.Advertise)
	checkLoopback(problems, "operator", s.Operator.Listen, s.Operator.AllowRemote)
	checkLoopback(problems, "backend", s.Backend.Listen, s.Backend.AllowRemote)
	checkDistinct(problems, s)
}

func checkLease(problems *problemList, l *Lease) {
	// Two renewals must fit into one promise; otherwise a single lost message
	// loses the lease.
	if half := l.Promise.D() / 2; l.RenewInterval.D() >= half {
		problems.add("lease.renew", "got %q; expected less than half of lease.promise, %q", l.RenewInterval.D(), half)
	}
	if l.TickInterval.D() >= l.RenewInterval.D() {
		problems.add("lease.tick", "got %q; expected less than lease.renew, %q", l.TickInterval.D(), l.RenewInterval.D())
	}
	// An even number needs as large a majority as the next odd number, so it
	// tolerates fewer lost witnesses.
	if l.Witnesses%2 == 0 {
		problems.add("lease.witnesses", "got %d; expected an odd number", l.Witnesses)
	}
	// The margin for clock drift shortens the lease; a renewal and a tick must
	// still fit into the rest.
	promiseAfterDrift := l.Promise.D() * time.Duration(100-l.DriftPercent) / 100
	if l.RenewInterval.D()+l.TickInterval.D() >= promiseAfterDrift {
		problems.add("lease.drift_percent", "got %d; expected a margin that leaves lease.promise longer than lease.renew and lease.tick together", l.DriftPercent)
	}
}

// checkDialable rejects an advertised address that cannot be dialled. This occurs
// if the listener is bound to a wildcard and no advertised address is set.
func checkDialable(problems *problemList, path, advertise string) {
	if a, ok := parseAddr(advertise); !ok || a.Addr().IsUnspecified() {
		problems.add(path+".advertise", "missing; expected an address that others can dial, because %s.listen is a wildcard", path)
	}
}

func checkLoopback(problems *problemList, path, listen string, allowRemote bool) {
	a, ok := parseAddr(listen)
	if ok && !a.Addr().IsLoopback() && !allowRemote {
		problems.add(path+".listen", "got %q; expected a loopback address, or %s.allow_remote true", listen, path)
	}
}

// checkDistinct rejects two listeners on the same address.
func checkDistinct(problems *problemList, s *Settings) {
	listeners := []struct{ path, addr string }{
		{"caller.listen", s.Caller.Listen},
		{"peer.listen", s.Peer.Listen},
		{"operator.listen", s.Operator.Listen},
		{"backend.listen", s.Backend.Listen},
	}
	pathByAddr := map[string]string{}
	for _, l := range listeners {
		if other, ok := pathByAddr[l.addr]; ok {
			problems.add(l.path, "got %q, which is already used by %s; expected a different address", l.addr, other)
		}
		pathByAddr[l.addr] = l.path
	}
}

package fleet

// Two leaders must not act for the same rows. An earlier leader renews leases without the
// platform only while it has two majorities: of all members, and of those that are not
// evicted. A later one changes owners once it has one of them, so that members that are
// gone for good do not hold it up. Both count members of the same document, as only the
// earlier leader's own writes, which it counts as undecided until it knows them, and
// claims can be in between, and a claim evicts nobody and takes no eviction back. A
// document that was recovered from an older copy may lack evictions and returns, so that
// only the majority of all counts there.

// majorities returns whether more than half of all members, and of those that are not
// evicted, follow.
func (d *Document) majorities(follows func(name string) bool) (all, active bool) {
	var members, following, notEvicted, notEvictedFollowing int
	for name, mem := range d.Members {
		f := follows(name)
		members++
		if f {
			following++
		}
		if mem.Evicted {
			continue
		}
		notEvicted++
		if f {
			notEvictedFollowing++
		}
	}
	return 2*following > members, 2*notEvictedFollowing > notEvicted
}

// followsClaim reports whether enough members follow the term of a claim to keep every
// earlier leader from renewing leases. The document is the one that the claim wrote.
func (d *Document) followsClaim(follows func(name string) bool) bool {
	all, active := d.majorities(follows)
	return all || active && !d.Recovered
}

// mayRenewFor reports whether enough members follow a leader for it to renew leases
// without the platform.
func (d *Document) mayRenewFor(follows func(name string) bool) bool {
	all, active := d.majorities(follows)
	return all && active
}

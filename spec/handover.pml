/*
 * Hand-over of one unit between nodes: placement, release, requests in flight,
 * eviction and restart.
 *
 * Placement names an owner and its predecessors at each epoch. A node that
 * learns that it has lost the unit admits no more requests, waits until none of
 * its requests is in flight, and releases the unit. The new owner serves once
 * every predecessor has released at or above the epoch it is listed with, or is
 * gone. lease.pml proves that a node which is gone holds no valid lease; this
 * model assumes it.
 *
 * With -DCHECKS_FENCE the backend servers refuse a stale fence, and a request
 * that still runs at a node that is gone does not count. Without it no two
 * backend servers may run requests for the unit at the same time, so the
 * successor of a node that is gone also waits until the deadlines of that node's
 * requests have passed. The model assumes that a request has ended when its
 * deadline passes.
 *
 * Bounds: three VMs, one restart (of VM 0), one clean stop, MAX_EPOCH
 * assignments, one request at a time at each node. Not bounded: how old a
 * node's view is, lost, late and repeated releases and reports, evictions,
 * pauses. A message can arrive at any time after it was sent, so messages are
 * modelled as state of the sender.
 * The lease check and the dispatch after it are one step. To keep the search
 * small, a node learns only the epochs that concern it (the others do not
 * change its state), only nodes that have been an owner are evicted or leave,
 * and VM 2, which is symmetric to VM 1, becomes an owner only after VM 1.
 *
 * Each variant (-DNAME) removes one rule and must violate an assertion.
 */

#define NODES 4        /* node 3 is the restarted process on VM 0 */
#define RESTARTED 3
#define MAX_EPOCH 4
#define NONE 7          /* no node */

#define VM(i) ((i) == RESTARTED -> 0 : (i))

/* The placement object, with its history, because views may be old. */
byte epoch = 1;
byte owner[5] = NONE;
byte pred[20];         /* pred[PRED(e, j)]: epoch at which j is listed in e; 0 if not */
#define PRED(e, j) ((e) * NODES + (j))

/* The member objects. */
bool up[NODES];        /* its process is running */
bool gone[NODES];
bool leaving[NODES];   /* it stops cleanly and is writing that it has left */

/* The nodes: the epoch of the newest placement seen, and the gate's state. */
byte view[NODES];
bool serving[NODES];
byte released[NODES];  /* highest epoch that a sent release covers */
bool served;           /* the owner serves at the current epoch and has reported it */

/* The one request of each node. A cleared request is counted as in flight; a
   dispatched request runs at the backend server. */
mtype = { Idle, Checked, Cleared, Dispatched };
mtype request[NODES] = Idle;
byte fence[NODES];     /* the epoch at which the request was cleared */
byte highest;          /* highest epoch that was dispatched */

#define IN_FLIGHT(i) (request[i] == Cleared || request[i] == Dispatched)
#define RUNS(i) (request[i] == Dispatched)

#ifdef CHECKS_FENCE
#define FINISHED(j) gone[j]
#define MAY_RUN_ASIDE(i, j) (gone[j] || VM(i) == VM(j))
#else
#define FINISHED(j) (gone[j] && !RUNS(j))
#define MAY_RUN_ASIDE(i, j) (VM(i) == VM(j))
#endif

#ifdef NO_DEADLINE_WAIT
#define SUCCEEDS_GONE(i, j) gone[j]
#else
#ifdef RESTART_SKIPS_DEADLINE_WAIT
#define SUCCEEDS_GONE(i, j) (FINISHED(j) || (gone[j] && VM(i) == VM(j)))
#else
#define SUCCEEDS_GONE(i, j) FINISHED(j)
#endif
#endif

#ifdef EVICTED_PREDECESSOR_DROPPED_EARLY
#define DROPPED(j) gone[j]
#else
#define DROPPED(j) FINISHED(j)
#endif

#ifdef STALE_RELEASE_ACCEPTED
#define RELEASED(j, e) (released[j] > 0)
#else
#define RELEASED(j, e) (released[j] >= e)
#endif

#define WAITS_FOR(i, j) (pred[PRED(view[i], j)] > 0 && j != i && !RELEASED(j, pred[PRED(view[i], j)]) && !SUCCEEDS_GONE(i, j))

#ifdef SERVE_BEFORE_RELEASE
#define PREDECESSORS_DONE(i) true
#else
#define PREDECESSORS_DONE(i) (!WAITS_FOR(i, 0) && !WAITS_FOR(i, 1) && !WAITS_FOR(i, 2) && !WAITS_FOR(i, 3))
#endif

#ifdef RELEASE_BEFORE_IDLE
#define MAY_RELEASE(i) true
#else
#define MAY_RELEASE(i) (!IN_FLIGHT(i))
#endif

#ifdef SERVE_WITHOUT_LEASE
#define LEASE_VALID(i) (true)
#else
#ifdef LEAVING_NODE_SERVES
#define LEASE_VALID(i) (!gone[i] || leaving[i])
#else
#define LEASE_VALID(i) (!gone[i] && !leaving[i])
#endif
#endif

#define CONCERNS(e, i) (owner[e] == i || pred[PRED(e, i)] > 0)
#ifdef OLDER_VIEW_ACCEPTED
#define MAY_LEARN(i, e) (e <= epoch && e != view[i] && CONCERNS(e, i))
#else
#define MAY_LEARN(i, e) (e <= epoch && e > view[i] && CONCERNS(e, i))
#endif

#define NAMED(i) (owner[1] == i || owner[2] == i || owner[3] == i || owner[4] == i)
#define MAY_BECOME_OWNER(n) (epoch < MAX_EPOCH && up[n] && !gone[n] && n != owner[epoch] && (n != 2 || NAMED(1)))

/* Lists j as a predecessor in the next assignment, which is to n: the current
   owner with its epoch, and an earlier owner unless the current owner is known to
   serve. A node that becomes owner again is not its own predecessor. */
inline carryOver(j, n, heard) {
	if
	:: j == n || DROPPED(j) -> skip
	:: else ->
		if
		:: j == owner[epoch] -> pred[PRED(epoch + 1, j)] = epoch
#ifdef OLDER_PREDECESSOR_IGNORED
		:: else -> skip
#else
		:: j != owner[epoch] && heard -> skip
		:: j != owner[epoch] && !heard -> pred[PRED(epoch + 1, j)] = pred[PRED(epoch, j)]
#endif
		fi
	fi
}

/* The conditional update of the placement object. An assignment is never
   overwritten by one that was decided from an older version. */
inline place(n, heard) {
	assert(owner[epoch + 1] == NONE);
	carryOver(0, n, heard);
	carryOver(1, n, heard);
	carryOver(2, n, heard);
	carryOver(3, n, heard);
	epoch++;
	owner[epoch] = n;
	served = false
}

/* A request reaches the backend server with the fence of the epoch at which
   the gate cleared it. */
inline dispatch(i) {
	assert(fence[i] >= highest);
	assert(!RUNS(0) || MAY_RUN_ASIDE(i, 0));
	assert(!RUNS(1) || MAY_RUN_ASIDE(i, 1));
	assert(!RUNS(2) || MAY_RUN_ASIDE(i, 2));
	assert(!RUNS(3) || MAY_RUN_ASIDE(i, 3));
	highest = fence[i];
	fence[i] = 0;
	request[i] = Dispatched
}

#define CONFLICT(i, j) (j != i && serving[j] && !gone[j])

proctype Node(byte i) {
	do
	/* Learns a newer placement and may skip versions. The node then stops serving:
	   its state is pending if it is the owner, else stopping. */
	:: d_step { up[i] && MAY_LEARN(i, 1) -> view[i] = 1; serving[i] = false }
	:: d_step { up[i] && MAY_LEARN(i, 2) -> view[i] = 2; serving[i] = false }
	:: d_step { up[i] && MAY_LEARN(i, 3) -> view[i] = 3; serving[i] = false }
	:: d_step { up[i] && MAY_LEARN(i, 4) -> view[i] = 4; serving[i] = false }
	/* Starts to serve and reports it. */
	:: d_step { up[i] && view[i] > 0 && owner[view[i]] == i && !serving[i] && LEASE_VALID(i) && PREDECESSORS_DONE(i) ->
		assert(!CONFLICT(i, 0) && !CONFLICT(i, 1) && !CONFLICT(i, 2) && !CONFLICT(i, 3));
		serving[i] = true;
		served = (view[i] == epoch -> true : served) }
	/* Releases the epoch at which the placement lists the node as predecessor. */
	:: d_step { up[i] && view[i] > 0 && owner[view[i]] != i && pred[PRED(view[i], i)] > released[i] && MAY_RELEASE(i) ->
		released[i] = pred[PRED(view[i], i)] }
	/* The gate counts a request as in flight before it checks the view, so that a
	   request is either refused or delays the release. */
#ifdef GATE_CHECKS_BEFORE_COUNTING
	:: d_step { request[i] == Idle && serving[i] -> request[i] = Checked; fence[i] = view[i] }
	:: d_step { request[i] == Checked -> request[i] = Cleared }
#else
	:: d_step { request[i] == Idle && serving[i] -> request[i] = Cleared; fence[i] = view[i] }
#endif
	:: d_step { request[i] == Cleared && LEASE_VALID(i) -> dispatch(i) }
	:: d_step { request[i] == Cleared && !LEASE_VALID(i) -> request[i] = Idle; fence[i] = 0 }
	/* The request ends. */
	:: d_step { RUNS(i) -> request[i] = Idle }
	/* The node is evicted. */
	:: d_step { up[i] && !gone[i] && NAMED(i) -> gone[i] = true }
	/* The node leaves: with no request in flight it gives up its lease, and only
	   then writes that it left. The write takes effect later or never. */
	:: d_step { !leaving[0] && !leaving[1] && !leaving[2] && !leaving[3] && up[i] && !gone[i] && NAMED(i) && !serving[i] && !IN_FLIGHT(i) -> leaving[i] = true }
	od
}

/* The controller may or may not have received the report that the owner serves. */
proctype Controller() {
	do
#ifdef PLACEMENT_IGNORES_VERSION
	:: d_step { epoch > 1 -> epoch-- }
#endif
	:: d_step { MAY_BECOME_OWNER(0) && served -> place(0, true) }
	:: d_step { MAY_BECOME_OWNER(1) && served -> place(1, true) }
	:: d_step { MAY_BECOME_OWNER(2) && served -> place(2, true) }
	:: d_step { MAY_BECOME_OWNER(3) && served -> place(3, true) }
	:: d_step { MAY_BECOME_OWNER(0) -> place(0, false) }
	:: d_step { MAY_BECOME_OWNER(1) -> place(1, false) }
	:: d_step { MAY_BECOME_OWNER(2) -> place(2, false) }
	:: d_step { MAY_BECOME_OWNER(3) -> place(3, false) }
	od
}

/* The process on VM 0 ends and its successor replaces the member object. A
   request that runs at the backend server continues. */
proctype Restart() {
	d_step { up[0] && !up[RESTARTED] ->
		up[0] = false; gone[0] = true; serving[0] = false; view[0] = 0;
		request[0] = (RUNS(0) -> Dispatched : Idle); fence[0] = 0;
		up[RESTARTED] = true }
}

init {
	d_step { up[0] = true; up[1] = true; up[2] = true; owner[1] = 0 }
	atomic {
		run Node(0); run Node(1); run Node(2); run Node(3);
		run Controller(); run Restart();
	}
}

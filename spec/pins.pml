/*
 * Pinning of a hot key out of its shard, and its return to the shard.
 *
 * The placement object holds both assignments, so that one conditional update
 * changes both; each has an owner, an epoch and predecessors. A node resolves
 * the key to the pin if its view has one, else to the shard. Only requests for
 * the hot key are modelled; handover.pml covers the shard's other keys.
 *
 * Bounds: three nodes, none of them lost, MAX_VERSION versions of the object,
 * one request at a time at each node, up to MAX_EPOCH. Not bounded: how old a
 * node's view is, how late releases and reports arrive.
 *
 * Each variant (-DNAME) removes one rule and must violate an assertion.
 */

#define NODES 3
#define MAX_VERSION 5
#define NONE 7          /* no owner: the key is not pinned */

#define SHARD 0
#define PIN 1

/* The placement object with its history. AT(v, u) is unit u at version v, and
   LISTED(v, u, j) the epoch at which node j is its predecessor; 0 if not. */
byte version = 1;
byte owner[12] = NONE;
byte epoch[12];
byte pred[36];
#define AT(v, u) ((v) * 2 + (u))
#define LISTED(v, u, j) (AT(v, u) * NODES + (j))

/* Whether the owner serves the unit at its current epoch and has reported it. */
bool served[2];

/* The nodes. */
byte view[NODES];
bool serving[6];       /* serving[OF(i, u)] */
byte released[6];      /* highest epoch that a sent release of u covers */
#define OF(i, u) ((i) * 2 + (u))

/* The one request of each node, and the unit under which it is counted. */
mtype = { Idle, Cleared, Dispatched };
mtype request[NODES] = Idle;
byte through[NODES] = NONE;
byte fence[NODES];
byte highest;          /* highest epoch that was dispatched, and the node that did so */
byte highestNode;

#define PINNED(v) (owner[AT(v, PIN)] != NONE)
#define IN_FLIGHT(i) (request[i] != Idle)

/* A release waits for all requests for the keys of the unit, including those
   that were admitted while the key belonged to the other unit. */
#ifdef PIN_RELEASE_IGNORES_SHARD_REQUESTS
#define BUSY_PIN(i) (IN_FLIGHT(i) && through[i] == PIN)
#else
#define BUSY_PIN(i) IN_FLIGHT(i)
#endif
/* Requests under a pin that the node still holds do not delay the release of
   the shard. Requests under a dissolved pin do, also if the key is pinned
   again. */
#define HOLDS_PIN(i) (owner[AT(view[i], PIN)] == i && epoch[AT(view[i], PIN)] == fence[i])
#ifdef SHARD_RELEASE_IGNORES_PIN_REQUESTS
#define BUSY_SHARD(i) (IN_FLIGHT(i) && through[i] == SHARD)
#else
#ifdef NEW_PIN_COVERS_DISSOLVED_PIN
#define BUSY_SHARD(i) (IN_FLIGHT(i) && (through[i] == SHARD || !PINNED(view[i])))
#else
#define BUSY_SHARD(i) (IN_FLIGHT(i) && (through[i] == SHARD || !HOLDS_PIN(i)))
#endif
#endif
#define BUSY(i, u) ((u == PIN && BUSY_PIN(i)) || (u == SHARD && BUSY_SHARD(i)))

#define WAITS(i, u, j) (j != i && pred[LISTED(view[i], u, j)] > released[OF(j, u)])

#ifdef UNPIN_ELSEWHERE
#define MAY_UNPIN (served[PIN] && served[SHARD])
#else
#ifdef UNPIN_BEFORE_SERVED
#define MAY_UNPIN (owner[AT(version, PIN)] == owner[AT(version, SHARD)])
#else
#define MAY_UNPIN (served[PIN] && served[SHARD] && owner[AT(version, PIN)] == owner[AT(version, SHARD)])
#endif
#endif

#ifdef PIN_KEEPS_SHARD_EPOCH
#define PIN_EPOCH epoch[AT(version, SHARD)]
#else
#define PIN_EPOCH (epoch[AT(version, SHARD)] + 1)
#endif

#ifdef UNPIN_KEEPS_SHARD_EPOCH
#define UNPINNED_EPOCH epoch[AT(version, SHARD)]
#else
#define UNPINNED_EPOCH ((epoch[AT(version, SHARD)] > epoch[AT(version, PIN)] -> epoch[AT(version, SHARD)] : epoch[AT(version, PIN)]) + 1)
#endif

/* Copies a unit into the next version unchanged. */
inline keep(u) {
	owner[AT(version + 1, u)] = owner[AT(version, u)];
	epoch[AT(version + 1, u)] = epoch[AT(version, u)];
	pred[LISTED(version + 1, u, 0)] = pred[LISTED(version, u, 0)];
	pred[LISTED(version + 1, u, 1)] = pred[LISTED(version, u, 1)];
	pred[LISTED(version + 1, u, 2)] = pred[LISTED(version, u, 2)]
}

/* Lists j as a predecessor of unit u, which is split off unit "from" and assigned
   to n. */
inline list(u, from, j, n) {
	if
	:: j == n -> skip
	:: j != n && j == owner[AT(version, from)] -> pred[LISTED(version + 1, u, j)] = epoch[AT(version, from)]
	:: j != n && j != owner[AT(version, from)] ->
#ifdef PIN_DROPS_SHARD_PREDECESSORS
		if
		:: u != from || served[from] -> skip
#else
		if
		:: served[from] -> skip
#endif
		:: else -> pred[LISTED(version + 1, u, j)] = pred[LISTED(version, from, j)]
		fi
	fi
}

inline assignTo(u, from, n, e) {
	owner[AT(version + 1, u)] = n;
	epoch[AT(version + 1, u)] = e;
	list(u, from, 0, n);
	list(u, from, 1, n);
	list(u, from, 2, n);
	served[u] = false
}

inline move(u, n) {
	assignTo(u, u, n, epoch[AT(version, u)] + 1);
	keep(1 - u);
	version++
}

inline pin(n) {
	assignTo(PIN, SHARD, n, PIN_EPOCH);
	keep(SHARD);
	version++
}

inline unpin() {
	owner[AT(version + 1, SHARD)] = owner[AT(version, SHARD)];
	epoch[AT(version + 1, SHARD)] = UNPINNED_EPOCH;
	served[SHARD] = false;
	served[PIN] = false;
	version++
}

#define MAY_MOVE(u, n) (version < MAX_VERSION && owner[AT(version, u)] != NONE && owner[AT(version, u)] != n)
#define MAY_PIN (version < MAX_VERSION && !PINNED(version))

/* Node 2 is symmetric to node 1 and becomes an owner only after it. */
byte named = 0;
#define MAY_NAME(n) (n <= named + 1)
#define NAME(n) named = (n > named -> n : named)

proctype Controller() {
	do
	:: d_step { MAY_MOVE(SHARD, 0) -> move(SHARD, 0) }
	:: d_step { MAY_MOVE(SHARD, 1) -> move(SHARD, 1); NAME(1) }
	:: d_step { MAY_NAME(2) && MAY_MOVE(SHARD, 2) -> move(SHARD, 2); NAME(2) }
	:: d_step { MAY_MOVE(PIN, 0) -> move(PIN, 0) }
	:: d_step { MAY_MOVE(PIN, 1) -> move(PIN, 1); NAME(1) }
	:: d_step { MAY_NAME(2) && MAY_MOVE(PIN, 2) -> move(PIN, 2); NAME(2) }
	:: d_step { MAY_PIN -> pin(0) }
	:: d_step { MAY_PIN -> pin(1); NAME(1) }
	:: d_step { MAY_PIN && MAY_NAME(2) -> pin(2); NAME(2) }
	:: d_step { version < MAX_VERSION && PINNED(version) && MAY_UNPIN -> unpin() }
	od
}

/* Learns a version. The node continues to serve a unit whose epoch is the same
   in the new version. */
inline learn(i, v) {
	serving[OF(i, SHARD)] = (serving[OF(i, SHARD)] && owner[AT(v, SHARD)] == i && epoch[AT(v, SHARD)] == epoch[AT(view[i], SHARD)]);
	serving[OF(i, PIN)] = (serving[OF(i, PIN)] && owner[AT(v, PIN)] == i && epoch[AT(v, PIN)] == epoch[AT(view[i], PIN)]);
	view[i] = v
}

inline serve(i, u) {
	serving[OF(i, u)] = true;
	served[u] = (epoch[AT(view[i], u)] == epoch[AT(version, u)] && owner[AT(version, u)] == i -> true : served[u])
}

#define MAY_SERVE(i, u) (owner[AT(view[i], u)] == i && !serving[OF(i, u)] && !WAITS(i, u, 0) && !WAITS(i, u, 1) && !WAITS(i, u, 2))
#define OWES(i, u) (owner[AT(view[i], u)] != i && pred[LISTED(view[i], u, i)] > released[OF(i, u)])
#define UNIT(i) (PINNED(view[i]) -> PIN : SHARD)

proctype Node(byte i) {
	do
	:: d_step { view[i] < 1 && version >= 1 -> learn(i, 1) }
	:: d_step { view[i] < 2 && version >= 2 -> learn(i, 2) }
	:: d_step { view[i] < 3 && version >= 3 -> learn(i, 3) }
	:: d_step { view[i] < 4 && version >= 4 -> learn(i, 4) }
	:: d_step { view[i] < 5 && version >= 5 -> learn(i, 5) }
	:: d_step { view[i] > 0 && MAY_SERVE(i, SHARD) -> serve(i, SHARD) }
	:: d_step { view[i] > 0 && MAY_SERVE(i, PIN) -> serve(i, PIN) }
	:: d_step { OWES(i, SHARD) && !BUSY(i, SHARD) -> released[OF(i, SHARD)] = pred[LISTED(view[i], SHARD, i)] }
	:: d_step { OWES(i, PIN) && !BUSY(i, PIN) -> released[OF(i, PIN)] = pred[LISTED(view[i], PIN, i)] }
	/* The gate counts the request and resolves its key in one step. */
	:: d_step { view[i] > 0 && request[i] == Idle && serving[OF(i, UNIT(i))] ->
		request[i] = Cleared; through[i] = UNIT(i); fence[i] = epoch[AT(view[i], UNIT(i))] }
	:: d_step { request[i] == Cleared ->
		assert(fence[i] > highest || (fence[i] == highest && i == highestNode));
		assert(i == 0 || request[0] != Dispatched);
		assert(i == 1 || request[1] != Dispatched);
		assert(i == 2 || request[2] != Dispatched);
		highest = fence[i]; highestNode = i; request[i] = Dispatched }
	:: d_step { request[i] == Dispatched -> request[i] = Idle; through[i] = NONE; fence[i] = 0 }
	od
}

init {
	d_step { owner[AT(1, SHARD)] = 0; epoch[AT(1, SHARD)] = 1 }
	atomic { run Node(0); run Node(1); run Node(2); run Controller() }
}

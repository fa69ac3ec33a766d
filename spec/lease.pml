/*
 * Leases and eviction of one incarnation of one node (the holder).
 *
 * The holder's member object names three witnesses and has a version. A
 * witness answers a renewal with a promise not to vote before the promise
 * expires. The holder dispatches only while it holds unexpired promises from a
 * majority. A peer evicts the holder by collecting the votes of a majority and
 * by a conditional update of the member object at the version that named these
 * witnesses.
 *
 * Time is modelled by one rule: a promise ends at the holder, whether received
 * or still in flight, before it ends at the witness. The lease ensures this by
 * counting from the sending time of the renewal, less the margin for clock
 * drift.
 *
 * Bounds: one holder incarnation and its replacement by a restart, one
 * evictor, four witnesses of which each set has three, two set changes. Not
 * bounded: renewals, lost, late and repeated answers, witness restarts, pauses
 * of every process, retries, and how long an update is in flight. The lease
 * check and the dispatch after it are one step.
 *
 * Each variant (-DNAME) removes one rule and must violate the assertion.
 */

#define WITNESSES 4
#define MAX_CHANGES 2

/* Sets of witnesses as bit masks: SET0 = {0,1,2}, SET1 = {1,2,3}. */
#define IN_SET(s, i) (((s) == 0 && (i) <= 2) || ((s) == 1 && (i) >= 1))
#define TWO_OF(a, b, c) (((a) && (b)) || ((a) && (c)) || ((b) && (c)))
#define MAJORITY(x, s) (((s) == 0 && TWO_OF(x[0], x[1], x[2])) || ((s) == 1 && TWO_OF(x[1], x[2], x[3])))

/* The member object. */
byte version;
bit set;
bool gone;             /* evicted, or replaced by a later incarnation */

/* The witnesses' memory. */
bool alive[WITNESSES]; /* false once restarted: the named incarnation has ended */
bool promised[WITNESSES];
bool voted[WITNESSES];

/* The holder. */
bool running = true;
bool answer[WITNESSES]; /* a promise in flight to the holder */
bool held[WITNESSES];   /* a promise that the holder counts */
bit usedSet;            /* the set that the holder knows to be stored */
byte usedVersion;
bool changing;          /* an update is pending or its outcome unknown */
bool updateSent;        /* the update may still reach the platform */
byte changes;

/* The evictor. */
byte readVersion;
bit readSet;
bool votes[WITNESSES];
bool evictionSent;      /* the update may still reach the platform */

/* The restarted process on the holder's VM. */
bool replacing;
byte replaceVersion;

#ifdef SET_CHANGE_NEEDS_ONE_MAJORITY
#define LEASE_VALID MAJORITY(held, usedSet) || (changing && MAJORITY(held, 1 - usedSet))
#else
#define LEASE_VALID MAJORITY(held, usedSet) && (!changing || MAJORITY(held, 1 - usedSet))
#endif

#ifdef VOTE_BEFORE_LAPSE
#define MAY_VOTE(i) alive[i] && !voted[i]
#else
#define MAY_VOTE(i) alive[i] && !voted[i] && !promised[i]
#endif

#ifdef RENEW_AFTER_VOTE
#define MAY_PROMISE(i) alive[i]
#else
#define MAY_PROMISE(i) alive[i] && !voted[i]
#endif

#ifdef LEASE_FROM_RECEIPT
#define MAY_LAPSE(i) promised[i] && !held[i]
#else
#define MAY_LAPSE(i) promised[i] && !held[i] && !answer[i]
#endif

#ifdef EVICTION_IGNORES_VERSION
#define EVICTION_APPLIES !gone
#else
#define EVICTION_APPLIES !gone && version == readVersion
#endif

proctype Witness(byte i) {
	do
	/* The witness answers a renewal, which may be late, with a promise. */
	:: d_step { MAY_PROMISE(i) && !answer[i] -> promised[i] = true; answer[i] = true }
	/* The promise expires at the witness. */
	:: d_step { MAY_LAPSE(i) -> promised[i] = false }
	/* The witness votes. Its answer may be lost and is sent again. */
	:: d_step { MAY_VOTE(i) -> voted[i] = true }
	:: d_step { alive[i] && voted[i] && IN_SET(readSet, i) && !votes[i] -> votes[i] = true }
	/* A restart loses the witness's memory; the new incarnation is in no set. */
#ifdef WITNESS_KEEPS_IDENTITY
	:: d_step { alive[i] && (promised[i] || voted[i]) -> promised[i] = false; voted[i] = false }
#else
	:: d_step { alive[i] -> alive[i] = false; promised[i] = false; voted[i] = false }
#endif
	/* The holder receives the answer, once or repeatedly. */
	:: d_step { answer[i] && running -> answer[i] = false; held[i] = true }
	:: d_step { answer[i] && running && !held[i] -> held[i] = true }
	/* The answer is lost, or the promise expires at the holder. */
	:: d_step { answer[i] -> answer[i] = false }
	:: d_step { held[i] -> held[i] = false }
	od
}

proctype Holder() {
	do
	/* The lease is checked immediately before each dispatch. */
#ifdef DISPATCH_WITHOUT_CHECK
	:: d_step { running -> assert(!gone) }
#else
	:: d_step { running && LEASE_VALID -> assert(!gone) }
#endif
	/* Starts a change of the witness set, which is pending before it is sent. */
	:: d_step { running && !changing && !updateSent && changes < MAX_CHANGES ->
		changes++; changing = true; updateSent = true }
	/* Reads the object: the stored version is newer than the one of its condition. */
	:: d_step { running && changing && version == usedVersion + 1 && !gone ->
		usedVersion = version; usedSet = set; changing = false }
	/* Reads the object and finds the update not applied. It may still arrive, so
	   the holder keeps using both sets and sends the update again. */
#ifdef ABSENT_UPDATE_TAKEN_AS_FAILED
	:: d_step { running && changing && version == usedVersion -> changing = false }
#endif
	:: d_step { running && changing && version == usedVersion && !updateSent -> updateSent = true }
#ifdef LOST_ANSWER_TAKEN_AS_FAILED
	:: d_step { running && changing -> changing = false }
#endif
	/* The process dies. */
	:: d_step { running -> running = false;
		held[0] = false; held[1] = false; held[2] = false; held[3] = false }
	od
}

proctype Platform() {
	do
	/* The conditional update of the set takes effect, or is lost. */
	:: d_step { updateSent && version == usedVersion && !gone ->
		updateSent = false; version++; set = 1 - set }
	:: d_step { updateSent -> updateSent = false }
	/* The eviction takes effect, or is lost or refused. */
	:: d_step { evictionSent && EVICTION_APPLIES -> evictionSent = false; gone = true; version++ }
	:: d_step { evictionSent -> evictionSent = false }
	od
}

proctype Evictor() {
	do
	:: d_step { !evictionSent && readVersion != version && !gone -> readVersion = version; readSet = set }
	:: d_step { !evictionSent && MAJORITY(votes, readSet) && !gone -> evictionSent = true }
	od
}

/* A restart on the same VM replaces the member object without votes. It has
   bound the holder's address in the same boot, so the old process has ended. */
proctype Restart() {
	do
#ifdef REPLACE_WHILE_OLD_RUNS
	:: d_step { !replacing && !gone -> replacing = true; replaceVersion = version }
#else
	:: d_step { !replacing && !gone && !running -> replacing = true; replaceVersion = version }
#endif
	:: d_step { replacing && !gone && version == replaceVersion -> replacing = false; gone = true; version++ }
	:: d_step { replacing -> replacing = false; replaceVersion = 0 }
	od
}

init {
	d_step {
		alive[0] = true; alive[1] = true; alive[2] = true; alive[3] = true;
	}
	atomic {
		run Witness(0); run Witness(1); run Witness(2); run Witness(3);
		run Holder(); run Platform(); run Evictor(); run Restart();
	}
}

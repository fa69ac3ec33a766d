/*
 * Lease of a node and hold of its backend server, with two leaders, conditional
 * updates of the fleet document, evictions, outages and late answers.
 *
 * Node A owns the keys of one row and grants them to its local backend server.
 * Leader 1 renews A's lease; leader 2 takes over by a conditional update of the
 * document. Either leader may mark A as evicted and, once A's lease has
 * certainly expired, assign the row to B. No key may then be held by both
 * servers.
 *
 * Time advances in steps that decrement every timer together. A step may occur
 * between any two other transitions, so a call may take any time, and a call
 * that was sent long ago may still be answered. A duration that counts from the
 * sending of a call is a timer that is set when the call is sent. LEASE is how
 * long a renewal is valid, FRESH the maximum age of a leader's proof, and OUTAGE
 * how long a leader with a majority may continue without a proof. "majority" is
 * the term that a majority follows; a member never returns to a lower term, so
 * it only rises.
 *
 * With LEADER_RESUMES, leader 1 may restart without its memory. It resumes its
 * term while the promise of its earlier process to write nothing is still valid
 * at A. A leader that has made this promise writes nothing until the promise has
 * expired at A. The server's hold, which never outlasts A's lease, is omitted
 * then to keep the state space small.
 *
 * Bounds: one row, two leaders, one take-over, one eviction, one call of each
 * kind at a time. B's own lease follows the same rule and is not modelled. All
 * clocks run at the same rate here; the code subtracts 2% from each hold for
 * clock drift.
 *
 * Each variant (-DNAME) removes one rule and must violate the assertion.
 */

#define LEASE 2
#define FRESH 2
#define OUTAGE 4

/* The document. */
byte term = 1;
bool evicted;
bool ownerB;

bool marked1;           /* leader 1 holds a version with the mark */
bool ended1;            /* leader 1 knows that it no longer leads */
bool established;       /* leader 2 knows that a majority follows it */
byte majority = 1;
#define claimed (term == 2)
bool restarted1;        /* leader 1 has restarted and has not resumed its term */
bool resumed1;          /* leader 1 has resumed its term and writes nothing */
bool resigned;          /* the document records that leader 1 renews no more leases */
bool gone1;             /* leader 1 knows that it has resigned */
bool markKnown;         /* marked1 at the time of the promise */

/* Timers; 0 means expired. */
byte lease;             /* A's lease */
byte hold;              /* the hold of A's server */
byte proof1 = OUTAGE;   /* leader 1: OUTAGE less the age of its last proof */
byte heard1 = FRESH;    /* leader 1: FRESH less the time since it last saw a majority */
byte bound1;            /* leader 1: its promise may still be valid at A */
byte sight;             /* A: how long the promise is still valid */
byte sightProof;        /* proof1 as sent with the promise */
byte wait;              /* time to wait after the mark, as counted by the current leader */
byte settle;            /* leader 2: a lease renewed by the earlier leader may still be valid */

/* Calls in flight: the remaining time of what each call requests, counted from
   when it was sent; NOCALL if there is none. */
#define NOCALL 7
byte ask = NOCALL;      /* A's renewal, from a leader or by reading the document */
bool asked;             /* its answer is in flight */
bool promised;          /* the answer carries the promise to write nothing */
byte report = NOCALL;   /* the server's report to A */
bool answered;          /* its answer is in flight; "granted" is the hold that it carries */
byte granted;
byte prove1 = NOCALL;   /* leader 1's read, served while the document had its term */

/* Leader 1 is running and leads, either by a write or by resuming. */
#define LEADS1 (!ended1 && !restarted1 && !gone1)

#ifdef WRITES_UNDER_PROMISE
#define FREE1 true
#else
#define FREE1 (bound1 == 0)
#endif

#ifdef RESUMES_WITHOUT_PROMISE
#define EVIDENCE true
#else
#define EVIDENCE (sight > 0)
#endif

#ifdef RESUMES_WITHOUT_PROOF_AGE
#define RESUMED_PROOF OUTAGE
#else
#define RESUMED_PROOF sightProof
#endif

#define DOWN(t) t = (t > 0 -> t - 1 : 0)
#define KEEP(t) t = (t != NOCALL && t > 0 -> t - 1 : t)

#ifdef LEADER_WITHOUT_PROOF
#define VALID1 true
#else
#define VALID1 (proof1 > OUTAGE - FRESH || (heard1 > 0 && proof1 > 0))
#endif

#ifdef RENEWS_EVICTED
#define RENEWS1 (LEADS1 && VALID1)
#else
#define RENEWS1 (LEADS1 && VALID1 && !marked1)
#endif

#ifdef LEASE_FROM_ANSWER
#define FROM_SENT(t) LEASE
#else
#define FROM_SENT(t) t
#endif

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))

#ifdef FREES_AT_ONCE
#define WAITED true
#else
#define WAITED (wait == 0)
#endif

#ifdef SKIPS_EARLIER_LEADER
#define SETTLED true
#else
#define SETTLED (settle == 0)
#endif

#ifdef HOLD_BEYOND_LEASE
#define GRANT LEASE
#else
#define GRANT lease
#endif

active proctype world() {
  do
  /* Time advances by one step. */
  :: d_step {
      DOWN(lease); DOWN(hold); DOWN(proof1); DOWN(heard1); DOWN(wait); DOWN(settle); DOWN(granted);
      DOWN(bound1); DOWN(sight); DOWN(sightProof);
      KEEP(ask); KEEP(report); KEEP(prove1)
    }

  /* A requests a renewal, a leader that may renew answers, and the answer arrives. */
  :: ask == NOCALL -> d_step { ask = LEASE; asked = false; promised = false }
  :: ask != NOCALL && !asked && RENEWS1 -> asked = true
#ifdef LEADER_RESUMES
  /* Leader 1 answers, with or without a renewal, and promises to write nothing. */
  :: ask != NOCALL && !asked && LEADS1 -> d_step {
      asked = RENEWS1; promised = true; bound1 = LEASE; sightProof = proof1; markKnown = marked1
    }
  :: ask != NOCALL && promised -> sight = MAX(sight, ask)
#endif
  :: ask != NOCALL && !asked && established && !evicted -> asked = true
  /* A reads the document, which lists A without a mark. */
  :: ask != NOCALL && !asked && !evicted && !ownerB -> asked = true
  :: ask != NOCALL && asked -> d_step { lease = MAX(lease, FROM_SENT(ask)); ask = NOCALL; asked = false }
  :: ask != NOCALL -> d_step { ask = NOCALL; asked = false }          /* lost */

#ifndef LEADER_RESUMES
  /* The server sends a report, A answers while its lease is valid, and the answer
     arrives. The hold counts from when the report was sent, LEASE - report
     steps ago. */
  :: report == NOCALL -> report = LEASE
  :: report != NOCALL && !answered && lease > 0 -> d_step {
      granted = (GRANT > LEASE - report -> GRANT - (LEASE - report) : 0);
      answered = true; report = 0
    }
  :: report != NOCALL && answered -> d_step { hold = MAX(hold, granted); report = NOCALL; answered = false; granted = 0 }
  :: report != NOCALL -> d_step { report = NOCALL; answered = false; granted = 0 }
#endif

  /* Leader 1 proves its term by a read. */
  :: prove1 == NOCALL && LEADS1 && term == 1 -> prove1 = OUTAGE
  :: prove1 != NOCALL -> d_step { proof1 = MAX(proof1, prove1); prove1 = NOCALL }
  :: prove1 != NOCALL -> prove1 = NOCALL
  /* A majority of members returns its stamp, so they followed it after the stamp. */
#ifdef MAJORITY_FROM_ARRIVAL
  :: !ended1 -> heard1 = FRESH
#else
  :: !ended1 && majority == 1 -> heard1 = FRESH
#endif
  :: claimed && !ended1 -> ended1 = true                              /* it learns of leader 2 */

  /* Leader 1 marks A and, after the wait, assigns the row to B. */
  :: LEADS1 && !resumed1 && FREE1 && term == 1 && !evicted -> d_step { evicted = true; marked1 = true; wait = LEASE }
  :: LEADS1 && !resumed1 && FREE1 && term == 1 && marked1 && WAITED && !ownerB -> ownerB = true

  /* Leader 1 resigns. */
  :: LEADS1 && !resumed1 && FREE1 && term == 1 -> d_step { resigned = true; gone1 = true }

#ifdef LEADER_RESUMES
  /* Leader 1 restarts and resumes once it sees that the promise is still valid. */
  :: !ended1 -> d_step {
      restarted1 = true; resumed1 = false; gone1 = false; marked1 = false; heard1 = 0; proof1 = 0; prove1 = NOCALL; bound1 = 0
    }
  :: restarted1 && EVIDENCE -> d_step {
      restarted1 = false; resumed1 = true; marked1 = markKnown; proof1 = RESUMED_PROOF
    }
#endif

  /* Leader 2 claims the term, gains a majority, marks A and assigns the row to B. */
  :: !claimed && !resigned -> d_step { term = 2; settle = OUTAGE + LEASE; wait = LEASE }
  :: !claimed && resigned -> d_step { term = 2; established = true; settle = LEASE; wait = LEASE }
  :: claimed && majority == 1 -> majority = 2
  :: claimed && majority == 2 && !established -> d_step { established = true; settle = MIN(settle, FRESH + LEASE) }
  :: established && !evicted -> d_step { evicted = true; wait = LEASE }
  :: claimed && evicted && WAITED && SETTLED && !ownerB -> ownerB = true

  /* B's server is granted the row. */
#ifdef LEADER_RESUMES
  :: ownerB -> assert(lease == 0)
#else
  :: ownerB -> assert(hold == 0)
#endif
  od
}

/*
 * What both specifications know of members, acknowledgements and leases. N is
 * the number of VMs, L the ticks of a lease; members, epoch, flight, lease and
 * the old tenure are declared here. Sets are bits, one for each VM.
 */

#ifndef L
#define L 1
#endif
#ifdef NO_WAIT
#define WAIT 0
#else
#define WAIT L
#endif

#define HAS(set, v) (((set) >> (v)) & 1)
#define SIZE(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3))
#define QUORUM(set) (SIZE(set) / 2 + 1)
#define MEMBERS(v) members[epoch[v]]
#define PAIR(v, m) ((v) * N + (m))
#define FRESH(v, m, t) ((v) != (m) && lease[PAIR(v, m)] >= (t))
#define AT(e, m) (HAS(members[e], m) && epoch[m] == (e))
#if N == 3
#define ACKS(v, t) (1 + FRESH(v, 0, t) + FRESH(v, 1, t) + FRESH(v, 2, t))
#define ADOPTED(e) (AT(e, 0) + AT(e, 1) + AT(e, 2))
#else
#define ACKS(v, t) (1 + FRESH(v, 0, t) + FRESH(v, 1, t) + FRESH(v, 2, t) + FRESH(v, 3, t))
#define ADOPTED(e) (AT(e, 0) + AT(e, 1) + AT(e, 2) + AT(e, 3))
#endif
/* LEASED: a quorum, v among it, acknowledged and at least t ticks remain. */
#define LEASED(v, t) (HAS(MEMBERS(v), v) && ACKS(v, t) >= QUORUM(MEMBERS(v)))
/* PROVED: a quorum has adopted the latest epoch. */
#ifdef NO_PROOF
#define PROVED true
#else
#define PROVED (ADOPTED(top) >= QUORUM(members[top]))
#endif

byte members[CHANGES + 1];
byte top; /* the latest epoch of the log */

byte epoch[N];
byte quorate; /* VMs that had a quorum in their epoch */
byte wait[N]; /* ticks until the holder may act */
byte flight[N * N]; /* acknowledgements on their way: remaining ticks */
byte lease[N * N];  /* acknowledgements that arrived: remaining ticks */

/* The tenure of an earlier epoch, until the first quorum in this one. */
byte oldLease[N];
byte oldWait[N];
byte oldEpoch[N];

byte i;
byte t;

/* Forgets an old tenure that can act no more. */
inline prune(v) {
	if
	:: oldWait[v] >= oldLease[v] -> oldLease[v] = 0; oldWait[v] = 0; oldEpoch[v] = 0
	:: else
	fi
}

inline lapse(x) {
	x = (x > 0 -> x - 1 : 0)
}

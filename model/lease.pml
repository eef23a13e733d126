/*
 * The part that epochs.pml and bans.pml share: members, acknowledgements of
 * pings, and leases. N is the number of VMs, L the duration of a lease in
 * ticks. A set of VMs is a bit mask.
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
#define ACK_VALID(v, m, t) ((v) != (m) && acked[PAIR(v, m)] >= (t))
#define HAS_ADOPTED(e, m) (HAS(members[e], m) && epoch[m] == (e))
#if N == 3
#define ACKS(v, t) (1 + ACK_VALID(v, 0, t) + ACK_VALID(v, 1, t) + ACK_VALID(v, 2, t))
#define ADOPTERS(e) (HAS_ADOPTED(e, 0) + HAS_ADOPTED(e, 1) + HAS_ADOPTED(e, 2))
#else
#define ACKS(v, t) (1 + ACK_VALID(v, 0, t) + ACK_VALID(v, 1, t) + ACK_VALID(v, 2, t) + ACK_VALID(v, 3, t))
#define ADOPTERS(e) (HAS_ADOPTED(e, 0) + HAS_ADOPTED(e, 1) + HAS_ADOPTED(e, 2) + HAS_ADOPTED(e, 3))
#endif
/* LEASED: v is a member, and acknowledgements of a quorum, which includes v, are
 * valid for at least t more ticks. */
#define LEASED(v, t) (HAS(MEMBERS(v), v) && ACKS(v, t) >= QUORUM(MEMBERS(v)))
/* PROVED: a quorum of its members has adopted the latest epoch. */
#ifdef NO_PROOF
#define PROVED true
#else
#define PROVED (ADOPTERS(latest) >= QUORUM(members[latest]))
#endif

byte members[CHANGES + 1];
byte latest; /* the latest epoch in the log */

byte epoch[N];
byte quorate; /* VMs that have had a quorum in their present epoch */
byte takeoverWait[N]; /* ticks until the holder may act */
byte ackInFlight[N * N]; /* acknowledgements in flight: remaining ticks */
byte acked[N * N]; /* acknowledgements received: remaining ticks */

/* The lease and the wait of an earlier epoch. They apply until the VM has its
 * first quorum in the present epoch. */
byte oldLease[N];
byte oldWait[N];
byte oldEpoch[N];

byte i;
byte t;

/* Drops the lease of an earlier epoch if it ends no later than its wait. */
inline dropExpired(v) {
	if
	:: oldWait[v] >= oldLease[v] -> oldLease[v] = 0; oldWait[v] = 0; oldEpoch[v] = 0
	:: else
	fi
}

inline countDown(x) {
	x = (x > 0 -> x - 1 : 0)
}

/*
 * Bans and resignations: how a range passes on while the log takes no record,
 * and what becomes of it in the next epoch.
 *
 * Three VMs and one range; its order is the highest member first. As in
 * epochs.pml a VM that takes no step stands for a frozen or unreachable one,
 * an acknowledgement in flight may arrive at any time or never, and times are
 * remaining ticks. A member may promise a ban at any time: when it is wise to
 * do so is no matter of safety. A VM learns of a ban at any time after a
 * quorum of its epoch promised it, and of a resignation at any time after it.
 *
 * ONE_BAN leaves out what only matters where two members are banned: VM 0,
 * the last in order, then needs no lease.
 *
 * Negative controls: NO_WAIT, BAN_IGNORED, NO_BAN_WAIT, CARRY_TAINTED,
 * RESIGN_LATE.
 */

#define N 3
#ifndef CHANGES
#define CHANGES 1 /* records after the first epoch */
#endif
#include "lease.pml"

#ifdef NO_BAN_WAIT
#define BAN_WAIT 0
#else
#define BAN_WAIT L
#endif

/* Promises: one set of suspects for each member and epoch. */
#define PROMISED(e, m) promised[(e) * N + (m)]
#define BANS(e, m, x) (HAS(members[e], m) && HAS(PROMISED(e, m), x))
#define BANNED(e, x) ((BANS(e, 0, x) + BANS(e, 1, x) + BANS(e, 2, x)) >= QUORUM(members[e]))

/* BEFORE: a member before v in order still has its place, for all v knows. */
#define BEFORE(v, x) ((x) > (v) && HAS(MEMBERS(v), x) && !HAS(gone[v], x) && !HAS(knownBan[v], x))
#define NEXT(v) (!BEFORE(v, 1) && !BEFORE(v, 2))
/* FIRST: only resigned members are before v. */
#define AHEAD(v, x) ((x) > (v) && HAS(MEMBERS(v), x) && !HAS(gone[v], x))
#define FIRST(v) (!AHEAD(v, 1) && !AHEAD(v, 2))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define DELAY(v) MAX(wait[v], MAX(banWait[PAIR(v, 1)], banWait[PAIR(v, 2)]))
#define NOW(v) (HAS(quorate, v) && LEASED(v, 1) && NEXT(v) && DELAY(v) == 0)
#define ACTIVE(v) (!HAS(stopped, v) && (NOW(v) || (oldLease[v] > 0 && oldWait[v] == 0)))

/* LOST: a quorum of the epoch before may have banned v there. */
#define OPEN(v, m) (HAS(members[epoch[v] - 1], m) && !HAS(clean[v], m))
#define LOST(v) (HAS(tainted, v) && (OPEN(v, 0) + OPEN(v, 1) + OPEN(v, 2)) >= QUORUM(members[epoch[v] - 1]))

byte promised[(CHANGES + 1) * N];
byte knownBan[N];
byte banWait[N * N]; /* ticks until v may count on the ban */
byte tainted; /* VMs that heard of a ban of theirs in the epoch before */
byte clean[N]; /* members that said they had not banned v there */

byte resigned; /* VMs that have said that they resigned */
byte stopped;  /* VMs that act no more */
byte gone[N];  /* resigned members that v knows of */

inline check() {
	assert(ACTIVE(0) + ACTIVE(1) + ACTIVE(2) <= 1)
}

/* The first quorum of an epoch: Participant.Refresh and carry. */
inline settle(v) {
	if
#ifdef CARRY_TAINTED
	:: !HAS(quorate, v) && LEASED(v, 1) ->
#else
	:: !HAS(quorate, v) && LEASED(v, 1) && !(oldLease[v] > 0 && LOST(v)) ->
#endif
		quorate = quorate | (1 << v);
		wait[v] = WAIT;
		if
		:: oldLease[v] > 0 && oldWait[v] == 0 && oldEpoch[v] + 1 == epoch[v] && FIRST(v) -> wait[v] = 0
		:: else
		fi;
		oldLease[v] = 0; oldWait[v] = 0; oldEpoch[v] = 0
	:: else
	fi
}

/* Participant.Apply and Adopt: the next epoch. */
inline adopt(v) {
	if
	:: HAS(quorate, v) ->
		oldLease[v] = 0;
		t = 1;
		do
		:: t <= L && LEASED(v, t) && NEXT(v) -> oldLease[v] = t; t++
		:: else -> break
		od;
		oldWait[v] = DELAY(v);
		oldEpoch[v] = epoch[v]
	:: else
	fi;
	epoch[v] = epoch[v] + 1;
	quorate = quorate & ~(1 << v);
	tainted = tainted & ~(1 << v);
	clean[v] = 1 << v;
	knownBan[v] = 0;
	wait[v] = 0;
	i = 0;
	do
	:: i < N -> flight[PAIR(v, i)] = 0; lease[PAIR(v, i)] = 0; banWait[PAIR(v, i)] = 0; i++
	:: else -> break
	od;
	i = 0; t = 0;
	if
	:: !HAS(MEMBERS(v), v) -> oldLease[v] = 0; oldWait[v] = 0
	:: else
	fi;
	prune(v);
	settle(v);
	check()
}

inline arrive(v, m) {
	lease[PAIR(v, m)] = MAX(lease[PAIR(v, m)], flight[PAIR(v, m)]);
	flight[PAIR(v, m)] = 0;
	if
	:: epoch[v] == 0
	:: epoch[v] > 0 && !HAS(PROMISED(epoch[v] - 1, m), v) -> clean[v] = clean[v] | (1 << m)
	:: else -> tainted = tainted | (1 << v)
	fi;
	settle(v);
	check()
}

inline tick() {
	i = 0;
	do
	:: i < N ->
		lapse(wait[i]);
		lapse(oldLease[i]);
		lapse(oldWait[i]);
		prune(i);
		t = 0;
		do
		:: t < N ->
			lapse(lease[PAIR(i, t)]);
			lapse(flight[PAIR(i, t)]);
			lapse(banWait[PAIR(i, t)]);
			t++
		:: else -> break
		od;
		i++
	:: else -> break
	od;
	i = 0; t = 0;
	settle(0); settle(1); settle(2);
	check()
}

#ifdef BAN_IGNORED
#define ACKNOWLEDGES(m, v) (epoch[m] == epoch[v])
#else
#define ACKNOWLEDGES(m, v) (epoch[m] == epoch[v] && !HAS(PROMISED(epoch[m], m), v))
#endif

#define ACK(v, m) \
	:: d_step { !HAS(stopped, v) && HAS(MEMBERS(v), v) && HAS(MEMBERS(v), m) && ACKNOWLEDGES(m, v) && \
		flight[PAIR(v, m)] < L && lease[PAIR(v, m)] < L -> flight[PAIR(v, m)] = L } \
	:: d_step { flight[PAIR(v, m)] > 0 -> arrive(v, m) }

#define ADOPT(v) \
	:: d_step { epoch[v] < top -> adopt(v) }

#define CHANGE(v) \
	:: d_step { top < CHANGES && PROVED && members[top] != (1 << v) -> members[top + 1] = members[top] ^ (1 << v); top++ }

#define PROMISE(m, x) \
	:: d_step { HAS(MEMBERS(m), m) && HAS(MEMBERS(m), x) && !HAS(PROMISED(epoch[m], m), x) -> \
		PROMISED(epoch[m], m) = PROMISED(epoch[m], m) | (1 << x) }

#define LEARN(v, x) \
	:: d_step { HAS(MEMBERS(v), v) && !HAS(knownBan[v], x) && HAS(MEMBERS(v), x) && BANNED(epoch[v], x) -> \
		knownBan[v] = knownBan[v] | (1 << x); banWait[PAIR(v, x)] = BAN_WAIT; check() }

#ifdef RESIGN_LATE
#define RESIGN(v) \
	:: d_step { !HAS(resigned, v) -> resigned = resigned | (1 << v) } \
	:: d_step { HAS(resigned, v) && !HAS(stopped, v) -> stopped = stopped | (1 << v) }
#else
#define RESIGN(v) \
	:: d_step { !HAS(resigned, v) -> resigned = resigned | (1 << v); stopped = stopped | (1 << v) }
#endif

#define HEAR(v, x) \
	:: d_step { HAS(resigned, x) && !HAS(gone[v], x) -> gone[v] = gone[v] | (1 << x); check() }

init {
	members[0] = 7;
	do
	:: d_step { true -> tick() }
	ACK(1, 0) ACK(1, 2) ACK(2, 0) ACK(2, 1)
	ADOPT(0) ADOPT(1) ADOPT(2)
#if CHANGES > 0
	CHANGE(0) CHANGE(1) CHANGE(2)
	/* The same members begin a new epoch. */
	:: d_step { top < CHANGES && PROVED -> members[top + 1] = members[top]; top++ }
#endif
	PROMISE(0, 2) PROMISE(1, 2)
	LEARN(1, 2)
#ifndef ONE_BAN
	ACK(0, 1) ACK(0, 2)
	PROMISE(0, 1) PROMISE(2, 1)
	LEARN(0, 1) LEARN(0, 2)
#endif
#ifdef RESIGNING
	RESIGN(2)
	HEAR(1, 2)
#ifndef ONE_BAN
	RESIGN(1)
	HEAR(0, 1) HEAR(0, 2)
#endif
#endif
	od
}

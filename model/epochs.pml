/*
 * The epochs of the membership and the leases in them.
 *
 * One range; its holder in an epoch is the highest member. A VM that takes no
 * step for any number of ticks stands for one that is frozen, cut off or slow;
 * an acknowledgement in flight may arrive at any time or never; a log that
 * takes no record stands for an outage. Times are remaining ticks.
 *
 * An acknowledgement is sent at the instant of its ping: a later one would
 * only shorten the lease. Its arrival may be late.
 *
 * Assumption about the platform: a VM that a record removes without proof
 * (forced) runs no longer. PLATFORM_WRONG drops the assumption.
 *
 * Negative controls: NO_WAIT, FROM_ARRIVAL, LOWER_EPOCH, TWO_MEMBERS,
 * NO_PROOF, UNCHECKED, CARRY_FAR, PLATFORM_WRONG.
 */

#ifndef N
#define N 4 /* VMs */
#endif
#ifndef CHANGES
#define CHANGES 2 /* records after the first epoch */
#endif
#ifndef FIRST
#define FIRST 7 /* members of the first epoch, a bit each */
#endif
#include "lease.pml"

#define HOLDER(set) (HAS(set, 3) -> 3 : (HAS(set, 2) -> 2 : (HAS(set, 1) -> 1 : 0)))
#define HOLDS(v) (HAS(MEMBERS(v), v) && HOLDER(MEMBERS(v)) == (v))
#define ACTIVE(v) (!HAS(dead, v) && ((HAS(quorate, v) && wait[v] == 0 && LEASED(v, 1)) || (oldLease[v] > 0 && oldWait[v] == 0)))
#if N == 3
#define ALL_ACTIVE (ACTIVE(0) + ACTIVE(1) + ACTIVE(2))
#else
#define ALL_ACTIVE (ACTIVE(0) + ACTIVE(1) + ACTIVE(2) + ACTIVE(3))
#endif
#ifdef LOWER_EPOCH
#define ACKNOWLEDGES(m, v) (epoch[m] >= epoch[v])
#else
#define ACKNOWLEDGES(m, v) (epoch[m] == epoch[v])
#endif

byte forced; /* epochs that began without proof, a bit each */
byte dead;   /* VMs whose process has ended */
byte frozen; /* used by UNCHECKED alone */

inline check() {
	assert(ALL_ACTIVE <= 1)
}

/* The first quorum of an epoch: Participant.Refresh and carry. */
inline settle(v) {
	if
	:: HOLDS(v) && !HAS(quorate, v) && LEASED(v, 1) ->
		quorate = quorate | (1 << v);
		if
#ifdef CARRY_FAR
		:: oldLease[v] > 0 && oldWait[v] == 0 -> wait[v] = 0
#else
		:: oldLease[v] > 0 && oldWait[v] == 0 && oldEpoch[v] + 1 == epoch[v] && !HAS(forced, epoch[v]) -> wait[v] = 0
#endif
		:: else -> wait[v] = WAIT
		fi;
		oldLease[v] = 0; oldWait[v] = 0; oldEpoch[v] = 0
	:: else
	fi
}

/* Participant.Apply and Adopt. */
inline adopt(v, e) {
	if
	:: HAS(quorate, v) ->
		oldLease[v] = 0;
		t = 1;
		do
		:: t <= L && LEASED(v, t) -> oldLease[v] = t; t++
		:: else -> break
		od;
		oldWait[v] = wait[v];
		oldEpoch[v] = epoch[v]
	:: else
	fi;
	epoch[v] = e; /* e is not used below: it may name epoch[v] */
	quorate = quorate & ~(1 << v);
	wait[v] = 0;
	i = 0;
	do
	:: i < N -> flight[PAIR(v, i)] = 0; lease[PAIR(v, i)] = 0; i++
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

/* Roster.Next: a record begins the next epoch. */
inline record(set) {
	members[top + 1] = set;
	top++
}

inline arrive(v, m) {
#ifdef FROM_ARRIVAL
	lease[PAIR(v, m)] = L;
#else
	lease[PAIR(v, m)] = (lease[PAIR(v, m)] > flight[PAIR(v, m)] -> lease[PAIR(v, m)] : flight[PAIR(v, m)]);
#endif
	flight[PAIR(v, m)] = 0;
	settle(v);
	check()
}

inline tick() {
	i = 0;
	do
	:: i < N ->
		if
		:: HAS(frozen, i)
		:: else ->
			lapse(wait[i]);
			lapse(oldLease[i]);
			lapse(oldWait[i]);
			prune(i);
			t = 0;
			do
			:: t < N ->
				lapse(lease[PAIR(i, t)]);
#ifndef FROM_ARRIVAL
				lapse(flight[PAIR(i, t)]);
#endif
				t++
			:: else -> break
			od
		fi;
		i++
	:: else -> break
	od;
	i = 0; t = 0;
	check()
}

#define UP(v) (!HAS(dead, v) && !HAS(frozen, v))

#define ACK(v, m) \
	:: d_step { UP(v) && UP(m) && HOLDS(v) && HAS(MEMBERS(v), m) && ACKNOWLEDGES(m, v) && \
		flight[PAIR(v, m)] < L && lease[PAIR(v, m)] < L -> flight[PAIR(v, m)] = L } \
	:: d_step { UP(v) && flight[PAIR(v, m)] > 0 -> arrive(v, m) }

#define ADOPT(v) \
	:: d_step { UP(v) && epoch[v] + 1 <= top -> adopt(v, epoch[v] + 1) } \
	:: d_step { UP(v) && epoch[v] + 2 <= top -> adopt(v, epoch[v] + 2) }

#define CHANGE(v) \
	:: d_step { top < CHANGES && PROVED && members[top] != (1 << v) && (!HAS(dead, v) || HAS(members[top], v)) -> record(members[top] ^ (1 << v)) }

#define CHANGE_TWO(v, m) \
	:: d_step { top < CHANGES && PROVED && (members[top] ^ (1 << v) ^ (1 << m)) != 0 -> record(members[top] ^ (1 << v) ^ (1 << m)) }

#define KILL(v) \
	:: d_step { !HAS(dead, v) && (dead | (1 << v)) != (1 << N) - 1 -> dead = dead | (1 << v); quorate = quorate & ~(1 << v); \
		wait[v] = 0; oldLease[v] = 0; oldWait[v] = 0; oldEpoch[v] = 0; \
		flight[PAIR(v, 0)] = 0; flight[PAIR(v, 1)] = 0; flight[PAIR(v, 2)] = 0; \
		lease[PAIR(v, 0)] = 0; lease[PAIR(v, 1)] = 0; lease[PAIR(v, 2)] = 0 }

#define FREEZE(v) \
	:: d_step { !HAS(frozen, v) -> frozen = frozen | (1 << v) } \
	:: d_step { HAS(frozen, v) -> frozen = frozen & ~(1 << v) }

init {
	members[0] = FIRST;
	do
	:: d_step { true -> tick() }
	ACK(0, 1) ACK(0, 2) ACK(1, 0) ACK(1, 2) ACK(2, 0) ACK(2, 1)
	ADOPT(0) ADOPT(1) ADOPT(2)
	CHANGE(0) CHANGE(1) CHANGE(2)
#if N > 3
	ACK(0, 3) ACK(1, 3) ACK(2, 3) ACK(3, 0) ACK(3, 1) ACK(3, 2)
	ADOPT(3)
	CHANGE(3)
#endif
#ifdef TWO_MEMBERS
	CHANGE_TWO(0, 1) CHANGE_TWO(0, 2) CHANGE_TWO(1, 2)
#if N > 3
	CHANGE_TWO(0, 3) CHANGE_TWO(1, 3) CHANGE_TWO(2, 3)
#endif
#endif
#ifdef FORCED
	KILL(0) KILL(1) KILL(2)
	:: d_step { top < CHANGES && (members[top] & dead) && (members[top] & ~dead) -> forced = forced | (1 << (top + 1)); record(members[top] & ~dead) }
#endif
#ifdef PLATFORM_WRONG
	:: d_step { top < CHANGES && members[top] > 1 && !PROVED -> forced = forced | (1 << (top + 1)); record(members[top] & 1) }
#endif
#ifdef UNCHECKED
	FREEZE(0) FREEZE(1) FREEZE(2)
#endif
	od
}

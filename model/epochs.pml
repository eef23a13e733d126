/*
 * Membership epochs and the leases in them.
 *
 * There is one range; its holder in an epoch is the highest member. A VM may
 * take no step for any number of ticks, which models one that is frozen,
 * unreachable or slow. An acknowledgement in flight arrives at any time or
 * never. A log that takes no record models an outage. Times are remaining
 * ticks.
 *
 * An acknowledgement is sent at the instant of its ping, since a later one
 * would only shorten the lease. Its arrival may be late.
 *
 * FORCED adds crashes of VMs, and records that remove members without proof.
 * Assumption about the platform: a VM that is removed without proof runs no
 * longer. PLATFORM_WRONG drops the assumption.
 *
 * Negative controls, each of which must violate the assertion:
 *   NO_WAIT         a new holder does not wait for the end of other leases
 *   FROM_ARRIVAL    a lease counts from the arrival of an acknowledgement
 *   LOWER_EPOCH     a member acknowledges pings of epochs below its own
 *   TWO_MEMBERS     a record may change two members
 *   NO_PROOF        a record needs no proof that a quorum adopted the epoch
 *                   before it
 *   UNCHECKED       no time passes for a frozen VM, so that it acts on a lease
 *                   that has ended
 *   CARRY_FAR       a VM keeps the range without a wait over several epochs,
 *                   and into an epoch that began without proof
 *   PLATFORM_WRONG  a record removes members that still run
 */

#ifndef N
#define N 4 /* VMs */
#endif
#ifndef CHANGES
#define CHANGES 2 /* records after the first epoch */
#endif
#ifndef FIRST_MEMBERS
#define FIRST_MEMBERS 7 /* members of the first epoch, one bit each */
#endif
#include "lease.pml"

#define HOLDER(set) (HAS(set, 3) -> 3 : (HAS(set, 2) -> 2 : (HAS(set, 1) -> 1 : 0)))
#define HOLDS(v) (HAS(MEMBERS(v), v) && HOLDER(MEMBERS(v)) == (v))
#define ACTIVE(v) (!HAS(crashed, v) && ((HAS(quorate, v) && takeoverWait[v] == 0 && LEASED(v, 1)) || (oldLease[v] > 0 && oldWait[v] == 0)))
#if N == 3
#define ACTIVE_COUNT (ACTIVE(0) + ACTIVE(1) + ACTIVE(2))
#else
#define ACTIVE_COUNT (ACTIVE(0) + ACTIVE(1) + ACTIVE(2) + ACTIVE(3))
#endif
#ifdef LOWER_EPOCH
#define ACKNOWLEDGES(m, v) (epoch[m] >= epoch[v])
#else
#define ACKNOWLEDGES(m, v) (epoch[m] == epoch[v])
#endif

byte forced;  /* epochs that began without proof, one bit each */
byte crashed; /* VMs whose process has ended */
byte frozen;  /* frozen VMs, with UNCHECKED only */

inline checkInvariant() {
	assert(ACTIVE_COUNT <= 1)
}

/* The first quorum of an epoch, as in Participant.RefreshLease and retainRanges:
 * a VM that may act by the epoch directly before keeps the range without a wait,
 * unless this epoch began without proof. */
inline reachQuorum(v) {
	if
	:: HOLDS(v) && !HAS(quorate, v) && LEASED(v, 1) ->
		quorate = quorate | (1 << v);
		if
#ifdef CARRY_FAR
		:: oldLease[v] > 0 && oldWait[v] == 0 -> takeoverWait[v] = 0
#else
		:: oldLease[v] > 0 && oldWait[v] == 0 && oldEpoch[v] + 1 == epoch[v] && !HAS(forced, epoch[v]) -> takeoverWait[v] = 0
#endif
		:: else -> takeoverWait[v] = WAIT
		fi;
		oldLease[v] = 0; oldWait[v] = 0; oldEpoch[v] = 0
	:: else
	fi
}

/* Adopts epoch e, as Participant.Apply and Participant.Adopt do. */
inline adopt(v, e) {
	if
	:: HAS(quorate, v) ->
		oldLease[v] = 0;
		t = 1;
		do
		:: t <= L && LEASED(v, t) -> oldLease[v] = t; t++
		:: else -> break
		od;
		oldWait[v] = takeoverWait[v];
		oldEpoch[v] = epoch[v]
	:: else
	fi;
	epoch[v] = e; /* e must not be used below: it may be an expression of epoch[v] */
	quorate = quorate & ~(1 << v);
	takeoverWait[v] = 0;
	i = 0;
	do
	:: i < N -> ackInFlight[PAIR(v, i)] = 0; acked[PAIR(v, i)] = 0; i++
	:: else -> break
	od;
	i = 0; t = 0;
	if
	:: !HAS(MEMBERS(v), v) -> oldLease[v] = 0; oldWait[v] = 0
	:: else
	fi;
	dropExpired(v);
	reachQuorum(v);
	checkInvariant()
}

/* Appends a record that begins the next epoch, as in Roster.Next. */
inline appendRecord(set) {
	members[latest + 1] = set;
	latest++
}

inline receiveAck(v, m) {
#ifdef FROM_ARRIVAL
	acked[PAIR(v, m)] = L;
#else
	acked[PAIR(v, m)] = (acked[PAIR(v, m)] > ackInFlight[PAIR(v, m)] -> acked[PAIR(v, m)] : ackInFlight[PAIR(v, m)]);
#endif
	ackInFlight[PAIR(v, m)] = 0;
	reachQuorum(v);
	checkInvariant()
}

inline tick() {
	i = 0;
	do
	:: i < N ->
		if
		:: HAS(frozen, i)
		:: else ->
			countDown(takeoverWait[i]);
			countDown(oldLease[i]);
			countDown(oldWait[i]);
			dropExpired(i);
			t = 0;
			do
			:: t < N ->
				countDown(acked[PAIR(i, t)]);
#ifndef FROM_ARRIVAL
				countDown(ackInFlight[PAIR(i, t)]);
#endif
				t++
			:: else -> break
			od
		fi;
		i++
	:: else -> break
	od;
	i = 0; t = 0;
	checkInvariant()
}

#define RUNNING(v) (!HAS(crashed, v) && !HAS(frozen, v))

#define ACK(v, m) \
	:: d_step { RUNNING(v) && RUNNING(m) && HOLDS(v) && HAS(MEMBERS(v), m) && ACKNOWLEDGES(m, v) && \
		ackInFlight[PAIR(v, m)] < L && acked[PAIR(v, m)] < L -> ackInFlight[PAIR(v, m)] = L } \
	:: d_step { RUNNING(v) && ackInFlight[PAIR(v, m)] > 0 -> receiveAck(v, m) }

#define ADOPT(v) \
	:: d_step { RUNNING(v) && epoch[v] + 1 <= latest -> adopt(v, epoch[v] + 1) } \
	:: d_step { RUNNING(v) && epoch[v] + 2 <= latest -> adopt(v, epoch[v] + 2) }

#define CHANGE_ONE(v) \
	:: d_step { latest < CHANGES && PROVED && members[latest] != (1 << v) && (!HAS(crashed, v) || HAS(members[latest], v)) -> appendRecord(members[latest] ^ (1 << v)) }

#define CHANGE_TWO(v, m) \
	:: d_step { latest < CHANGES && PROVED && (members[latest] ^ (1 << v) ^ (1 << m)) != 0 -> appendRecord(members[latest] ^ (1 << v) ^ (1 << m)) }

#define CRASH(v) \
	:: d_step { !HAS(crashed, v) && (crashed | (1 << v)) != (1 << N) - 1 -> crashed = crashed | (1 << v); quorate = quorate & ~(1 << v); \
		takeoverWait[v] = 0; oldLease[v] = 0; oldWait[v] = 0; oldEpoch[v] = 0; \
		ackInFlight[PAIR(v, 0)] = 0; ackInFlight[PAIR(v, 1)] = 0; ackInFlight[PAIR(v, 2)] = 0; \
		acked[PAIR(v, 0)] = 0; acked[PAIR(v, 1)] = 0; acked[PAIR(v, 2)] = 0 }

#define FREEZE(v) \
	:: d_step { !HAS(frozen, v) -> frozen = frozen | (1 << v) } \
	:: d_step { HAS(frozen, v) -> frozen = frozen & ~(1 << v) }

init {
	members[0] = FIRST_MEMBERS;
	do
	:: d_step { true -> tick() }
	ACK(0, 1) ACK(0, 2) ACK(1, 0) ACK(1, 2) ACK(2, 0) ACK(2, 1)
	ADOPT(0) ADOPT(1) ADOPT(2)
	CHANGE_ONE(0) CHANGE_ONE(1) CHANGE_ONE(2)
#if N > 3
	ACK(0, 3) ACK(1, 3) ACK(2, 3) ACK(3, 0) ACK(3, 1) ACK(3, 2)
	ADOPT(3)
	CHANGE_ONE(3)
#endif
#ifdef TWO_MEMBERS
	CHANGE_TWO(0, 1) CHANGE_TWO(0, 2) CHANGE_TWO(1, 2)
#if N > 3
	CHANGE_TWO(0, 3) CHANGE_TWO(1, 3) CHANGE_TWO(2, 3)
#endif
#endif
#ifdef FORCED
	CRASH(0) CRASH(1) CRASH(2)
	:: d_step { latest < CHANGES && (members[latest] & crashed) && (members[latest] & ~crashed) -> forced = forced | (1 << (latest + 1)); appendRecord(members[latest] & ~crashed) }
#endif
#ifdef PLATFORM_WRONG
	:: d_step { latest < CHANGES && members[latest] > 1 && !PROVED -> forced = forced | (1 << (latest + 1)); appendRecord(members[latest] & 1) }
#endif
#ifdef UNCHECKED
	FREEZE(0) FREEZE(1) FREEZE(2)
#endif
	od
}

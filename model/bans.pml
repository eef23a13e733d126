/*
 * Bans and resignations: how a range passes to the next member while the log
 * takes no record, and who holds it in the next epoch.
 *
 * There are three VMs and one range, whose order is the highest member first.
 * As in epochs.pml, a VM that takes no step models one that is frozen or
 * unreachable, an acknowledgement in flight arrives at any time or never, and
 * times are remaining ticks. A member is banned once a quorum has promised to
 * ban it. A member may promise a ban at any time, since safety does not depend
 * on when it does. A VM learns of a ban at any time after a quorum of its epoch
 * promised it, and of a resignation at any time after the member announced it.
 *
 * RESIGNING adds resignations. ONE_BAN leaves out the steps that matter only
 * if two members are banned; VM 0, the last in order, then needs no lease.
 *
 * Negative controls, each of which must violate the assertion:
 *   NO_WAIT        a new holder does not wait for the end of other leases
 *   BAN_IGNORED    a member acknowledges pings of a VM that it promised to ban
 *   NO_BAN_WAIT    a VM takes over as soon as it learns of a ban
 *   CARRY_TAINTED  a VM keeps the range into the next epoch although a quorum
 *                  may have banned it in the epoch before
 *   RESIGN_LATE    a VM announces its resignation before it stops acting
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

/* PROMISES: the VMs that member m has promised to ban in epoch e. */
#define PROMISES(e, m) promised[(e) * N + (m)]
#define HAS_PROMISED(e, m, x) (HAS(members[e], m) && HAS(PROMISES(e, m), x))
#define BANNED(e, x) ((HAS_PROMISED(e, 0, x) + HAS_PROMISED(e, 1, x) + HAS_PROMISED(e, 2, x)) >= QUORUM(members[e]))

/* BLOCKS: member x precedes v in order, and v knows of neither its resignation
 * nor its ban. */
#define BLOCKS(v, x) ((x) > (v) && HAS(MEMBERS(v), x) && !HAS(knownResigned[v], x) && !HAS(knownBan[v], x))
#define UNBLOCKED(v) (!BLOCKS(v, 1) && !BLOCKS(v, 2))
/* ALL_BEFORE_RESIGNED: v knows that every member before it in order resigned. */
#define UNRESIGNED_BEFORE(v, x) ((x) > (v) && HAS(MEMBERS(v), x) && !HAS(knownResigned[v], x))
#define ALL_BEFORE_RESIGNED(v) (!UNRESIGNED_BEFORE(v, 1) && !UNRESIGNED_BEFORE(v, 2))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define REMAINING_WAIT(v) MAX(takeoverWait[v], MAX(banWait[PAIR(v, 1)], banWait[PAIR(v, 2)]))
#define HOLDS_IN_EPOCH(v) (HAS(quorate, v) && LEASED(v, 1) && UNBLOCKED(v) && REMAINING_WAIT(v) == 0)
#define ACTIVE(v) (!HAS(inactive, v) && (HOLDS_IN_EPOCH(v) || (oldLease[v] > 0 && oldWait[v] == 0)))

/* MAY_HAVE_BEEN_BANNED: for all that v knows, a quorum of the epoch before may
 * have banned v there. */
#define MAY_HAVE_PROMISED(v, m) (HAS(members[epoch[v] - 1], m) && !HAS(untainted[v], m))
#define MAY_HAVE_BEEN_BANNED(v) (HAS(tainted, v) && (MAY_HAVE_PROMISED(v, 0) + MAY_HAVE_PROMISED(v, 1) + MAY_HAVE_PROMISED(v, 2)) >= QUORUM(members[epoch[v] - 1]))

byte promised[(CHANGES + 1) * N];
byte knownBan[N];
byte banWait[N * N]; /* ticks until v may take over from the banned member */
byte tainted; /* VMs acknowledged by a member that promised to ban them in the epoch before */
byte untainted[N]; /* members that told v that they made no such promise */

byte resigned; /* VMs that have announced their resignation */
byte inactive; /* VMs that no longer act as holder */
byte knownResigned[N]; /* resigned members that v knows of */

inline checkInvariant() {
	assert(ACTIVE(0) + ACTIVE(1) + ACTIVE(2) <= 1)
}

/* The first quorum of an epoch, as in Participant.RefreshLease and retainRanges:
 * a VM that may act by the epoch directly before keeps the range without a wait
 * if every member before it in order resigned. While a quorum may have banned it
 * in that epoch, the first quorum is delayed. */
inline reachQuorum(v) {
	if
#ifdef CARRY_TAINTED
	:: !HAS(quorate, v) && LEASED(v, 1) ->
#else
	:: !HAS(quorate, v) && LEASED(v, 1) && !(oldLease[v] > 0 && MAY_HAVE_BEEN_BANNED(v)) ->
#endif
		quorate = quorate | (1 << v);
		takeoverWait[v] = WAIT;
		if
		:: oldLease[v] > 0 && oldWait[v] == 0 && oldEpoch[v] + 1 == epoch[v] && ALL_BEFORE_RESIGNED(v) -> takeoverWait[v] = 0
		:: else
		fi;
		oldLease[v] = 0; oldWait[v] = 0; oldEpoch[v] = 0
	:: else
	fi
}

/* Adopts the next epoch, as Participant.Apply and Participant.Adopt do. */
inline adopt(v) {
	if
	:: HAS(quorate, v) ->
		oldLease[v] = 0;
		t = 1;
		do
		:: t <= L && LEASED(v, t) && UNBLOCKED(v) -> oldLease[v] = t; t++
		:: else -> break
		od;
		oldWait[v] = REMAINING_WAIT(v);
		oldEpoch[v] = epoch[v]
	:: else
	fi;
	epoch[v] = epoch[v] + 1;
	quorate = quorate & ~(1 << v);
	tainted = tainted & ~(1 << v);
	untainted[v] = 1 << v;
	knownBan[v] = 0;
	takeoverWait[v] = 0;
	i = 0;
	do
	:: i < N -> ackInFlight[PAIR(v, i)] = 0; acked[PAIR(v, i)] = 0; banWait[PAIR(v, i)] = 0; i++
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

inline receiveAck(v, m) {
	acked[PAIR(v, m)] = MAX(acked[PAIR(v, m)], ackInFlight[PAIR(v, m)]);
	ackInFlight[PAIR(v, m)] = 0;
	if
	:: epoch[v] == 0
	:: epoch[v] > 0 && !HAS(PROMISES(epoch[v] - 1, m), v) -> untainted[v] = untainted[v] | (1 << m)
	:: else -> tainted = tainted | (1 << v)
	fi;
	reachQuorum(v);
	checkInvariant()
}

inline tick() {
	i = 0;
	do
	:: i < N ->
		countDown(takeoverWait[i]);
		countDown(oldLease[i]);
		countDown(oldWait[i]);
		dropExpired(i);
		t = 0;
		do
		:: t < N ->
			countDown(acked[PAIR(i, t)]);
			countDown(ackInFlight[PAIR(i, t)]);
			countDown(banWait[PAIR(i, t)]);
			t++
		:: else -> break
		od;
		i++
	:: else -> break
	od;
	i = 0; t = 0;
	reachQuorum(0); reachQuorum(1); reachQuorum(2);
	checkInvariant()
}

#ifdef BAN_IGNORED
#define ACKNOWLEDGES(m, v) (epoch[m] == epoch[v])
#else
#define ACKNOWLEDGES(m, v) (epoch[m] == epoch[v] && !HAS(PROMISES(epoch[m], m), v))
#endif

#define ACK(v, m) \
	:: d_step { !HAS(inactive, v) && HAS(MEMBERS(v), v) && HAS(MEMBERS(v), m) && ACKNOWLEDGES(m, v) && \
		ackInFlight[PAIR(v, m)] < L && acked[PAIR(v, m)] < L -> ackInFlight[PAIR(v, m)] = L } \
	:: d_step { ackInFlight[PAIR(v, m)] > 0 -> receiveAck(v, m) }

#define ADOPT(v) \
	:: d_step { epoch[v] < latest -> adopt(v) }

#define CHANGE_ONE(v) \
	:: d_step { latest < CHANGES && PROVED && members[latest] != (1 << v) -> members[latest + 1] = members[latest] ^ (1 << v); latest++ }

#define PROMISE_BAN(m, x) \
	:: d_step { HAS(MEMBERS(m), m) && HAS(MEMBERS(m), x) && !HAS(PROMISES(epoch[m], m), x) -> \
		PROMISES(epoch[m], m) = PROMISES(epoch[m], m) | (1 << x) }

#define LEARN_BAN(v, x) \
	:: d_step { HAS(MEMBERS(v), v) && !HAS(knownBan[v], x) && HAS(MEMBERS(v), x) && BANNED(epoch[v], x) -> \
		knownBan[v] = knownBan[v] | (1 << x); banWait[PAIR(v, x)] = BAN_WAIT; checkInvariant() }

#ifdef RESIGN_LATE
#define RESIGN(v) \
	:: d_step { !HAS(resigned, v) -> resigned = resigned | (1 << v) } \
	:: d_step { HAS(resigned, v) && !HAS(inactive, v) -> inactive = inactive | (1 << v) }
#else
#define RESIGN(v) \
	:: d_step { !HAS(resigned, v) -> resigned = resigned | (1 << v); inactive = inactive | (1 << v) }
#endif

#define LEARN_RESIGNATION(v, x) \
	:: d_step { HAS(resigned, x) && !HAS(knownResigned[v], x) -> knownResigned[v] = knownResigned[v] | (1 << x); checkInvariant() }

init {
	members[0] = 7;
	do
	:: d_step { true -> tick() }
	ACK(1, 0) ACK(1, 2) ACK(2, 0) ACK(2, 1)
	ADOPT(0) ADOPT(1) ADOPT(2)
#if CHANGES > 0
	CHANGE_ONE(0) CHANGE_ONE(1) CHANGE_ONE(2)
	/* A record may begin a new epoch with the same members. */
	:: d_step { latest < CHANGES && PROVED -> members[latest + 1] = members[latest]; latest++ }
#endif
	PROMISE_BAN(0, 2) PROMISE_BAN(1, 2)
	LEARN_BAN(1, 2)
#ifndef ONE_BAN
	ACK(0, 1) ACK(0, 2)
	PROMISE_BAN(0, 1) PROMISE_BAN(2, 1)
	LEARN_BAN(0, 1) LEARN_BAN(0, 2)
#endif
#ifdef RESIGNING
	RESIGN(2)
	LEARN_RESIGNATION(1, 2)
#ifndef ONE_BAN
	RESIGN(1)
	LEARN_RESIGNATION(0, 1) LEARN_RESIGNATION(0, 2)
#endif
#endif
	od
}

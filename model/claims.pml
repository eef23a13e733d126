/* Claims of one idempotency key: the request runs at most once.
 *
 * The caller sends its request to the VM of sender 0 and may repeat it at any
 * time at the VM of sender 1. Two VMs, h=0 and h=1, hold the key's range one
 * after the other. That two holders are never active at once is proved by the
 * models of the membership protocol and assumed here.
 *
 * Faults: the reply to an append is lost, before or after the write; the first
 * holder loses its term at any moment, frozen or crashed; sender 0 crashes; the
 * log goes down once and comes back; any step may be delayed for any time. At
 * most one VM loses its memory, which is what the protocol tolerates.
 *
 * A new holder reads the log and asks the senders. If the log has been up for
 * long enough that every VM has written the granted claims that it remembers
 * (LOG_COMPLETE), a sender may fail to answer. Otherwise every VM but the
 * earlier holder must answer.
 *
 * Negative controls, each of which must give a counterexample:
 *   -DSEND_FIRST   the request is sent before the holder decides
 *   -DNO_READ      a new holder neither reads the log nor asks the senders
 *   -DNO_ASK       a new holder reads the log but does not ask the senders
 *   -DNO_INTENT    a sender remembers a claim only once it is granted
 *   -DNO_READBACK  an append without a reply counts as written
 *   -DNO_RECHECK   the holder does not check its term after the append
 */

/* The states of a sender. */
#define IDLE 0
#define PENDING 1
#define GRANTED 2
#define REFUSED 3
#define CRASHED 4

byte runs = 0;		/* times that the request ran at an upstream */
byte senderState[2];
bit remembers[2];	/* the sender has its claim in memory */
bit granted[2];		/* a holder has granted the claim */
bit logged[2];		/* the claim is in the log */
bit assumedLogged[2];	/* the VMs that remember the claim take it as logged */
bit ledger0[2];		/* holder 0 knows of the claim */
bit ledger1[2];		/* holder 1 knows of the claim */
byte holder = 0;	/* the VM that holds the range */
bit complete1 = 0;	/* holder 1 has finished its takeover and may decide */
bit crashed0 = 0;	/* holder 0 has crashed and lost its memory */
bit logUp = 1;		/* the log is available */
bit outageLeft = 1;	/* a log outage may still begin */
byte lossesLeft = 2;	/* replies to appends that may still be lost */
bit crashLeft = 1;	/* a VM may still crash */

/* NOT_MEMORY_ONLY: neither sender s nor holder 0 remembers a granted claim of s
 * that is not taken as logged. */
#define NOT_MEMORY_ONLY(s) (assumedLogged[s] || !granted[s] || !(remembers[s] || (ledger0[s] && !crashed0)))
#define LOG_COMPLETE (logUp && NOT_MEMORY_ONLY(0) && NOT_MEMORY_ONLY(1))

proctype sender(byte s)
{
	atomic {
		senderState[s] == IDLE ->
#ifndef NO_INTENT
		remembers[s] = 1;
#endif
#ifdef SEND_FIRST
		runs++;
#endif
		senderState[s] = PENDING
	}
	if
	:: atomic { senderState[s] == GRANTED ->
		remembers[s] = 1;
#ifndef SEND_FIRST
		runs++;
#endif
		assert(runs <= 1)
	   }
	:: atomic { senderState[s] == REFUSED -> remembers[s] = 0 }
	:: atomic { senderState[s] == CRASHED -> skip }
	fi
}

/* Tells a waiting sender that its claim is refused. */
inline refuse(s)
{
	if
	:: senderState[s] == PENDING -> senderState[s] = REFUSED
	:: else
	fi
}

/* Grants a claim and tells its sender if that one waits. */
inline grant(s)
{
	granted[s] = 1;
	if
	:: senderState[s] == PENDING -> senderState[s] = GRANTED
	:: else
	fi
}

#define ACTIVE(h) (holder == h && (h == 0 || complete1) && !(h == 0 && crashed0))

/* Holder h decides once about the claim of sender s. */
proctype decide(byte h; byte s)
{
	atomic {
		senderState[s] == PENDING && ACTIVE(h) ->
		if
		:: h == 0 && ledger0[1 - s] -> refuse(s); goto done
		:: h == 1 && ledger1[1 - s] -> refuse(s); goto done
		:: h == 0 && !ledger0[1 - s] -> ledger0[s] = 1
		:: h == 1 && !ledger1[1 - s] -> ledger1[s] = 1
		fi
	}
append:
	if
	:: atomic { logUp -> logged[s] = 1; assumedLogged[s] = 1 }
	:: atomic { logUp && lossesLeft > 0 -> lossesLeft--; logged[s] = 1 }
		goto appendUnknown
	:: atomic { logUp && lossesLeft > 0 -> lossesLeft-- }
		goto appendUnknown
	:: atomic { !logUp -> skip }
	fi;
	goto reply;
appendUnknown:
#ifdef NO_READBACK
	assumedLogged[s] = 1;
	goto reply;
#else
	/* Read the log back: the claim was written, it was not, or the log is down. */
	if
	:: atomic { logUp && logged[s] -> assumedLogged[s] = 1; goto reply }
	:: atomic { logUp && !logged[s] -> goto append }
	:: atomic { !logUp -> goto reply }
	fi;
#endif
reply:
	atomic {
		if
		:: h == 0 && crashed0 -> skip
#ifdef NO_RECHECK
		:: !(h == 0 && crashed0) -> grant(s)
#else
		:: ACTIVE(h) -> grant(s)
		:: !ACTIVE(h) && !(h == 0 && crashed0) -> skip
#endif
		fi
	}
done:
	skip
}

/* Holder 1 reads the log and asks the senders before it decides in its term. */
proctype takeover()
{
	byte s = 0;

end:
	atomic {
		holder == 1 && (LOG_COMPLETE || (senderState[0] != CRASHED && senderState[1] != CRASHED)) ->
#ifndef NO_READ
		do
		:: s < 2 ->
			if
			:: logUp && logged[s] -> ledger1[s] = 1
			:: else
			fi;
#ifndef NO_ASK
			if
			:: remembers[s] -> ledger1[s] = 1
			:: LOG_COMPLETE -> skip	/* no answer */
			:: !remembers[s] -> skip
			fi;
			/* The earlier holder may answer or not. */
			if
			:: ledger0[s] && !crashed0 -> ledger1[s] = 1
			:: true -> skip
			fi;
#endif
			s++
		:: else -> break
		od;
#endif
		complete1 = 1
	}
}

/* VMs that remember a granted claim write it once the log is up. */
proctype flush(byte s)
{
end:
	do
	:: atomic { logUp && !assumedLogged[s] && granted[s] && (remembers[s] || (ledger0[s] && !crashed0) || ledger1[s]) -> logged[s] = 1; assumedLogged[s] = 1 }
	od
}

proctype faults()
{
end:
	do
	:: atomic { holder == 0 -> holder = 1 }
	:: atomic { holder == 0 && crashLeft -> crashLeft = 0; crashed0 = 1; ledger0[0] = 0; ledger0[1] = 0; holder = 1 }
	:: atomic { crashLeft && senderState[0] != CRASHED -> crashLeft = 0; senderState[0] = CRASHED; remembers[0] = 0 }
	:: atomic { logUp && outageLeft -> logUp = 0; outageLeft = 0 }
	:: atomic { !logUp -> logUp = 1 }
	od
}

init
{
	atomic {
		run sender(0); run sender(1);
		run decide(0, 0); run decide(0, 1); run decide(1, 0); run decide(1, 1);
		run takeover(); run flush(0); run flush(1); run faults()
	}
}

/* Claims of one idempotency key: the request runs at most once.
 *
 * The caller sends its request to VM s=0 and repeats it at VM s=1 whenever it
 * likes. Two VMs hold the key's range one after the other, h=0 and h=1. That
 * there are never two active holders is proved by the model of the core
 * protocol and taken for granted here.
 *
 * Faults: the answer to an append is lost after the write or before it; the
 * first holder loses its term at any moment, frozen or dead; a sender dies;
 * the log goes down and comes back; every step may come as late as it likes.
 * Memory is lost by at most one VM, which is what the protocol covers.
 *
 * A new holder reads the log and asks the senders. If the log has been up for
 * long enough (settled: all who remember a granted claim have written it), a
 * sender may stay silent; else all must answer but the earlier holder.
 *
 * Controls, each of which must give a counterexample:
 *   -DSEND_FIRST   the request is sent before the decision
 *   -DNO_READ      a new holder neither reads the log nor asks
 *   -DNO_ASK       a new holder reads the log only
 *   -DNO_INTENT    a sender remembers a claim only once it is granted
 *   -DNO_READBACK  an append without an answer counts as written
 *   -DNO_RECHECK   the holder does not look at its term after the append
 */

/* Where a sender stands. */
#define IDLE 0
#define ASKED 1
#define GRANTED 2
#define REFUSED 3
#define DEAD 4

byte runs = 0;		/* runs of the request at upstreams */
byte stage[2];		/* where each sender stands */
bit remembers[2];	/* the sender has its claim in memory */
bit granted[2];		/* a holder has granted the claim */
bit logged[2];		/* the claim stands in the log */
bit believed[2];	/* those who remember the claim take it as logged */
bit knows0[2];		/* what holder 0 knows */
bit knows1[2];		/* what holder 1 knows */
byte holder = 0;	/* the one that holds the range */
bit covered1 = 0;	/* holder 1 has completed its knowledge */
bit dead0 = 0;		/* holder 0 has lost its memory */
bit up = 1;		/* the log answers */
bit outage = 1;		/* an outage may still come */
byte lost = 2;		/* append answers that may still be lost */
bit death = 1;		/* a VM may still die */

#define SAFE(s) (believed[s] || !granted[s] || !(remembers[s] || (knows0[s] && !dead0)))
#define SETTLED (up && SAFE(0) && SAFE(1))

proctype sender(byte s)
{
	atomic {
		stage[s] == IDLE ->
#ifndef NO_INTENT
		remembers[s] = 1;
#endif
#ifdef SEND_FIRST
		runs++;
#endif
		stage[s] = ASKED
	}
	if
	:: atomic { stage[s] == GRANTED ->
		remembers[s] = 1;
#ifndef SEND_FIRST
		runs++;
#endif
		assert(runs <= 1)
	   }
	:: atomic { stage[s] == REFUSED -> remembers[s] = 0 }
	:: atomic { stage[s] == DEAD -> skip }
	fi
}

/* The answer to a claim that is not granted. */
inline refuse(s)
{
	if
	:: stage[s] == ASKED -> stage[s] = REFUSED
	:: else
	fi
}

/* The answer to a claim that is granted. */
inline grant(s)
{
	granted[s] = 1;
	if
	:: stage[s] == ASKED -> stage[s] = GRANTED
	:: else
	fi
}

#define ACTIVE(h) (holder == h && (h == 0 || covered1) && !(h == 0 && dead0))

/* One decision of holder h about the claim of sender s. */
proctype decide(byte h; byte s)
{
	atomic {
		stage[s] == ASKED && ACTIVE(h) ->
		if
		:: h == 0 && knows0[1 - s] -> refuse(s); goto done
		:: h == 1 && knows1[1 - s] -> refuse(s); goto done
		:: h == 0 && !knows0[1 - s] -> knows0[s] = 1
		:: h == 1 && !knows1[1 - s] -> knows1[s] = 1
		fi
	}
write:
	if
	:: atomic { up -> logged[s] = 1; believed[s] = 1 }
	:: atomic { up && lost > 0 -> lost--; logged[s] = 1 }
		goto unanswered
	:: atomic { up && lost > 0 -> lost-- }
		goto unanswered
	:: atomic { !up -> skip }
	fi;
	goto answer;
unanswered:
#ifdef NO_READBACK
	believed[s] = 1;
	goto answer;
#else
	/* Read back: written, not written, or the log is down by now. */
	if
	:: atomic { up && logged[s] -> believed[s] = 1; goto answer }
	:: atomic { up && !logged[s] -> goto write }
	:: atomic { !up -> goto answer }
	fi;
#endif
answer:
	atomic {
		if
		:: h == 0 && dead0 -> skip
#ifdef NO_RECHECK
		:: !(h == 0 && dead0) -> grant(s)
#else
		:: ACTIVE(h) -> grant(s)
		:: !ACTIVE(h) && !(h == 0 && dead0) -> skip
#endif
		fi
	}
done:
	skip
}

/* Holder 1 completes its knowledge in its term. */
proctype takeover()
{
	byte s = 0;

end:
	atomic {
		holder == 1 && (SETTLED || (stage[0] != DEAD && stage[1] != DEAD)) ->
#ifndef NO_READ
		do
		:: s < 2 ->
			if
			:: up && logged[s] -> knows1[s] = 1
			:: else
			fi;
#ifndef NO_ASK
			if
			:: remembers[s] -> knows1[s] = 1
			:: SETTLED -> skip	/* silent */
			:: !remembers[s] -> skip
			fi;
			/* The earlier holder answers, unless it is the silent one. */
			if
			:: knows0[s] && !dead0 -> knows1[s] = 1
			:: true -> skip
			fi;
#endif
			s++
		:: else -> break
		od;
#endif
		covered1 = 1
	}
}

/* Those who remember a granted claim write it when the log is back. */
proctype flush(byte s)
{
end:
	do
	:: atomic { up && !believed[s] && granted[s] && (remembers[s] || (knows0[s] && !dead0) || knows1[s]) -> logged[s] = 1; believed[s] = 1 }
	od
}

proctype faults()
{
end:
	do
	:: atomic { holder == 0 -> holder = 1 }
	:: atomic { holder == 0 && death -> death = 0; dead0 = 1; knows0[0] = 0; knows0[1] = 0; holder = 1 }
	:: atomic { death && stage[0] != DEAD -> death = 0; stage[0] = DEAD; remembers[0] = 0 }
	:: atomic { up && outage -> up = 0; outage = 0 }
	:: atomic { !up -> up = 1 }
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

package borrower

import (
	"slices"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Requeue makes a request wait again whose token has expired before it was used. A
// stall of the process lets that happen to a team within its rate, so the request
// keeps its place in the order of arrival, also beyond maxWaiters, and the time limit
// of the wait for tokens starts again.
func (l *Limiter) Requeue(now timer.Instant, w *Waiter) {
	w.requeuedAt = now
	i := slices.IndexFunc(l.waiters, func(v *Waiter) bool { return v.since.After(w.since) })
	if i < 0 {
		i = len(l.waiters)
	}
	l.waiters = slices.Insert(l.waiters, i, w)
}

// refuseWaiters refuses the requests whose waiting time is over. While the
// holders of all slots are in backoff, it also refuses those that cannot get a
// token in time.
func (l *Limiter) refuseWaiters(now timer.Instant) {
	backingOff := !l.callInFlight()
	next := l.nextAttempt(now)
	kept := l.waiters[:0]
	for i, w := range l.waiters {
		limit := l.waitLimit(w)
		expected := next.Add(l.timeFor(i))
		if !limit.After(now) || backingOff && expected.After(limit) {
			w.verdict <- Verdict{
				holderUnreachable: l.holderUnreachable(),
				retryAfter:        max(l.timeFor(1), expected.Sub(now)),
			}

			continue
		}
		kept = append(kept, w)
	}
	clear(l.waiters[len(kept):])
	l.waiters = kept
}

// timeFor returns the time in which the team's rate allows n requests.
func (l *Limiter) timeFor(n int) time.Duration {
	return time.Duration(float64(n) / (l.limits.Rate() * float64(len(l.slots))) * float64(time.Second))
}

// nextAttempt returns the earliest instant at which a holder is out of backoff.
func (l *Limiter) nextAttempt(now timer.Instant) timer.Instant {
	first := l.slots[0].backoffUntil
	for i := range l.slots {
		if l.slots[i].backoffUntil.Before(first) {
			first = l.slots[i].backoffUntil
		}
	}

	return max(now, first)
}

// waitLimit returns the instant at which a request is refused at the latest. A
// new holder starts without tokens, so the time limit of the wait for tokens
// starts again once no holder is unreachable.
func (l *Limiter) waitLimit(w *Waiter) timer.Instant {
	if l.holderUnreachable() {
		return min(w.until, w.since.Add(maxUnreachableWait))
	}

	return min(w.until, max(w.since, w.requeuedAt, l.lastUnreachable).Add(l.emptyWait()))
}

// emptyWait returns how long a request waits while the holders have no tokens.
func (l *Limiter) emptyWait() time.Duration {
	return min(maxEmptyWait, max(minEmptyWait, l.timeFor(emptyWaitTokens)))
}

// holderUnreachable reports whether, for at least one slot, the last call reached no
// active holder.
func (l *Limiter) holderUnreachable() bool {
	for i := range l.slots {
		if l.slots[i].holderUnreachable {
			return true
		}
	}

	return false
}

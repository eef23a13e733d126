// Package borrower limits the request rate of each team on this VM. It admits
// requests with tokens that the holders of the team's slots grant to this VM.
package borrower

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/granter"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// hedgeDelay is the time without a reply after which the next holder is
	// asked as well.
	hedgeDelay = 40 * time.Millisecond
	// minEmptyBackoff and maxEmptyBackoff bound the delay before the next call
	// to a holder that granted fewer tokens than the waiting requests need.
	minEmptyBackoff = 10 * time.Millisecond
	maxEmptyBackoff = 150 * time.Millisecond
	// spareBackoff is the delay before the next call for spare tokens alone to
	// a holder that granted fewer tokens than requested.
	spareBackoff = 100 * time.Millisecond
	// notHolderBackoff is the delay after a VM replied that it is not the
	// active holder of the slot or does not know the slot.
	notHolderBackoff = 50 * time.Millisecond
	// failureBackoff is the delay after a call failed.
	failureBackoff = 300 * time.Millisecond
	// minEmptyWait and maxEmptyWait bound how long a request waits while the
	// holders have no tokens. Between these bounds it waits for the time in
	// which the team's rate allows emptyWaitTokens requests.
	minEmptyWait    = 250 * time.Millisecond
	maxEmptyWait    = 2 * time.Second
	emptyWaitTokens = 4
	// maxUnreachableWait bounds how long a request waits while the holder of a slot
	// is unreachable.
	maxUnreachableWait = 5 * time.Second
	// maxWaiters bounds the number of a team's requests that wait on this VM.
	maxWaiters = 256
	// prefetchShare is the part of a token's lifetime for which the tokens
	// held in advance should meet the demand.
	prefetchShare = 0.5
)

// Call describes a call to the holder of a slot that the caller of Step must make.
type Call struct {
	slot   int
	needed int
	spare  int
	// decidedAt is when Step returned the call; the lifetime of the granted
	// tokens counts from it.
	decidedAt timer.Instant
}

// Slot returns the number of the slot.
func (c Call) Slot() int { return c.slot }

// Needed returns the number of requests that wait for a token.
func (c Call) Needed() int { return c.needed }

// Spare returns the number of tokens requested beyond the needed ones.
func (c Call) Spare() int { return c.spare }

// Limiter decides for one team on one VM which requests are admitted and which
// holders are asked for tokens. It does no I/O and is not safe for concurrent
// use.
type Limiter struct {
	limits granter.SlotLimits
	// slots has one entry per slot of the team.
	slots []slot
	// ranking has the numbers of all slots in the order in which their holders
	// are asked.
	ranking []int
	// waiters are in order of arrival.
	waiters []*Waiter
	demand  demand
	// lastUnreachable is when the latest call that reached no active holder ended.
	lastUnreachable timer.Instant
}

// NewLimiter returns a limiter without tokens.
func NewLimiter(t *manifester.Team) *Limiter {
	l := &Limiter{}
	l.Configure(t)

	return l
}

// Slots returns the number of slots.
func (l *Limiter) Slots() int { return len(l.slots) }

// Waiting returns the number of requests that wait for a token.
func (l *Limiter) Waiting() int { return len(l.waiters) }

// Configure applies the team's limits. It drops the tokens of slots that no
// longer exist, and resets the ranking if the number of slots changes.
func (l *Limiter) Configure(t *manifester.Team) {
	l.limits = granter.SlotLimitsOf(t)
	if len(l.slots) == l.limits.Slots() {
		return
	}
	slots := make([]slot, l.limits.Slots())
	copy(slots, l.slots)
	l.slots = slots
	l.ranking = make([]int, len(slots))
	for i := range l.ranking {
		l.ranking[i] = i
	}
}

// Rank sets the order in which holders are asked. It ends the backoff of slots
// whose holder was unreachable, since a change of the membership may have given
// them another one.
// It ignores a ranking whose length is not the number of slots.
func (l *Limiter) Rank(ranking []int) {
	if len(ranking) == len(l.slots) {
		l.ranking = ranking
	}
	for i := range l.slots {
		if l.slots[i].holderUnreachable {
			l.slots[i].backoffUntil = 0
		}
	}
}

// TryAdmit counts a request towards the demand and admits it if a token is
// available and no earlier request waits.
func (l *Limiter) TryAdmit(now timer.Instant) bool {
	l.demand.record(now)
	l.expire(now)
	if len(l.waiters) > 0 {
		return false
	}
	_, ok := l.takeToken()

	return ok
}

// Enqueue adds a request to those that wait for a token, until the given instant
// at the latest. It returns false if maxWaiters requests wait already.
func (l *Limiter) Enqueue(now, until timer.Instant) (*Waiter, bool) {
	if len(l.waiters) >= maxWaiters {
		return nil, false
	}
	w := &Waiter{
		since:   now,
		until:   until,
		verdict: make(chan Verdict, 1),
	}
	l.waiters = append(l.waiters, w)

	return w, true
}

// Cancel removes a waiter that no longer needs a token. It sends no verdict.
func (l *Limiter) Cancel(w *Waiter) {
	for i, v := range l.waiters {
		if v == w {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)

			return
		}
	}
}

// Step gives tokens to waiting requests, refuses those that cannot get one in
// time, and returns the call to be made now, if any. The outcome of every call
// must be passed to HandleReply or HandleFailure.
func (l *Limiter) Step(now timer.Instant) (Call, bool) {
	l.expire(now)
	l.admitWaiters()
	c, ok := l.nextCall(now)
	l.refuseWaiters(now)

	return c, ok
}

// HandleReply records the holder's reply to a call.
func (l *Limiter) HandleReply(now timer.Instant, c Call, r granter.Reply) {
	if c.slot >= len(l.slots) {
		return
	}
	s := &l.slots[c.slot]
	s.inFlight = false
	s.holderUnreachable = r.State() != granter.StateGranted
	if s.holderUnreachable {
		l.lastUnreachable = now
		s.backoffUntil = now.Add(notHolderBackoff)

		return
	}
	if r.Tokens() < c.needed+c.spare {
		s.spareBackoffUntil = now.Add(spareBackoff)
	}
	if r.Tokens() < c.needed {
		s.backOff(now, r.Wait())
	}
	if r.Tokens() > 0 {
		s.backoff = 0
		s.grants = append(s.grants, grant{
			tokens:  r.Tokens(),
			expires: c.decidedAt.Add(r.Lifetime()),
		})
	}
}

// HandleFailure records that a call had no reply.
func (l *Limiter) HandleFailure(now timer.Instant, c Call) {
	if c.slot >= len(l.slots) {
		return
	}
	s := &l.slots[c.slot]
	s.inFlight = false
	s.holderUnreachable = true
	l.lastUnreachable = now
	s.backoffUntil = now.Add(failureBackoff)
}

// NextWake returns the instant by which Step must be called again while requests
// wait, even if no other event occurs before.
func (l *Limiter) NextWake(now timer.Instant) timer.Instant {
	next := now.Add(maxEmptyBackoff)
	for i := range l.slots {
		s := &l.slots[i]
		if s.inFlight {
			next = earliest(now, next, s.decidedAt.Add(hedgeDelay))

			continue
		}
		next = earliest(now, next, s.backoffUntil)
	}
	for _, w := range l.waiters {
		next = earliest(now, next, l.waitLimit(w))
	}

	return next
}

// earliest returns t if it lies between now and next, and next otherwise.
func earliest(now, next, t timer.Instant) timer.Instant {
	if t.After(now) && t.Before(next) {
		return t
	}

	return next
}

func (l *Limiter) expire(now timer.Instant) {
	for i := range l.slots {
		l.slots[i].expire(now)
	}
}

// takeToken consumes the available token that expires first and returns its
// expiry.
func (l *Limiter) takeToken() (timer.Instant, bool) {
	var first *slot
	for i := range l.slots {
		s := &l.slots[i]
		if len(s.grants) > 0 && (first == nil || s.grants[0].expires.Before(first.grants[0].expires)) {
			first = s
		}
	}
	if first == nil {
		return 0, false
	}

	return first.takeToken()
}

func (l *Limiter) admitWaiters() {
	for len(l.waiters) > 0 {
		expires, ok := l.takeToken()
		if !ok {
			return
		}
		l.waiters[0].verdict <- Verdict{
			admitted: true,
			expires:  expires,
		}
		l.waiters = l.waiters[1:]
	}
}

// nextCall selects the slot whose holder is asked now, if any. Without waiting
// requests it asks for spare tokens only, once less than half of the wanted
// number is left.
func (l *Limiter) nextCall(now timer.Instant) (Call, bool) {
	wanted := int(l.demand.rateAt(now) * l.limits.Lifetime().Seconds() * prefetchShare)
	needed := len(l.waiters)
	held := l.tokenCount()
	if needed == 0 && (held*2 >= wanted || l.callInFlight()) {
		return Call{}, false
	}
	for _, n := range l.ranking {
		s := &l.slots[n]
		if s.inFlight && now.Sub(s.decidedAt) < hedgeDelay {
			return Call{}, false
		}
		if s.inFlight || s.backoffUntil.After(now) || needed == 0 && s.spareBackoffUntil.After(now) {
			continue
		}
		s.inFlight = true
		s.decidedAt = now

		return Call{
			slot:      n,
			needed:    needed,
			spare:     max(0, wanted-held),
			decidedAt: now,
		}, true
	}

	return Call{}, false
}

func (l *Limiter) tokenCount() int {
	n := 0
	for i := range l.slots {
		n += l.slots[i].tokenCount()
	}

	return n
}

func (l *Limiter) callInFlight() bool {
	for i := range l.slots {
		if l.slots[i].inFlight {
			return true
		}
	}

	return false
}

// Package borrower admits requests with tokens that it borrows from the
// holders of a team's slots.
package borrower

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/granter"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// hedgeDelay is how long one holder is waited for before the next is asked.
	hedgeDelay = 40 * time.Millisecond
	// emptyPause and emptyPauseMax bound the pause before a holder without
	// tokens is asked again.
	emptyPause    = 10 * time.Millisecond
	emptyPauseMax = 150 * time.Millisecond
	// scarcePause is the pause before a holder that gave fewer spare tokens
	// than wished is asked for spare ones alone.
	scarcePause = 100 * time.Millisecond
	// holderPause is the pause after a VM said that it is not the holder.
	holderPause = 50 * time.Millisecond
	// failurePause is the pause after a call failed.
	failurePause = 300 * time.Millisecond
	// emptyWait and emptyWaitMax bound how long a request waits for holders
	// without tokens; in between it is the time of emptyWaitTokens tokens.
	emptyWait       = 250 * time.Millisecond
	emptyWaitMax    = 2 * time.Second
	emptyWaitTokens = 4
	// holderWait bounds how long a request waits while a slot has no holder.
	holderWait = 5 * time.Second
	// maxWaiters bounds the requests of a team that wait on this VM.
	maxWaiters = 256
	// horizonShare is the part of a lot's lifetime that it should last for.
	horizonShare = 0.5
)

// Order tells the caller to ask the holder of a slot.
type Order struct {
	slot   int
	needed int
	spare  int
	// asked is when the call was decided; lifetimes count from it.
	asked timer.Instant
}

// Slot returns the number of the slot.
func (o Order) Slot() int { return o.slot }

// Needed returns the number of requests that wait.
func (o Order) Needed() int { return o.needed }

// Spare returns the number of tokens wished beyond them.
func (o Order) Spare() int { return o.spare }

// Account decides for one team on one VM which requests are admitted and which
// holders are asked. It does no I/O and belongs to one goroutine at a time.
type Account struct {
	plan granter.Plan
	// slots has one entry per slot of the plan.
	slots []slot
	// ranking lists the slots, the nearest holder first.
	ranking []int
	// waiters are in the order of arrival.
	waiters []*Waiter
	demand  demand
	// unsettled is when a slot without a holder was last seen.
	unsettled timer.Instant
}

// NewAccount returns an account without tokens.
func NewAccount(t *manifester.Team) *Account {
	a := &Account{}
	a.Configure(t)

	return a
}

// Slots returns the number of slots.
func (a *Account) Slots() int { return len(a.slots) }

// Waiting returns the number of requests that wait.
func (a *Account) Waiting() int { return len(a.waiters) }

// Configure puts the account under a team's present limits. Tokens of slots
// that no longer exist are dropped.
func (a *Account) Configure(t *manifester.Team) {
	a.plan = granter.PlanOf(t)
	if len(a.slots) == a.plan.Slots() {
		return
	}
	slots := make([]slot, a.plan.Slots())
	copy(slots, a.slots)
	a.slots = slots
	a.ranking = make([]int, len(slots))
	for i := range a.ranking {
		a.ranking[i] = i
	}
}

// Rank sets the order in which slots are asked, and forgets which holders
// failed: the membership has changed.
func (a *Account) Rank(ranking []int) {
	if len(ranking) == len(a.slots) {
		a.ranking = ranking
	}
	for i := range a.slots {
		if a.slots[i].holderless {
			a.slots[i].silent = 0
		}
	}
}

// Arrive counts a request and admits it if a token is at hand and no earlier
// request waits.
func (a *Account) Arrive(now timer.Instant) bool {
	a.demand.arrive(now)
	a.expire(now)
	if len(a.waiters) > 0 {
		return false
	}
	_, ok := a.take()

	return ok
}

// Enqueue makes a request wait for a token until the instant at the latest. It
// returns false if too many wait.
func (a *Account) Enqueue(now, until timer.Instant) (*Waiter, bool) {
	if len(a.waiters) >= maxWaiters {
		return nil, false
	}
	w := &Waiter{
		since:   now,
		until:   until,
		verdict: make(chan Verdict, 1),
	}
	a.waiters = append(a.waiters, w)

	return w, true
}

// Leave ends a wait whose caller has gone.
func (a *Account) Leave(w *Waiter) {
	for i, v := range a.waiters {
		if v == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)

			return
		}
	}
}

// Step gives tokens to waiting requests, ends hopeless waits and returns the
// call to be made now, if any. Every order must be ended by Granted or Failed.
func (a *Account) Step(now timer.Instant) (Order, bool) {
	a.expire(now)
	a.serve()
	o, ok := a.order(now)
	a.refuse(now)

	return o, ok
}

// Granted ends an order with the holder's reply.
func (a *Account) Granted(now timer.Instant, o Order, r granter.Reply) {
	if o.slot >= len(a.slots) {
		return
	}
	s := &a.slots[o.slot]
	s.asking = false
	s.holderless = r.State() != granter.StateGranted
	if s.holderless {
		a.unsettled = now
		s.silent = now.Add(holderPause)

		return
	}
	if r.Tokens() < o.needed+o.spare {
		s.scarce = now.Add(scarcePause)
	}
	if r.Tokens() < o.needed {
		s.rest(now, r.Wait())
	}
	if r.Tokens() > 0 {
		s.pause = 0
		s.lots = append(s.lots, lot{
			tokens:  r.Tokens(),
			expires: o.asked.Add(r.Lifetime()),
		})
	}
}

// Failed ends an order whose call had no reply.
func (a *Account) Failed(now timer.Instant, o Order) {
	if o.slot >= len(a.slots) {
		return
	}
	s := &a.slots[o.slot]
	s.asking = false
	s.holderless = true
	a.unsettled = now
	s.silent = now.Add(failurePause)
}

// Wake returns when Step must be called again while requests wait, even if
// nothing happens before.
func (a *Account) Wake(now timer.Instant) timer.Instant {
	next := now.Add(emptyPauseMax)
	for i := range a.slots {
		s := &a.slots[i]
		if s.asking {
			next = earliest(now, next, s.asked.Add(hedgeDelay))

			continue
		}
		next = earliest(now, next, s.silent)
	}
	for _, w := range a.waiters {
		next = earliest(now, next, a.limit(w))
	}

	return next
}

// earliest returns the earlier of next and t, but not one that has passed.
func earliest(now, next, t timer.Instant) timer.Instant {
	if t.After(now) && t.Before(next) {
		return t
	}

	return next
}

func (a *Account) expire(now timer.Instant) {
	for i := range a.slots {
		a.slots[i].expire(now)
	}
}

// take uses the token that expires first.
func (a *Account) take() (timer.Instant, bool) {
	var first *slot
	for i := range a.slots {
		s := &a.slots[i]
		if len(s.lots) > 0 && (first == nil || s.lots[0].expires.Before(first.lots[0].expires)) {
			first = s
		}
	}
	if first == nil {
		return 0, false
	}

	return first.take()
}

func (a *Account) serve() {
	for len(a.waiters) > 0 {
		expires, ok := a.take()
		if !ok {
			return
		}
		a.waiters[0].verdict <- Verdict{
			admitted: true,
			expires:  expires,
		}
		a.waiters = a.waiters[1:]
	}
}

// order decides which holder to ask now.
func (a *Account) order(now timer.Instant) (Order, bool) {
	target := int(a.demand.at(now) * a.plan.Lifetime().Seconds() * horizonShare)
	needed := len(a.waiters)
	held := a.tokens()
	if needed == 0 && (held*2 >= target || a.asking()) {
		return Order{}, false
	}
	for _, n := range a.ranking {
		s := &a.slots[n]
		if s.asking && now.Sub(s.asked) < hedgeDelay {
			return Order{}, false
		}
		if s.asking || s.silent.After(now) || needed == 0 && s.scarce.After(now) {
			continue
		}
		s.asking = true
		s.asked = now

		return Order{
			slot:   n,
			needed: needed,
			spare:  max(0, target-held),
			asked:  now,
		}, true
	}

	return Order{}, false
}

func (a *Account) tokens() int {
	n := 0
	for i := range a.slots {
		n += a.slots[i].count()
	}

	return n
}

func (a *Account) asking() bool {
	for i := range a.slots {
		if a.slots[i].asking {
			return true
		}
	}

	return false
}

// refuse ends the waits that cannot end well: those whose time is over and,
// while every holder pauses, those that no token can reach in time.
func (a *Account) refuse(now timer.Instant) {
	pausing := !a.asking()
	retry := a.retry(now)
	kept := a.waiters[:0]
	for i, w := range a.waiters {
		limit := a.limit(w)
		expected := retry.Add(a.pace(i))
		if !limit.After(now) || pausing && expected.After(limit) {
			w.verdict <- Verdict{
				holderless: a.holderless(),
				wait:       max(a.pace(1), expected.Sub(now)),
			}

			continue
		}
		kept = append(kept, w)
	}
	clear(a.waiters[len(kept):])
	a.waiters = kept
}

// pace returns the time in which the team's rate allows n requests.
func (a *Account) pace(n int) time.Duration {
	return time.Duration(float64(n) / (a.plan.Rate() * float64(len(a.slots))) * float64(time.Second))
}

// retry returns when the next holder may be asked.
func (a *Account) retry(now timer.Instant) timer.Instant {
	first := a.slots[0].silent
	for i := range a.slots {
		if a.slots[i].silent.Before(first) {
			first = a.slots[i].silent
		}
	}

	return max(now, first)
}

// limit returns when a wait ends at the latest. New holders start without
// tokens, so the wait for tokens begins anew once every slot has a holder.
func (a *Account) limit(w *Waiter) timer.Instant {
	if a.holderless() {
		return min(w.until, w.since.Add(holderWait))
	}

	return min(w.until, max(w.since, a.unsettled).Add(a.emptyWait()))
}

// emptyWait returns how long a request waits for holders without tokens.
func (a *Account) emptyWait() time.Duration {
	return min(emptyWaitMax, max(emptyWait, a.pace(emptyWaitTokens)))
}

// holderless reports whether a slot has no holder, as far as is known.
func (a *Account) holderless() bool {
	for i := range a.slots {
		if a.slots[i].holderless {
			return true
		}
	}

	return false
}

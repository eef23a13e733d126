package granter

import (
	"math"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// bucket is the account of one slot in one term.
type bucket struct {
	term member.Term
	plan Plan
	// tokens is at most the plan's capacity; below 0 after a change of limits.
	tokens float64
	// last is the instant up to which tokens were added.
	last timer.Instant
	// longest is the longest lifetime that a token of this bucket was given.
	longest time.Duration
}

// newBucket returns a bucket that was empty at the instant start.
func newBucket(term member.Term, p Plan, start timer.Instant) *bucket {
	return &bucket{
		term:    term,
		plan:    p,
		last:    start,
		longest: p.lifetime,
	}
}

func (b *bucket) refill(now timer.Instant, rate float64) {
	if !now.After(b.last) {
		return
	}
	b.tokens = min(b.plan.capacity, b.tokens+rate*now.Sub(b.last).Seconds())
	b.last = now
}

// change puts the bucket under another plan. No window then exceeds the larger
// of the two plans' bounds: where the rate rises, the bucket is charged for
// what tokens granted at the lower rate may add to a later window, and for the
// part of the earlier burst that the new plan does not allow.
func (b *bucket) change(now timer.Instant, p Plan) {
	if p == b.plan {
		return
	}
	b.refill(now, min(b.plan.rate, p.rate))
	if p.rate > b.plan.rate {
		b.tokens -= (p.rate - b.plan.rate) * b.longest.Seconds() * clockDrift
		b.tokens -= max(0, b.plan.burst-p.burst)
	}
	b.tokens = min(b.tokens, p.capacity)
	b.longest = max(b.longest, p.lifetime)
	b.plan = p
}

// take grants up to needed whole tokens, and up to a part of what is left as
// spare ones.
func (b *bucket) take(now timer.Instant, needed, spare int) Reply {
	b.refill(now, b.plan.rate)
	granted := b.takeWhole(float64(needed), b.tokens)
	granted += b.takeWhole(float64(spare), b.tokens*spareShare)

	return NewReply(granted, b.plan.lifetime, b.wait())
}

func (b *bucket) takeWhole(wish, available float64) int {
	n := math.Floor(max(0, min(wish, available)))
	b.tokens -= n

	return int(n)
}

// wait returns the time until a whole token is there.
func (b *bucket) wait() time.Duration {
	if b.tokens >= 1 {
		return 0
	}

	return time.Duration((1 - b.tokens) / b.plan.rate * float64(time.Second))
}

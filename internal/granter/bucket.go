package granter

import (
	"math"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// bucket is the token bucket of one slot in one term.
type bucket struct {
	term   member.Term
	limits SlotLimits
	// tokens is at most the capacity of limits; it can be below 0 after a change of
	// limits.
	tokens float64
	// refilledAt is the instant up to which tokens have been added.
	refilledAt timer.Instant
	// longestLifetime is the longest lifetime of the limits that this bucket has had.
	longestLifetime time.Duration
}

// newBucket returns a bucket that was empty at the instant start.
func newBucket(term member.Term, l SlotLimits, start timer.Instant) *bucket {
	return &bucket{
		term:            term,
		limits:          l,
		refilledAt:      start,
		longestLifetime: l.lifetime,
	}
}

func (b *bucket) refill(now timer.Instant, rate float64) {
	if !now.After(b.refilledAt) {
		return
	}
	b.tokens = min(b.limits.capacity, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

// reconfigure applies other limits to the bucket so that no window exceeds the larger
// of the two bounds: where the rate rises, the bucket is charged for what tokens
// granted at the lower rate may add to a later window, and for the part of the
// earlier burst that the new limits do not allow.
func (b *bucket) reconfigure(now timer.Instant, l SlotLimits) {
	if l == b.limits {
		return
	}
	b.refill(now, min(b.limits.rate, l.rate))
	if l.rate > b.limits.rate {
		b.tokens -= (l.rate - b.limits.rate) * b.longestLifetime.Seconds() * maxClockRateRatio
		b.tokens -= max(0, b.limits.burst-l.burst)
	}
	b.tokens = min(b.tokens, l.capacity)
	b.longestLifetime = max(b.longestLifetime, l.lifetime)
	b.limits = l
}

// take grants up to needed whole tokens, and up to spareShare of the remaining ones
// as spare tokens.
func (b *bucket) take(now timer.Instant, needed, spare int) Reply {
	b.refill(now, b.limits.rate)
	granted := b.takeWhole(float64(needed), b.tokens)
	granted += b.takeWhole(float64(spare), b.tokens*spareShare)

	return NewReply(granted, b.limits.lifetime, b.wait())
}

func (b *bucket) takeWhole(requested, available float64) int {
	n := math.Floor(max(0, min(requested, available)))
	b.tokens -= n

	return int(n)
}

// wait returns the time until a whole token is available.
func (b *bucket) wait() time.Duration {
	if b.tokens >= 1 {
		return 0
	}

	return time.Duration((1 - b.tokens) / b.limits.rate * float64(time.Second))
}

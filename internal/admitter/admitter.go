// Package admitter holds a token bucket and the decision on whether a request is
// within its team's rate.
package admitter

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Bucket is a token bucket. It does no I/O and is not safe for concurrent use.
type Bucket struct {
	// rate is in tokens per second; burst is the capacity in tokens.
	rate  float64
	burst float64
	// tokens is between 0 and burst as of the instant last.
	tokens float64
	last   timer.Instant
}

// NewBucket returns a bucket that holds the given tokens.
func NewBucket(now timer.Instant, rate, burst, tokens float64) *Bucket {
	return &Bucket{
		rate:   rate,
		burst:  burst,
		tokens: tokens,
		last:   now,
	}
}

// Take removes n tokens if the bucket holds as many. Otherwise wait is the time
// until it will.
func (b *Bucket) Take(now timer.Instant, n float64) (taken bool, wait time.Duration) {
	if now.After(b.last) {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
		b.last = now
	}
	if b.tokens >= n {
		b.tokens -= n

		return true, 0
	}

	return false, time.Duration((n - b.tokens) / b.rate * float64(time.Second))
}

// Verdict is the decision on one request.
type Verdict struct {
	admitted bool
	// holderUnreachable is set where no holder of the rate could be reached, so that it is
	// not known whether the request is within it.
	holderUnreachable bool
	// retryAfter is the time after which another request may be admitted; 0 where this one
	// is.
	retryAfter time.Duration
	// basis states what a refusal is based on, for the log; "" where that is not known.
	basis string
}

// Admitted returns the verdict on a request within the rate.
func Admitted() Verdict {
	return Verdict{
		admitted: true,
	}
}

// Refused returns the verdict on a request over the rate.
func Refused(retryAfter time.Duration) Verdict {
	return Verdict{
		retryAfter: retryAfter,
	}
}

// Undecided returns the verdict on a request for which no holder of the rate could be
// reached.
func Undecided(retryAfter time.Duration) Verdict {
	return Verdict{
		holderUnreachable: true,
		retryAfter:        retryAfter,
	}
}

// WithBasis returns a copy with the basis of the refusal.
func (v Verdict) WithBasis(text string) Verdict {
	v.basis = text

	return v
}

// Basis returns what a refusal is based on, for the log; "" where that is not known.
func (v Verdict) Basis() string { return v.basis }

// Admitted reports whether the request is within the rate.
func (v Verdict) Admitted() bool { return v.admitted }

// HolderUnreachable reports whether no holder of the rate could be reached.
func (v Verdict) HolderUnreachable() bool { return v.holderUnreachable }

// RetryAfter returns the time after which another request may be admitted.
func (v Verdict) RetryAfter() time.Duration { return v.retryAfter }

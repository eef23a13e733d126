package borrower

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Verdict is the outcome of a wait for a token.
type Verdict struct {
	admitted bool
	// expires is when the token of an admitted request expires.
	expires timer.Instant
	// holderUnreachable is set if the holder of a slot of the team was unreachable
	// when the request was refused.
	holderUnreachable bool
	// retryAfter is the time after which a retry may be admitted; 0 if the
	// request was admitted.
	retryAfter time.Duration
}

// Admitted reports whether the request got a token.
func (v Verdict) Admitted() bool { return v.admitted }

// Expires returns when the token expires.
func (v Verdict) Expires() timer.Instant { return v.expires }

// HolderUnreachable reports whether the holder of a slot of the team was unreachable
// when the request was refused.
func (v Verdict) HolderUnreachable() bool { return v.holderUnreachable }

// RetryAfter returns the time after which a retry may be admitted; 0 if the request
// was admitted.
func (v Verdict) RetryAfter() time.Duration { return v.retryAfter }

// Waiter is one request that waits for a token.
type Waiter struct {
	// since is when the wait began; until is when it ends at the latest.
	since timer.Instant
	until timer.Instant
	// requeuedAt is when the wait began again since a token had expired unused; 0 if
	// it has not.
	requeuedAt timer.Instant
	// verdict receives at most one verdict in each wait. Its buffer of one keeps the
	// limiter from blocking.
	verdict chan Verdict
}

// Verdict returns the channel on which the verdict arrives.
func (w *Waiter) Verdict() <-chan Verdict { return w.verdict }

package borrower

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Verdict is the end of a wait for a token.
type Verdict struct {
	admitted bool
	// expires is when an admitted request's token expires.
	expires timer.Instant
	// holderless is set where the wait was for a slot without a holder.
	holderless bool
	// wait is the time after which another try may pass, where not admitted.
	wait time.Duration
}

// Admitted reports whether the request got a token.
func (v Verdict) Admitted() bool { return v.admitted }

// Expires returns when the token expires.
func (v Verdict) Expires() timer.Instant { return v.expires }

// Holderless reports whether the wait was for a slot without a holder.
func (v Verdict) Holderless() bool { return v.holderless }

// Wait returns the time after which another try may pass.
func (v Verdict) Wait() time.Duration { return v.wait }

// Waiter is one request that waits for a token.
type Waiter struct {
	// since is when the wait began, and until when it ends at the latest.
	since timer.Instant
	until timer.Instant
	// verdict receives exactly one verdict; it has room for it.
	verdict chan Verdict
}

// Verdict returns the channel on which the verdict arrives.
func (w *Waiter) Verdict() <-chan Verdict { return w.verdict }

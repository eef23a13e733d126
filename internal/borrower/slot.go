package borrower

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// grant is a number of tokens that were granted together and expire together.
type grant struct {
	tokens  int
	expires timer.Instant
}

// slot is the state of one slot of a team as this VM knows it.
type slot struct {
	// grants are ordered by the time of their calls; none is empty.
	grants []grant
	// inFlight is set while a call to the holder is in flight; decidedAt is when
	// the last call was decided.
	inFlight  bool
	decidedAt timer.Instant
	// backoffUntil is the instant before which the holder is not asked again;
	// spareBackoffUntil is the one before which it is not asked for spare tokens
	// alone.
	backoffUntil      timer.Instant
	spareBackoffUntil timer.Instant
	// backoff is the last backoff of a holder without enough tokens; 0 after it
	// granted some.
	backoff time.Duration
	// holderUnreachable is set if the last call reached no active holder: it had no
	// reply, or that of a VM that was not the active holder or did not know the slot.
	holderUnreachable bool
}

// expire drops the grants that have expired.
func (s *slot) expire(now timer.Instant) {
	kept := s.grants[:0]
	for _, g := range s.grants {
		if g.expires.After(now) {
			kept = append(kept, g)
		}
	}
	s.grants = kept
}

// backOff delays the next call to a holder that granted too few tokens. The delay
// is the holder's wait until its next token. As other VMs wait for the same tokens,
// it is at least twice the previous delay unless the holder has granted a token in
// between. minEmptyBackoff and maxEmptyBackoff bound it.
func (s *slot) backOff(now timer.Instant, wait time.Duration) {
	s.backoff = min(maxEmptyBackoff, max(minEmptyBackoff, wait, 2*s.backoff))
	s.backoffUntil = now.Add(s.backoff)
}

// tokenCount returns the number of tokens in all grants.
func (s *slot) tokenCount() int {
	n := 0
	for _, g := range s.grants {
		n += g.tokens
	}

	return n
}

// takeToken consumes one token of the oldest grant and returns its expiry.
func (s *slot) takeToken() (expires timer.Instant, ok bool) {
	if len(s.grants) == 0 {
		return 0, false
	}
	g := &s.grants[0]
	g.tokens--
	expires = g.expires
	if g.tokens == 0 {
		s.grants = s.grants[1:]
	}

	return expires, true
}

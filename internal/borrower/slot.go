package borrower

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// lot is a number of tokens that expire together.
type lot struct {
	tokens  int
	expires timer.Instant
}

// slot is what this VM knows of one slot of a team.
type slot struct {
	// lots are ordered by their asking; none is empty.
	lots []lot
	// asking is set while a call is on its way, since the instant asked.
	asking bool
	asked  timer.Instant
	// silent is the instant before which the holder is not asked again, and
	// scarce the one before which it is not asked for spare tokens alone.
	silent timer.Instant
	scarce timer.Instant
	// pause is the last pause of a holder without tokens; 0 after it had some.
	pause time.Duration
	// holderless is set while the last call found no active holder.
	holderless bool
}

// expire drops the lots that have expired.
func (s *slot) expire(now timer.Instant) {
	kept := s.lots[:0]
	for _, l := range s.lots {
		if l.expires.After(now) {
			kept = append(kept, l)
		}
	}
	s.lots = kept
}

// rest lets a holder without tokens rest until it has one, and longer each
// time in a row: other VMs wait for the same tokens.
func (s *slot) rest(now timer.Instant, wait time.Duration) {
	s.pause = min(emptyPauseMax, max(emptyPause, wait, 2*s.pause))
	s.silent = now.Add(s.pause)
}

// count returns the number of tokens.
func (s *slot) count() int {
	n := 0
	for _, l := range s.lots {
		n += l.tokens
	}

	return n
}

// take uses one token of the oldest lot.
func (s *slot) take() (expires timer.Instant, ok bool) {
	if len(s.lots) == 0 {
		return 0, false
	}
	l := &s.lots[0]
	l.tokens--
	expires = l.expires
	if l.tokens == 0 {
		s.lots = s.lots[1:]
	}

	return expires, true
}

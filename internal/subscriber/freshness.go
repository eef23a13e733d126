package subscriber

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// noteAnswer records that the store answered a VM at the instant. The lock must be held.
func (s *Subscriber) noteAnswer(at timer.Instant) { s.freshAt = max(s.freshAt, at) }

// answered records that the store answered a call of this VM.
func (s *Subscriber) answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSuccess = s.clock.Now()
	s.noteAnswer(s.lastSuccess)
}

// untilCheck returns the time until a VM of the rank has to check for changes in place of the
// VMs that wait, unless it learns before that the store has answered one; false if it never has
// to.
func (s *Subscriber) untilCheck(rank int) (time.Duration, bool) {
	if s.schedule.lowPriority || rank >= maxCheckers {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.freshAt.Add(freshTimeout + time.Duration(rank)*freshStagger)

	return due.Sub(s.clock.Now()), true
}

// mustCheck reports whether a VM of the rank has to check for changes in place of the VMs that
// wait. What it finds then is forwarded to all others.
func (s *Subscriber) mustCheck(rank int) bool {
	left, checks := s.untilCheck(rank)
	if !checks || left > 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forAll = true

	return true
}

// forwardTo returns the partition of the VMs that a VM of the rank forwards changes to, and false
// if it forwards none. The lock must be held.
func (s *Subscriber) forwardTo(rank int) (Partition, bool) {
	if s.forAll {
		return NewPartition(0, 1), true
	}

	return NewPartition(rank, waiters), s.schedule.isWaiter(rank)
}

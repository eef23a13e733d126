package subscriber

import (
	"cmp"
	"slices"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Era counts how many times the source of a topic has come back from an older copy. Offsets
// of different eras cannot be compared: the copy lacks the last records of the era before, and
// their offsets are assigned again. It is 0 where the source states none.
type Era uint64

const (
	// settleTime is how long after the store came back from an older copy its writers may take
	// to write again what the copy lacks. It is longer than the store keeps the entry of a
	// silent target.
	settleTime = 5 * time.Second
	// loadStagger is the time between the loads of two VMs that follow each other in rank,
	// after the store came back. Loads are delayed by less than maxLoadDelay.
	loadStagger  = 2 * time.Millisecond
	maxLoadDelay = 2 * time.Second
	// maxReturnRelays bounds the records that are forwarded after the store came back.
	maxReturnRelays = 16
)

// isOther reports whether the era of a response shows that the store came back from a copy
// since this VM read the topic. The lock must be held.
func (s *Subscriber) isOther(e Era) bool { return e != 0 && e != s.era }

// mustLoad reports whether the next step loads the topic. The lock must be held.
func (s *Subscriber) mustLoad() bool {
	return s.next == unknown || s.reload || s.peerEra > s.era || s.settled()
}

// settled reports whether the writers have had time to write again what an older copy of the
// store lacked, and the topic has not been loaded since. The lock must be held.
func (s *Subscriber) settled() bool {
	return s.settleAt != 0 && !s.clock.Now().Before(s.settleAt)
}

// returned tells the view that the store came back from an older copy, and lets the topic be
// loaded again at settleTime from now. The lock must be held.
func (s *Subscriber) returned(now timer.Instant) {
	s.settleAt = now.Add(settleTime)
	s.view.StoreReturned(now, s.settleAt)
}

// loaded updates the era by that of a load up to the offset, and reports whether the store
// came back from an older copy since the topic was read before. The lock must be held.
func (s *Subscriber) loaded(now timer.Instant, e Era, next Offset) bool {
	before, known := s.era, s.era != 0 || s.next != unknown
	other := s.isOther(e)
	if other {
		s.era = e
	}
	s.reload = false
	s.peerEra = s.era // A wrong era from another VM causes only one load.
	if s.settled() {
		s.settleAt = 0
	}
	if !other || !known {
		return false
	}
	s.peerOffset = 0
	s.returned(now)
	s.logger.Log(logger.StoreReturned, logger.Text("topic", s.name),
		logger.Int("eraBefore", int64(before)), logger.Int("offsetBefore", int64(s.next)), //nolint:gosec // Far fewer returns.
		logger.Int("era", int64(e)), logger.Int("offset", int64(next))) //nolint:gosec // Far fewer returns.

	return true
}

// loadDelay returns how long a VM of the rank waits before it loads a topic after the store
// came back, so that the loads of a large fleet are spread. The lock must be held.
func (s *Subscriber) loadDelay(rank int) time.Duration {
	if s.next == unknown || !s.mustLoad() {
		return 0
	}

	return time.Duration(rank%int(maxLoadDelay/loadStagger)) * loadStagger
}

// forwardLast forwards the records that the store got last. Other VMs learn from them at once
// that the store came back, and those that the store does not answer get what was written
// since.
func (s *Subscriber) forwardLast(e Era, records []Record) {
	rank := s.peers.Rank(s.name)
	if !s.schedule.isWaiter(rank) {
		return
	}
	last := slices.SortedFunc(slices.Values(records), func(a, b Record) int { return cmp.Compare(a.offset, b.offset) })
	for _, r := range last[max(0, len(last)-maxReturnRelays):] {
		s.peers.Forward(s.name, NewPartition(rank, waiters), NewBatch(r.offset, r.offset+1, []Record{r}).InEra(e))
	}
}

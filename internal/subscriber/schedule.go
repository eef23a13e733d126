package subscriber

import (
	"math/rand/v2"
	"time"
)

const (
	// minWait and maxWait bound how long one call waits for a change (long polling).
	// They are short because a waiting call may miss a change for good: the store may
	// drop the change or lose its response. They differ so that the calls of several
	// VMs end at different times.
	minWait = 2500 * time.Millisecond
	maxWait = 6 * time.Second
	// checkInterval is the time between two checks for changes that a waiting call has
	// missed. Only the first of the VMs that wait makes them, and tells the others.
	checkInterval = 600 * time.Millisecond
	// checkPeriod is the time between two decisions on whether a check is due.
	checkPeriod = 200 * time.Millisecond
	// freshTimeout is the time since the store last answered any VM, as far as this VM knows,
	// after which the VMs that wait may be gone or cut off. The first maxCheckers VMs by rank
	// then check for changes one by one, freshStagger apart.
	freshTimeout = 1300 * time.Millisecond
	freshStagger = 12 * time.Millisecond
	maxCheckers  = 32
	// waiters is the number of VMs that wait for changes at any time. It is more than
	// one, so that changes are seen although some VMs crash or are cut off.
	waiters = 4
	// minInterval and maxInterval bound the time between two calls of a VM that does not
	// wait for changes because others do. The others report to it how far they have
	// read; its own calls only make up for changes that all of them missed.
	minInterval = 10 * time.Second
	maxInterval = 40 * time.Second
	// batchDelay follows a call that found changes, so that changes in quick succession
	// are read together.
	batchDelay = 250 * time.Millisecond
	// minLowPriorityInterval and maxLowPriorityInterval bound the time between two calls
	// for a topic of low priority.
	minLowPriorityInterval = 30 * time.Second
	maxLowPriorityInterval = 60 * time.Second
	// rankCheckPeriod is the time between two checks of whether this VM is to wait for
	// changes.
	rankCheckPeriod = 400 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed call of a VM that waits
	// for changes. The delay doubles with each consecutive failure. Any other VM learns
	// of changes from its peers, and its delay grows up to maxSharedBackoff.
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = 300 * time.Millisecond
	maxSharedBackoff = 1500 * time.Millisecond
	// quickResponse bounds the time until a response begins. It is short, so that the loss
	// of a response is noticed soon. After a failed call slowResponse applies, so that a
	// slow store is read too, until the store has responded quickly again.
	quickResponse = 700 * time.Millisecond
	slowResponse  = 2 * time.Second
)

// schedule decides when a VM calls the store, so that the calls of all VMs together are
// few, with short gaps between them. A VM's rank is the number of VMs that precede it in
// waiting for changes.
type schedule struct {
	// lowPriority is set for a topic whose changes no VM waits for.
	lowPriority bool
	// backoff is the delay after the next failed call; 0 before the first call.
	backoff time.Duration
	// failed is set while the last call is one that failed.
	failed bool
	// slow is set from a failed call on until a response has come within quickResponse.
	slow bool
}

// query returns the next call for changes of a VM of the rank. A call after a failed one
// does not wait, so that it tells at once whether the store responds.
func (s *schedule) query(from Offset, rank int) Query {
	if s.failed {
		return s.check(from)
	}

	return NewQuery(from, s.pollTimeout(rank), s.responseTimeout())
}

// check returns a call for changes that does not wait.
func (s *schedule) check(from Offset) Query { return NewQuery(from, 0, s.responseTimeout()) }

func (s *schedule) responseTimeout() time.Duration {
	if s.slow {
		return slowResponse
	}

	return quickResponse
}

// responded notes how long the response to a call that did not wait took.
func (s *schedule) responded(took time.Duration) { s.slow = took > quickResponse }

// pollTimeout returns how long the next call of a VM of the rank waits for a change; 0
// where it returns at once.
func (s *schedule) pollTimeout(rank int) time.Duration {
	if !s.isWaiter(rank) {
		return 0
	}

	return minWait + rand.N(maxWait-minWait) //nolint:gosec // Spreads calls; not used for secrets.
}

// succeeded notes a call that succeeded, which ends the backoff.
func (s *schedule) succeeded() {
	s.backoff = minBackoff
	s.failed = false
}

// interval returns the time until the next call of a VM of the rank, after a call that
// succeeded; found tells whether that call found changes.
func (s *schedule) interval(rank int, found bool) time.Duration {
	switch {
	case s.lowPriority:
		return minLowPriorityInterval + rand.N(maxLowPriorityInterval-minLowPriorityInterval) //nolint:gosec // Spreads calls; not used for secrets.
	case rank < waiters && found:
		return batchDelay
	case rank < waiters:
		return 0
	}

	return minInterval + rand.N(maxInterval-minInterval) //nolint:gosec // Spreads calls; not used for secrets.
}

// isWaiter reports whether a VM of the rank waits for changes.
func (s *schedule) isWaiter(rank int) bool { return !s.lowPriority && rank < waiters }

// nextBackoff returns the time until the next call after a failed one, and doubles the
// backoff. A call that found changes before it failed begins the backoff anew.
func (s *schedule) nextBackoff(rank int, found bool) time.Duration {
	s.failed = true
	s.slow = true
	longest := maxBackoff
	if !s.isWaiter(rank) {
		longest = maxSharedBackoff
	}
	backoff := max(s.backoff, minBackoff)
	if found {
		backoff = minBackoff
	}
	s.backoff = min(2*backoff, longest)

	return min(backoff, longest)
}

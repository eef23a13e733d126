package member

import "time"

const (
	// LeaseDuration is how long an acknowledged ping counts, from its sending.
	LeaseDuration = 1500 * time.Millisecond
	// leaseMargin is added to each wait for the end of others' leases. It
	// covers clocks whose rates differ by up to one tenth.
	leaseMargin = LeaseDuration / 10
	// takeoverWait is the wait after which no lease that was valid at its
	// start can be valid any more, on any VM's clock.
	takeoverWait = LeaseDuration + leaseMargin
	// pingPeriod is the time between two rounds of pings.
	pingPeriod = LeaseDuration / 4
	// suspectAfter is how long a member may be without a lease before others
	// promise to ban it.
	suspectAfter = LeaseDuration
	// pauseAfter is the time between rounds from which a VM takes itself to
	// have been paused.
	pauseAfter = 2 * pingPeriod
	// silentAfter is how long a member must be silent before its removal.
	silentAfter = 4 * time.Second
	// forgetAfter is how long a VM that is no member is remembered.
	forgetAfter = time.Minute
	// listLag bounds how far the platform's list is behind the truth.
	listLag = 10 * time.Second
	// listStaleAfter is the age at which the last list tells nothing.
	listStaleAfter = 5 * time.Second
	// refreshPeriod is the longest time between two accepted records, so that
	// the log always keeps some of them.
	refreshPeriod = 10 * time.Minute
	// reinstateAfter is how long a banned member must reach a quorum before it
	// asks for an epoch in which the ban is over.
	reinstateAfter = 10 * time.Second
	// noteListedAfter is the time after which a new epoch notes that the
	// platform's list names a member for the first time.
	noteListedAfter = 30 * time.Second
	// dutyStep delays a proposal that any member may make, per place in the
	// order of the members, so that they seldom race.
	dutyStep = 500 * time.Millisecond
	// maxJitter bounds the delay of a proposal after an epoch began.
	maxJitter = 100 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed append.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 4 * time.Second
)
